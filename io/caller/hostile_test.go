package caller

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHostileSenders sends malformed or incomplete HTTP requests over a real connection. Each must get an error
// status or a closed connection, and the server must keep serving.
func TestHostileSenders(t *testing.T) {
	const auth = "Host: x\r\nAuthorization: Bearer t\r\n"
	tests := []struct {
		name, send string
		// want is the status; 0 for a connection that is only closed.
		want int
	}{
		{"two lengths", "POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400},
		{"length and chunks", "POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"chunks of an unknown kind", "POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Transfer-Encoding: smuggled\r\n\r\n", 501},
		{"a header with a line break", "POST /v1/chat/completions HTTP/1.1\r\n" + auth + "X: a\rb\r\n\r\n", 400},
		{"a head without an end", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", 0},
		{"a body that does not come", "POST /v1/chat/completions HTTP/1.1\r\n" + auth + "Content-Length: 50\r\n\r\n{", 400},
		{"a head beyond the bound", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 20000) + "\r\n\r\n", 431},
	}
	s := testServer(true)
	s.Limits.ReadTimeout, s.Limits.HeaderBytes, s.Limits.Connections = 300*time.Millisecond, 4096, 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			if _, err := c.Write([]byte(tc.send)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			got := 0
			if err == nil {
				got = resp.StatusCode
				resp.Body.Close()
			}
			if tc.want != 0 && got != tc.want || tc.want == 0 && got/100 == 2 {
				t.Errorf("status %d, want %d (%v)", got, tc.want, err)
			}
		})
	}
	resp, err := http.Get("http://" + l.Addr().String() + "/healthz")
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Errorf("health check afterwards: %v, %v", resp, err)
	}
}
