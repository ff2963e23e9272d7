package main

import (
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// logLines collects log lines and tells of each.
type logLines struct {
	mu    sync.Mutex
	lines []string
	wrote chan struct{}
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(p))
	l.wrote <- struct{}{}
	return len(p), nil
}

// TestBytesAfterAnswersAreLoggedShort guards against bytes that an endpoint sends after its answer and that net/http writes to
// the standard logger, outside the JSON log and 4 KB at a time.
func TestBytesAfterAnswersAreLoggedShort(t *testing.T) {
	out := &logLines{wrote: make(chan struct{}, 8)}
	redirectLibraryLog(hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, JSONFormat: true, Output: out}))
	defer func() {
		log.SetFlags(log.LstdFlags)
		log.SetOutput(os.Stderr)
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + strings.Repeat("x", 3000)))
		// Until the client has closed the connection.
		_, _ = c.Read(make([]byte, 1))
	}()
	resp, err := (&http.Client{Transport: &http.Transport{}}).Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := resp.Body.Read(make([]byte, 3)); err == nil {
		_, _ = resp.Body.Read(make([]byte, 1))
	}
	resp.Body.Close()
	<-out.wrote
	out.mu.Lock()
	defer out.mu.Unlock()
	if n := len(out.lines); n != 1 {
		t.Fatalf("%d lines, want 1: %q", n, out.lines)
	}
	line := out.lines[0]
	if !strings.HasPrefix(line, "{") || !strings.Contains(line, `"@level":"debug"`) || len(line) > 2*maxLibraryLine {
		t.Errorf("a line of %d bytes, want a short one of the JSON log at level debug: %s", len(line), line)
	}
}
