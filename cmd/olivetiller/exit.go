package main

import (
	"errors"

	"connectrpc.com/connect"

	"olivetiller/internal/fleetkeys"
	"olivetiller/internal/settings"
)

// Exit codes of the command; the package comment documents them.
const (
	exitNegative    = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// usageError is an error that the user can correct: bad arguments, settings or files.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var usage usageError
	var fault settings.Fault
	if errors.As(err, &usage) || errors.As(err, &fault) || errors.Is(err, fleetkeys.ErrKeys) {
		return exitUsage
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUnreachable
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return exitUsage
	}
	return exitNegative
}
