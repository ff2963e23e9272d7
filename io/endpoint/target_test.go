package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"olivetiller/standin/endless"
)

// targets are request targets, and whether they can be sent byte for byte.
var targets = []struct {
	target string
	sent   bool
}{
	{"/", true},
	{"/snap/1?size=2", true},
	{"//snap/1?size=2", true},
	{"//", true},
	{"///a//b", true},
	{"//a?", true},
	{"/a?", true},
	{"/a??b", true},
	{"//h:1/a%2Fb%20c", true},
	{"/a%2Fb/%2e%2E/./../c;d=1", true},
	{"/a?q=%zz&%", true},
	{"/ä?ü=é", true},
	{"/a#b", true},
	{"/a|\"<>^`{}", true},
	{"//a?q=|\"<>^`{}#", true},
	{"//ä|", false},
	{"//a%zz", false},
	{"*", false},
	{"", false},
	{"http://h/a", false},
	{"a/b", false},
	{"/a b", false},
	{"/a\r\nx: y", false},
}

// TestTargetByteForByte guards against targets that reach an endpoint as another path and host, as those that begin with two
// slashes did, and against ones that cannot be sent as they are and are sent all the same.
func TestTargetByteForByte(t *testing.T) {
	for _, tt := range targets {
		t.Run(tt.target, func(t *testing.T) {
			got, err := lineOf(t, tt.target)
			if (err == nil) != tt.sent || (CheckTarget(tt.target) == nil) != tt.sent {
				t.Fatalf("sent: %v; checked: %v; want sent: %t", err, CheckTarget(tt.target), tt.sent)
			}
			if want := "GET " + tt.target + " HTTP/1.1"; tt.sent && got != want {
				t.Errorf("the endpoint read %q, want %q", got, want)
			}
		})
	}
}

// FuzzTarget compares what an endpoint reads with each target that can be sent.
func FuzzTarget(f *testing.F) {
	for _, tt := range targets {
		f.Add(tt.target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		got, err := lineOf(t, target)
		if err == nil && got != "GET "+target+" HTTP/1.1" {
			t.Errorf("the endpoint read %q for the target %q", got, target)
		}
	})
}

// lineOf sends a request with a target, and returns the first line that the endpoint reads.
func lineOf(t *testing.T, target string) (line string, err error) {
	t.Helper()
	lines := make(chan string, 1)
	pipes := endless.Pipes{Serve: func(_ string, conn net.Conn) {
		defer conn.Close()
		line, r := "", bufio.NewReader(conn)
		for {
			read, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if line == "" {
				line = strings.TrimSuffix(read, "\r\n")
			}
			if read == "\r\n" {
				break
			}
		}
		lines <- line
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}}
	c := NewClientWith(Options{Paths: pipes})
	resp, err := c.Do(t.Context(), &Request{Address: "e", Method: http.MethodGet, Path: target, Header: http.Header{}, OnceOnly: true})
	if err != nil {
		return "", err
	}
	_ = resp.Body.Close()
	return <-lines, nil
}
