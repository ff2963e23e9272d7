package main

import (
	"io"
	"log"

	"github.com/hashicorp/go-hclog"
)

// maxLibraryLine bounds a line of a library, in bytes. net/http writes up to 4 KB of what an endpoint sends after an answer.
const maxLibraryLine = 256

// redirectLibraryLog makes the lines that libraries write to the standard logger, shortened, lines of the JSON log at debug
// level.
func redirectLibraryLog(logger hclog.Logger) {
	log.SetFlags(0)
	log.SetOutput(shortWriter{logger.Named("library").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})})
}

// shortWriter shortens what is written at once to maxLibraryLine bytes.
type shortWriter struct{ w io.Writer }

// Write implements io.Writer.
func (s shortWriter) Write(p []byte) (int, error) {
	if _, err := s.w.Write(p[:min(len(p), maxLibraryLine)]); err != nil {
		return 0, err
	}
	return len(p), nil
}
