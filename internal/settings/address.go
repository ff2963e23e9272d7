package settings

import (
	"fmt"
	"net/netip"
)

// checkAddress accepts an IP number and a port: nodes look up no names.
func checkAddress(v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%q is not an IP number and port, as in 10.0.0.7:8080", v)
	}
	return nil
}
