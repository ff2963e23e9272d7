// Package answerlimit bounds what a node takes of an answer.
//
// The load that it answers: endpoints in trouble send bytes without end that are no answer, in a head, a body, an event or
// comments between events, to many requests at once, while other endpoints answer as usual. A node must neither run out of
// memory, nor let sound answers fail for want of room that such bytes take.
package answerlimit

import (
	"errors"
	"fmt"
)

// Bounds of the parts of an answer, in bytes.
const (
	// HeadBytes bounds the head of an answer together with the interim heads before it. A sound one has a few KB, and one of
	// many short lines takes up to ten times its length when it is parsed.
	HeadBytes = 16 << 10
	// EventBytes bounds one event of a stream with the comments before it.
	EventBytes = 1 << 20
	// CommentBytes bounds what a stream sends before its first event, which is held until then. ForwardedCommentBytes bounds
	// what it sends between two later events.
	CommentBytes          = 64 << 10
	ForwardedCommentBytes = 1 << 20
	// SmallBytes is what any answer may hold, however much others hold.
	SmallBytes = 16 << 10
	// minBuffer is the size of the first buffer of a body whose length is unknown.
	minBuffer = 512
)

// Part is a part of an answer, as named in logs and metrics.
type Part string

// Parts of answers that are bounded.
const (
	Head     Part = "head"
	Body     Part = "body"
	Event    Part = "event"
	Comments Part = "comments"
)

// TooLongError is the error of an answer of which a part is longer than its bound.
type TooLongError struct {
	// From names the sender and its address.
	From string
	Part Part
	// Limit is the bound, in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s sent more than %d bytes as %s of an answer, and its connection was closed; take it out of service if it goes on", e.From, e.Limit, e.Part)
}

// IsTooLong reports whether err is or wraps a *TooLongError.
func IsTooLong(err error) bool {
	var e *TooLongError
	return errors.As(err, &e)
}

// NoRoomError is the error of an answer that was given up because the node holds too much of others. It says nothing about
// the endpoint.
type NoRoomError struct {
	// Size is what the answer would hold, Limit what all answers together may hold, in bytes.
	Size, Limit int64
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("this node has no room for %d bytes of an answer, since answers in progress hold %d bytes; repeat the request at another node if it may run twice", e.Size, e.Limit)
}

// IsNoRoom reports whether err is or wraps a *NoRoomError.
func IsNoRoom(err error) bool {
	var e *NoRoomError
	return errors.As(err, &e)
}

// Limits bound the answers that a node holds as a whole, in bytes; 0 stands for no limit.
type Limits struct {
	// Answer limits one answer, and Total the buffers of all answers together.
	Answer, Total int64
}

// CheckLength returns a *TooLongError if an answer of the given length, received or announced, is too long.
func (l Limits) CheckLength(length int64) error {
	if l.Answer > 0 && length > l.Answer {
		return &TooLongError{Part: Body, Limit: l.Answer}
	}
	return nil
}

// CheckRoom returns a *NoRoomError if the buffer of an answer may not grow to the given size. total is the size of all
// buffers after that. Answers of up to SmallBytes always have room, so that long answers fail first.
func (l Limits) CheckRoom(size, total int64) error {
	if l.Total > 0 && total > l.Total && size > SmallBytes {
		return &NoRoomError{Size: size, Limit: l.Total}
	}
	return nil
}

// NextBuffer returns the size of the next buffer of an answer that fills one of the given size. announced is the announced
// length, below 0 if there is none. The buffer grows with what arrives and not with what is announced, and has at most one
// byte more than the answer may have.
func (l Limits) NextBuffer(size, announced int64) int64 {
	next := max(minBuffer, 2*size)
	switch {
	case announced > size:
		next = min(next, announced)
	case announced >= 0:
		// All that was announced has come. What is left to read is the end.
		next = size + minBuffer
	}
	if l.Answer > 0 {
		next = max(size+1, min(next, l.Answer+1))
	}
	return next
}
