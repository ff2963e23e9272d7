package main

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// front is the address at which one node reaches the store. Its connections can be reset while the other nodes reach the
// store at theirs.
type front struct {
	inner http.Handler
	addr  string

	mu  sync.Mutex
	cut bool
	// cancels end the calls under way.
	cancels map[int]context.CancelFunc
	next    int
}

func (r *run) newFront(i int, inner http.Handler) (*front, error) {
	l, err := net.Listen("tcp", loopback(200+i)+":0")
	if err != nil {
		return nil, err
	}
	f := &front{inner: inner, addr: l.Addr().String(), cancels: make(map[int]context.CancelFunc)}
	go func() { _ = (&http.Server{Handler: f}).Serve(l) }()
	return f, nil
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	f.mu.Lock()
	id, cut := f.next, f.cut
	f.next++
	f.cancels[id] = cancel
	f.mu.Unlock()
	if !cut {
		f.inner.ServeHTTP(w, q.WithContext(ctx))
	}
	f.mu.Lock()
	delete(f.cancels, id)
	cut = cut || f.cut
	f.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
}

// setCut begins or ends a cut, during which all connections are reset.
func (f *front) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	for _, cancel := range f.cancels {
		if cut {
			cancel()
		}
	}
}
