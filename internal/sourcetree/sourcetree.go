// Package sourcetree walks the Go sources of the repository, for tests that check all of them.
package sourcetree

import (
	"io/fs"
	"path/filepath"
	"strings"
)

// Walk calls f for each Go file below the repository's root that is not a test. name is its path relative to the root, with
// slashes. Files and folders for which skip returns true are left out, as are version control and build output.
func Walk(root string, skip func(name string) bool, f func(name, path string) error) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		switch {
		case d.IsDir() && (name == ".git" || name == "target" || skip(name)):
			return fs.SkipDir
		case d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || skip(name):
			return nil
		}
		return f(name, path)
	})
}
