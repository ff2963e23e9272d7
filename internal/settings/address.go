package settings

import (
	"fmt"
	"net/netip"
)

// checkAddress accepts an IP address with a port. Host names are rejected, because nodes do not resolve names.
func checkAddress(v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%q is not an IP address and port, as in 10.0.0.7:8080", v)
	}
	return nil
}
