// Package cuthead stands in for endpoints that stop inside the head of an answer.
package cuthead

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// End is what happens to the connection of an answer that stops.
type End uint8

// Ends of connections.
const (
	// Close ends it in order.
	Close End = iota
	// Reset ends it by a reset.
	Reset
	// Silence leaves it open until the client closes it.
	Silence
)

// Ends are all ends.
var Ends = []End{Close, Reset, Silence}

// String implements fmt.Stringer.
func (e End) String() string { return [...]string{"close", "reset", "silence"}[e] }

// Play writes the first bytes of an answer to a connection and ends it. Written, which may be nil, is called before the end.
func Play(conn net.Conn, answer []byte, after int, end End, written func()) {
	defer conn.Close()
	_, _ = conn.Write(answer[:min(after, len(answer))])
	if written != nil {
		written()
	}
	switch l, ok := conn.(interface{ SetLinger(seconds int) error }); {
	case end == Silence:
		_, _ = io.Copy(io.Discard, conn)
	case end == Reset && ok:
		_ = l.SetLinger(0)
	}
}

// Answers are answers of different framing, by name, up to the end of their heads. Each has status 200 and the given header
// lines, which end with CRLF. A client that took a part of them for the whole would find an answer with an empty body in all but the
// one of fixed length.
func Answers(lines string) map[string][]byte {
	return map[string][]byte{
		"until the connection ends": []byte("HTTP/1.1 200 OK\r\n" + lines + "Connection: close\r\n\r\n"),
		"HTTP/1.0":                  []byte("HTTP/1.0 200 OK\r\n" + lines + "\r\n"),
		"length":                    []byte("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + lines + "\r\n"),
		"length at the end":         []byte("HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 0\r\n\r\n"),
		"chunks":                    []byte("HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n"),
		"interim answer":            []byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + lines + "\r\n"),
		"lines end with LF":         []byte(strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+lines+"\r\n", "\r\n", "\n")),
	}
}

// EmptyAnswers are the answers of Answers that are most easily taken for whole: without a length, and with one of 0.
func EmptyAnswers(lines string) map[string][]byte {
	all, out := Answers(lines), make(map[string][]byte)
	for _, name := range []string{"until the connection ends", "length at the end"} {
		out[name] = all[name]
	}
	return out
}

// Server answers requests on connections of loopback with the first bytes of an answer.
type Server struct {
	l net.Listener
	// first is the answer to the first request of a connection, after which the connection is kept; nil for none.
	first, answer []byte
	after         int
	end           End
	// written receives a value for each answer after its last byte was written.
	written chan struct{}
}

// NewServer returns a server whose answers stop after some bytes. If first is not nil, it is the whole answer to the first request
// of each connection. The server must be closed.
func NewServer(first, answer []byte, after int, end End) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for answers that stop after %d bytes: %w", after, err)
	}
	s := &Server{l: l, first: first, answer: answer, after: after, end: end, written: make(chan struct{}, 64)}
	go s.accept()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.l.Addr().String() }

// Context returns the context for one request. If the server falls silent, it ends once the server has, in place of a timeout.
func (s *Server) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	if s.end == Silence {
		go func() {
			select {
			case <-s.written:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return ctx, cancel
}

// Close ends the server.
func (s *Server) Close() error { return s.l.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.l.Accept()
		if err != nil {
			return
		}
		go func() {
			if s.first != nil && readRequest(conn) {
				_, _ = conn.Write(s.first)
			}
			if !readRequest(conn) {
				_ = conn.Close()
				return
			}
			Play(conn, s.answer, s.after, s.end, func() { s.written <- struct{}{} })
		}()
	}
}

// readRequest reads a request of known length; ok is false if there is none.
func readRequest(conn net.Conn) (ok bool) {
	var head []byte
	buf := make([]byte, 4096)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		n, err := conn.Read(buf)
		if err != nil {
			return false
		}
		head = append(head, buf[:n]...)
	}
	_, body, _ := bytes.Cut(head, []byte("\r\n\r\n"))
	// Some clients write the body apart from the head, and a request that follows would begin with its rest.
	for rest := contentLength(head) - len(body); rest > 0; {
		n, err := conn.Read(buf[:min(rest, len(buf))])
		if err != nil {
			return false
		}
		rest -= n
	}
	return true
}

// contentLength returns the length of the body that a head states; 0 if it states none.
func contentLength(head []byte) int {
	n := 0
	for line := range bytes.Lines(head) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(name), "Content-Length") {
			_, _ = fmt.Sscan(string(value), &n)
		}
	}
	return n
}
