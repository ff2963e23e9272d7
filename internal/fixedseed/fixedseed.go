// Package fixedseed has the property tests of a package draw the same values in every run. Test files import it for
// its effect on package rapid's flags, which come from the command line if given there: -rapid.seed=0 draws fresh
// values.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags before they are set here
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
