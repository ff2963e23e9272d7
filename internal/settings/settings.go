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

// Setting is one key of a settings file.
type Setting struct {
	Section, Key string
	// Default is the value of an absent key; Required keys have none.
	Default  string
	Required bool
	// Unit says what the value counts; empty for names and addresses.
	Unit string
	Help string
	// Set parses a value into its place.
	Set func(value string) error
	// Secret values are never printed.
	Secret bool
}

// Name returns "section.key".
func (s Setting) Name() string { return s.Section + "." + s.Key }

// Table is the list of all keys of a kind of file.
type Table []Setting

// Fault is one thing wrong with a settings file.
type Fault struct {
	File    string
	Name    string
	Problem string
	Remedy  string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.File, f.Name, f.Problem, f.Remedy)
}

// Read fills the table's values from a file. The error joins every [Fault].
func (t Table) Read(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fault{File: path, Name: "file", Problem: err.Error(), Remedy: "name a readable file with --settings"}
	}
	return t.Parse(path, data)
}

// Parse fills the table's values from the contents of a file.
func (t Table) Parse(path string, data []byte) error {
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return Fault{File: path, Name: "file", Problem: err.Error(), Remedy: "write it as INI: [section] and key = value lines"}
	}
	var faults []error
	known := make(map[string]bool, len(t))
	for _, s := range t {
		known[s.Name()] = true
		if err := s.take(file); err != nil {
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

func (s Setting) take(file *ini.File) error {
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

// nearest returns the known name with the fewest edits.
func (t Table) nearest(name string) string {
	best, bestEdits := "", 1<<30
	for _, s := range t {
		if n := levenshtein.ComputeDistance(name, s.Name()); n < bestEdits {
			best, bestEdits = s.Name(), n
		}
	}
	return best
}

// Text is a setting that is any text.
func Text(into *string) func(string) error {
	return func(v string) error {
		*into = v
		return nil
	}
}

// Address is a setting that is a host by number and a port.
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

// Duration is a setting that is a time such as 250ms or 10s, at least least.
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

// Whole is a setting that is a whole number, at least least.
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

// Number is a setting that is a number, 0 or more.
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

// Choice is a setting that is one of a few words.
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
