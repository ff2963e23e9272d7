// Package keepalive decides which connections a server keeps open while they carry no request.
//
// Each open connection takes a descriptor and memory, so that a server must limit them. A connection that carries no
// request is closed after a timeout. At the limit, the one that has carried none the longest gives way to a new one: its
// caller notices the close and connects again, while a connection that is not accepted gets no answer. A new connection
// gives way only after freshPatience, since its first request may be on the way. A server on which all connections carry
// requests accepts no more, and is [Set.Full].
package keepalive

import (
	"container/list"
	"time"
)

// Timeouts limit how long connections are kept; 0 for no limit.
type Timeouts struct {
	// Idle is how long a connection may carry no request.
	Idle time.Duration
	// Head is how long the head of a request may take from its first byte.
	Head time.Duration
}

// freeShare is the percentage of the limit below which the connections with requests must fall until a set that was full
// no longer is.
const freeShare = 90

// freshPatience is how long a new connection without a request is kept in any case. Callers give a connection as long to
// come up.
const freshPatience = time.Second

// phase is what a connection is used for.
type phase uint8

const (
	// fresh connections have carried nothing yet.
	fresh phase = iota
	// idle connections carry no request, and their latest one is answered.
	idle
	// heading connections carry a part of the head of a request.
	heading
	// active connections carry a request.
	active
	// closing connections were told to close.
	closing
	// listed is the number of phases before active, whose connections may be closed.
	listed = active
)

// entry is a connection in its phase since a time. place is its place in the list of the phase, if that is listed.
type entry[C comparable] struct {
	conn  C
	phase phase
	since time.Time
	place *list.Element
}

// Set holds the open connections of a server. It is not safe for concurrent use.
type Set[C comparable] struct {
	// limit is the maximum number of connections that are not closing; 0 for no limit.
	limit int
	all   map[C]*entry[C]
	// lists holds the connections of the listed phases, each by the time since which they are in it.
	lists   [listed]list.List
	closing int
	full    bool
	// evictions and expiries count the connections that were told to close for want of room and by a timeout.
	evictions, expiries int
}

// New returns an empty set for at most limit connections; 0 for no limit.
func New[C comparable](limit int) *Set[C] {
	return &Set[C]{limit: limit, all: make(map[C]*entry[C])}
}

// Add adds a new connection. If ok is false, the server has as many with requests as it may have, and the new one must be
// closed. If evicted is not the zero value, that connection must be closed in favor of the new one.
func (s *Set[C]) Add(c C, now time.Time) (evicted C, ok bool) {
	if s.limit > 0 && s.open() >= s.limit {
		e := s.evictable(now)
		if e == nil {
			s.full = true
			return evicted, false
		}
		s.enter(e, closing, now)
		s.evictions++
		evicted = e.conn
	}
	e := &entry[C]{conn: c}
	s.all[c] = e
	s.join(e, fresh, now)
	return evicted, true
}

// evictable returns the connection that has carried no request the longest; nil if none may give way.
func (s *Set[C]) evictable(now time.Time) *entry[C] {
	unused, used := s.first(fresh), s.first(idle)
	switch {
	case unused == nil || now.Sub(unused.since) < freshPatience:
		return used
	case used == nil || unused.since.Before(used.since):
		return unused
	}
	return used
}

// first returns the connection that has been in a listed phase the longest; nil if there is none.
func (s *Set[C]) first(p phase) *entry[C] {
	if front := s.lists[p].Front(); front != nil {
		return front.Value.(*entry[C])
	}
	return nil
}

// Begin records the first byte of a request. revived is true if the connection was told to close before, and is kept.
func (s *Set[C]) Begin(c C, now time.Time) (revived bool) {
	e := s.all[c]
	if e == nil {
		return false
	}
	revived = e.phase == closing
	s.enter(e, heading, now)
	return revived
}

// Activate records that the head of a request has been read.
func (s *Set[C]) Activate(c C, now time.Time) {
	if e := s.all[c]; e != nil {
		s.enter(e, active, now)
	}
}

// Rest records that the request of a connection is answered.
func (s *Set[C]) Rest(c C, now time.Time) {
	if e := s.all[c]; e != nil {
		s.enter(e, idle, now)
	}
}

// Remove removes a connection that was closed.
func (s *Set[C]) Remove(c C) {
	if e := s.all[c]; e != nil {
		s.leave(e)
		delete(s.all, c)
	}
}

// Expire returns the connections that have carried no request, or an incomplete head, for longer than the timeouts. They
// must be closed.
func (s *Set[C]) Expire(now time.Time, t Timeouts) (out []C) {
	for p, timeout := range [listed]time.Duration{fresh: t.Idle, idle: t.Idle, heading: t.Head} {
		for e := s.first(phase(p)); e != nil && timeout > 0 && now.Sub(e.since) >= timeout; e = s.first(phase(p)) {
			s.enter(e, closing, now)
			s.expiries++
			out = append(out, e.conn)
		}
	}
	return out
}

// Full reports whether a new connection was refused, and those with requests have not fallen below freeShare of the limit
// since.
func (s *Set[C]) Full() bool {
	s.full = s.full && 100*(s.open()-s.unused()) >= freeShare*s.limit
	return s.full
}

// Counts are the numbers of open connections by what they carry.
type Counts struct {
	Fresh   int `json:"fresh"`
	Idle    int `json:"idle"`
	Heading int `json:"headIncomplete"`
	Active  int `json:"active"`
	Closing int `json:"closing"`
	// Evicted and Expired count the connections since the start that were told to close for want of room and by a timeout.
	Evicted int `json:"evicted"`
	Expired int `json:"expired"`
}

// Counts returns the numbers of open connections.
func (s *Set[C]) Counts() Counts {
	n := Counts{
		Fresh: s.lists[fresh].Len(), Idle: s.lists[idle].Len(), Heading: s.lists[heading].Len(), Closing: s.closing,
		Evicted: s.evictions, Expired: s.expiries,
	}
	n.Active = s.open() - n.Fresh - n.Idle - n.Heading
	return n
}

// open returns the number of connections that are not closing, and unused how many of them carry nothing.
func (s *Set[C]) open() int   { return len(s.all) - s.closing }
func (s *Set[C]) unused() int { return s.lists[fresh].Len() + s.lists[idle].Len() }

// enter moves a connection from its phase to another one.
func (s *Set[C]) enter(e *entry[C], p phase, now time.Time) {
	s.leave(e)
	s.join(e, p, now)
}

// join puts a connection into the list or the count of a phase.
func (s *Set[C]) join(e *entry[C], p phase, now time.Time) {
	e.phase, e.since = p, now
	switch {
	case p < listed:
		e.place = s.lists[p].PushBack(e)
	case p == closing:
		s.closing++
	}
}

// leave takes a connection out of the list or the count of its phase.
func (s *Set[C]) leave(e *entry[C]) {
	switch {
	case e.phase < listed:
		s.lists[e.phase].Remove(e.place)
	case e.phase == closing:
		s.closing--
	}
}
