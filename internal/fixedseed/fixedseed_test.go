package fixedseed

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRandomSeed guards against property tests whose verdict differs from run to run, because their package does not
// import this one.
func TestRandomSeed(t *testing.T) {
	drawn, fixed := make(map[string]bool), make(map[string]bool)
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "../../internal/fixedseed" {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		drawn[dir] = drawn[dir] || strings.Contains(string(raw), `"pgregory.net/rapid"`)
		fixed[dir] = fixed[dir] || strings.Contains(string(raw), `_ "olivetiller/internal/fixedseed"`)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, uses := range drawn {
		if uses && !fixed[dir] {
			t.Errorf(`%s has property tests: import _ "olivetiller/internal/fixedseed" in one of its test files`, dir)
		}
	}
}
