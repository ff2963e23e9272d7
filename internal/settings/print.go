package settings

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the table in aligned columns for display. It prints no values, so no secrets.
func (t Table) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tDEFAULT\tUNIT\tMEANING")
	for _, s := range t {
		def := s.Default
		switch {
		case s.Required:
			def = "(required)"
		case def == "":
			def = "(none)"
		}
		unit := s.Unit
		if unit == "" {
			unit = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Name(), def, unit, s.Help)
	}
	return w.Flush()
}
