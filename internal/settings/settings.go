package settings

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Setting describes one key of a settings file.
type Setting struct {
	Section, Key string
	// Default is the value if the key is absent. A Required key has no default.
	Default  string
	Required bool
	// Unit is the unit of the value; empty for names and addresses.
	Unit string
	Help string
	// Set parses a value and stores it.
	Set func(value string) error
	// Secret marks a value that must not be printed.
	Secret bool
}

// Name returns "section.key".
func (s Setting) Name() string { return s.Section + "." + s.Key }

// Table lists all keys of one kind of settings file.
type Table []Setting

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Name    string
	Problem string
	Remedy  string
}

// Error returns the file, the setting, the problem and the remedy in one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Name, f.Problem, f.Remedy)
}

// Read stores the values of a file. The returned error joins all Faults.
func (t Table) Read(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fault{File: path, Name: "file", Problem: err.Error(), Remedy: "name a readable file with --settings"}
	}
	return t.Parse(path, data)
}

// Parse is like Read for the contents of a file; path is used in errors only.
func (t Table) Parse(path string, data []byte) error {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return Fault{File: path, Name: "file", Problem: err.Error(), Remedy: "write it as INI: [section] and key = value lines"}
	}
	var faults []error
	known := make(map[string]bool, len(t))
	for _, s := range t {
		known[s.Name()] = true
		if err := s.apply(file); err != nil {
			faults = append(faults, Fault{File: path, Name: s.Name(), Problem: err.Error(), Remedy: s.remedy()})
		}
	}
	for _, name := range keysOf(file) {
		if !known[name] {
			faults = append(faults, Fault{File: path, Name: name, Problem: "there is no such setting", Remedy: "did you mean " + t.nearest(name) + "?"})
		}
	}
	return errors.Join(faults...)
}

var errMissing = errors.New("the setting is missing")

func (s Setting) apply(file *ini.File) error {
	value := s.Default
	if file.Section(s.Section).HasKey(s.Key) {
		value = strings.TrimSpace(file.Section(s.Section).Key(s.Key).String())
	} else if s.Required {
		return errMissing
	}
	return s.Set(value)
}

func (s Setting) remedy() string {
	if s.Unit != "" {
		return "set " + s.Help + ", in " + s.Unit
	}
	return "set " + s.Help
}

func keysOf(file *ini.File) []string {
	var out []string
	for _, sec := range file.Sections() {
		for _, k := range sec.Keys() {
			out = append(out, sec.Name()+"."+k.Name())
		}
	}
	sort.Strings(out)
	return out
}

// nearest returns the known setting with the smallest edit distance to name.
func (t Table) nearest(name string) string {
	best, bestEdits := "", 1<<30
	for _, s := range t {
		if n := levenshtein.ComputeDistance(name, s.Name()); n < bestEdits {
			best, bestEdits = s.Name(), n
		}
	}
	return best
}

// Text returns a Set function that accepts any text.
func Text(into *string) func(string) error {
	return func(v string) error {
		*into = v
		return nil
	}
}

// Address returns a Set function that accepts an IP address with a port, or an empty value.
func Address(into *string) func(string) error {
	return func(v string) error {
		if v == "" {
			*into = v
			return nil
		}
		if err := checkAddress(v); err != nil {
			return err
		}
		*into = v
		return nil
	}
}

// Duration returns a Set function that accepts a duration such as 250ms or 10s that is not below least.
func Duration(into *time.Duration, least time.Duration) func(string) error {
	return func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration", v)
		}
		if d < least {
			return fmt.Errorf("%s is less than %s", d, least)
		}
		*into = d
		return nil
	}
}

// Whole returns a Set function that accepts a decimal integer that is neither negative nor below least.
func Whole[T int | int64 | uint64](into *T, least T) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if T(n) < least || n < 0 {
			return fmt.Errorf("%d is less than %d", n, least)
		}
		*into = T(n)
		return nil
	}
}

// Number returns a Set function that accepts a decimal number that is not negative.
func Number(into *float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("%q is not a number of 0 or more", v)
		}
		*into = n
		return nil
	}
}

// Share returns a Set function that accepts a decimal number from 0 to 1.
func Share(into *float64) func(string) error {
	return func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0 && n <= 1) {
			return fmt.Errorf("%q is not a share from 0 to 1", v)
		}
		*into = n
		return nil
	}
}

// Choice returns a Set function that accepts one of the given words.
func Choice(into *string, words ...string) func(string) error {
	return func(v string) error {
		for _, w := range words {
			if v == w {
				*into = v
				return nil
			}
		}
		return fmt.Errorf("%q is none of %s", v, strings.Join(words, ", "))
	}
}
