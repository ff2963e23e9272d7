// Package endless stands in for endpoints that send bytes without end in place of an answer.
//
// A [Shape] is one kind of such bytes. [Pipes] connects a client to endpoints in memory, so that a test knows how many bytes
// the client has read.
package endless

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// Shape is a kind of bytes without end.
type Shape struct {
	Name string
	// begin is sent first; %s stands for further lines of the head.
	begin string
	// repeat returns what is sent then, time after time.
	repeat func(i int) string
}

// Shapes of endless answers.
var (
	ShortNames = Shape{"head of short names", "HTTP/1.1 200 OK\r\n%s", shortNames}
	LongLine   = Shape{"one long header line", "HTTP/1.1 200 OK\r\n%sX-Long: ", filler("a")}
	StatusLine = Shape{"endless status line", "HTTP/1.1 200 ", filler("a")}
	NoHTTP     = Shape{"no HTTP", "", filler("a")}
	KBLines    = Shape{"header lines of 1 KB", "HTTP/1.1 200 OK\r\n%s", kbLine}
	Interim    = Shape{"endless 103s", "", filler("HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n")}
	Announced  = Shape{"body with a length beyond the limit", "HTTP/1.1 200 OK\r\n%sContent-Length: 1099511627776\r\n\r\n", filler("a")}
	Unframed   = Shape{"body without a length", "HTTP/1.1 200 OK\r\n%s\r\n", filler("a")}
	Chunked    = Shape{"chunked body", chunkedHead, chunks("a")}
	Event      = Shape{"endless event", chunkedHead, chunks("data: a")}
	Comments   = Shape{"endless comments", chunkedHead, chunks(": working\n\n")}
	EmptyLines = Shape{"endless empty lines", chunkedHead, chunks("\n")}
	Refusal    = Shape{"endless refusal", "HTTP/1.1 503 Service Unavailable\r\nEngine-Not-Run: true\r\n%s\r\n", filler("a")}
)

// Heads, Bodies and Streams are the shapes that end in the head, in the body of any answer, and in a stream.
var (
	Heads   = []Shape{ShortNames, LongLine, StatusLine, NoHTTP, KBLines, Interim}
	Bodies  = []Shape{Announced, Unframed, Chunked}
	Streams = []Shape{Event, Comments, EmptyLines}
)

const chunkedHead = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// pieceBytes is about the size of what is sent at once.
const pieceBytes = 4 << 10

// filler repeats a text.
func filler(text string) func(int) string {
	piece := strings.Repeat(text, pieceBytes/len(text))
	return func(int) string { return piece }
}

// chunks repeats a text in HTTP chunks.
func chunks(text string) func(int) string {
	piece := filler(text)(0)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	return func(int) string { return chunk }
}

func shortNames(i int) string {
	var b strings.Builder
	for k := i * pieceBytes; b.Len() < pieceBytes; k++ {
		b.WriteString(strconv.FormatInt(int64(k), 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

func kbLine(i int) string { return fmt.Sprintf("N%d: %s\r\n", i, strings.Repeat("a", 1<<10)) }

// Play sends bytes of the shape until w fails, and returns how many were taken. head holds further lines of the head, such as
// those without which a client takes no answer.
func (s *Shape) Play(w io.Writer, head string) (taken int64) {
	next := strings.ReplaceAll(s.begin, "%s", head)
	for i := 0; ; i++ {
		n, err := io.WriteString(w, next)
		taken += int64(n)
		if err != nil {
			return taken
		}
		next = s.repeat(i)
	}
}

// Pipes connects a client to endpoints in memory; it implements endpoint.Paths. Serve serves one connection to an address and
// must close it.
type Pipes struct {
	Serve func(address string, conn net.Conn)
}

var errNoTunnel = errors.New("there are no tunnels")

// Direct returns a connection to Serve.
func (p Pipes) Direct(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.Serve(address, far)
	return near, nil
}

// Tunnel fails.
func (Pipes) Tunnel(context.Context, string, string) (net.Conn, error) { return nil, errNoTunnel }

// Tunnelled returns false.
func (Pipes) Tunnelled(string) bool { return false }

// Answered does nothing.
func (Pipes) Answered(string) {}

// Silent does nothing.
func (Pipes) Silent(string) {}

// Refuses returns false.
func (Pipes) Refuses(context.Context, string) bool { return false }
