package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case left-engine.
const (
	leftNodes   = 3
	leftEngines = 4
	leftRounds  = 8
	leftRound   = 8 * time.Second
	// cutFor is how long the holder is cut from the store, and removedAfter when in a cut an engine's entry is removed.
	cutFor, removedAfter = 200 * time.Millisecond, 50 * time.Millisecond
	// drainBound is drain_ms. An engine whose entry was removed serves for servesOn and then ends.
	drainBound, servesOn = 2 * time.Second, 2300 * time.Millisecond
	// callRate is the calls a second, and callWork how long an engine works on one.
	callRate = 60
	callWork = 80 * time.Millisecond
)

// callEngine is an engine of a plain service, whose calls may not be repeated.
type callEngine struct {
	r        *run
	id, addr string
	server   *http.Server

	mu sync.Mutex
	// arrived is when each call arrived, by its id, and whole holds those that were answered whole.
	arrived map[string]time.Time
	whole   map[string]bool
	removed time.Time
	// ended is set once the engine's process has ended.
	ended bool
}

func (r *run) newCallEngine(i int) (*callEngine, error) {
	l, err := net.Listen("tcp", loopback(100+i)+":0")
	if err != nil {
		return nil, err
	}
	e := &callEngine{r: r, id: fmt.Sprintf("i-%08x", 0xb0000000+i), addr: l.Addr().String(), arrived: make(map[string]time.Time), whole: make(map[string]bool)}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

func (e *callEngine) entry() []byte {
	raw, _ := json.Marshal(map[string]any{"backend": "quote", "address": e.addr, "zone": "hall-a", "config_version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq": 1})
	return raw
}

// ServeHTTP implements http.Handler.
func (e *callEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Request-Id")
	if id == "" {
		return
	}
	e.mu.Lock()
	e.arrived[id] = clock.Now()
	e.mu.Unlock()
	clock.Sleep(callWork)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp."+e.id)
	e.mu.Lock()
	e.whole[id] = !e.ended
	e.mu.Unlock()
	fmt.Fprintf(w, "answer to %s", id)
}

// calls are the calls that callers have sent.
type calls struct {
	mu sync.Mutex
	// node is the node that took a call, by its id, and status how it ended; 0 without an answer.
	node   map[string]string
	status map[string]int
}

// leftEngine plays engines that leave without a word but the removal of their entries, each while the holder is cut from
// the store for a moment, and checks that none gets a call of the other nodes later than drain_ms after that.
func leftEngine(r *run) (broken []string, err error) {
	s, err := r.newStore()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	raw, _ := json.Marshal(map[string]any{
		"config_version": 1,
		"routes": []map[string]any{{
			"name": "call", "hostname": host, "path_prefix": "/call/", "route_type": "unsafe", "backend": "quote", "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
		}},
		"backends": []map[string]any{{"name": "quote", "health_check": "/health", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	s.Put("keyed.op", "config", raw)
	var engines []*callEngine
	add := func() error {
		e, err := r.newCallEngine(len(engines))
		if err != nil {
			return err
		}
		engines = append(engines, e)
		s.Put("keyed.servers", e.id, e.entry())
		return nil
	}
	defer func() {
		for _, e := range engines {
			_ = e.server.Close()
		}
	}()
	for range leftEngines {
		if err := add(); err != nil {
			return nil, err
		}
	}
	fronts := make(map[string]*front)
	var nodes []*node
	for i := range leftNodes {
		f, err := r.newFront(i, s)
		if err != nil {
			return nil, err
		}
		n := r.newNode(1+i, f.addr, false)
		nodes, fronts[n.name] = append(nodes, n), f
		defer n.kill()
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(nodes, 20*time.Second); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	c := &calls{node: make(map[string]string), status: make(map[string]int)}
	wg.Go(func() { c.run(ctx, &wg, nodes) })
	clock.Sleep(3 * time.Second)
	for round := range leftRounds {
		began := clock.Now()
		holder := s.currentHolder()
		if r.trouble {
			r.record.printf("round %d: %s, the holder, is cut from the store", round+1, holder)
			fronts[holder].setCut(true)
		}
		clock.Sleep(removedAfter)
		e := engines[round]
		s.Put("keyed.servers", e.id, nil)
		e.mu.Lock()
		e.removed = clock.Now()
		e.mu.Unlock()
		r.record.printf("the entry of engine %s is removed", e.id)
		clock.Sleep(cutFor - removedAfter)
		fronts[holder].setCut(false)
		clock.Sleep(servesOn - (cutFor - removedAfter))
		e.mu.Lock()
		e.ended = true
		e.mu.Unlock()
		_ = e.server.Close()
		r.record.printf("engine %s ends", e.id)
		clock.Sleep(time.Second)
		broken = append(broken, c.judge(r, e, holder)...)
		if err := add(); err != nil {
			return nil, err
		}
		clock.Sleep(max(0, leftRound-clock.Since(began)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := make(map[int]int)
	for _, status := range c.status {
		ends[status]++
	}
	r.record.printf("calls ended: %v", ends)
	return broken, nil
}

// run sends callRate calls a second, each on a route whose calls may not be repeated, until ctx ends.
func (c *calls) run(ctx context.Context, wg *sync.WaitGroup, nodes []*node) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	tick := clock.NewTicker(time.Second / callRate)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
		n, id := nodes[i%len(nodes)], fmt.Sprintf("9c41d%011x", i)
		c.mu.Lock()
		c.node[id] = n.name
		c.mu.Unlock()
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+n.front()+"/call/a", http.NoBody)
			if err != nil {
				return
			}
			req.Host = host
			req.Header.Set("Request-Id", id)
			req.Header.Set("Request-Deadline", "3000")
			status := 0
			if resp, err := client.Do(req); err == nil {
				if _, err := io.Copy(io.Discard, resp.Body); err == nil {
					status = resp.StatusCode
				}
				_ = resp.Body.Close()
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.status[id] = status
		})
	}
}

// judge returns the calls that nodes other than the one that was cut sent to an engine later than drain_ms after its entry
// was removed.
func (c *calls) judge(r *run, e *callEngine, cut string) (broken []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, at := range e.arrived {
		if c.node[id] == cut {
			continue
		}
		late := at.Sub(e.removed)
		if !e.whole[id] {
			r.record.printf("engine %s ended while it ran call %s, which came %v after the removal by %s and ended with %d", e.id, id, late.Round(time.Millisecond), c.node[id], c.status[id])
		}
		if late > drainBound {
			broken = append(broken, fmt.Sprintf("call %s of %s reached engine %s %v after the removal of its entry, and ended with %d", id, c.node[id], e.id, late.Round(time.Millisecond), c.status[id]))
		}
	}
	return broken
}
