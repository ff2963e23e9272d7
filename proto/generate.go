// Package proto holds the schema of the system; the generated code lies beside
// each file and is committed, so that a build needs no generator.
package proto

//go:generate sh -c "cd .. && go tool -modfile=tools/go.mod buf generate"
