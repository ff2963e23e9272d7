package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Sizes and times of the case stale-holder.
const (
	staleNodes   = 9
	staleEngines = 9
	staleModels  = 50
	// staleCapacity is how many of the models fit into an engine's 200 GB.
	staleCapacity = 3
	// staleRate is the requests a second to all nodes.
	staleRate = 50
	// lostAfter is when in a round the store loses the answer to a renewal, the fourth or fifth one, and lateBy is how late it
	// carries that call out.
	lostAfter = 2300 * time.Millisecond
	lateBy    = 4 * time.Second
	// stopAfter is how long after an append of the holder that gets no answer the holder is told to stop.
	stopAfter = 100 * time.Millisecond
	rounds    = 8
	roundTime = 10 * time.Second
)

// staleHolder plays planned stops of the lease holder while the store loses some answers, and checks that no engine gets
// an order with a lower fencing token after one with a higher token.
func staleHolder(r *run) (broken []string, err error) {
	var models []string
	for i := range staleModels {
		models = append(models, fmt.Sprintf("m%02d", i))
	}
	asked := slices.Clone(models[modelsWithAdapters:])
	for _, m := range models[:modelsWithAdapters] {
		for i := range adapters {
			asked = append(asked, fmt.Sprintf("%s/a%d", m, 1+i), fmt.Sprintf("%s/a%d", m, 1+i))
		}
	}
	s, err := r.newStore()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	s.Put("keyed.op", "config", config(1, models))
	var engines []*engine
	for i := range staleEngines {
		// The two busy models are at each engine, which holds one other.
		holds := append([]string{}, models[:modelsWithAdapters]...)
		holds = append(holds, models[modelsWithAdapters+i])
		e, err := r.newEngine(i, staleCapacity, 400*time.Millisecond, holds, models)
		if err != nil {
			return nil, err
		}
		defer e.close()
		engines = append(engines, e)
		s.Put("keyed.servers", e.id, e.entry(engineService, 0))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { beats(ctx, s, engines) })
	var nodes []*node
	byName := make(map[string]*node)
	for i := range staleNodes {
		n := r.newNode(1+i, s.addr, false)
		nodes, byName[n.name] = append(nodes, n), n
		defer n.kill()
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(nodes, 20*time.Second); err != nil {
		return nil, err
	}
	c := r.newCallers()
	b := newBalancer(ctx, &wg, nodes)
	wg.Go(func() { c.run(ctx, b, nodes, asked, staleRate) })
	clock.Sleep(4 * time.Second)
	for round := range rounds {
		began := clock.Now()
		r.record.printf("round %d", round+1)
		if _, err := playRound(r, s, byName); err != nil {
			return nil, err
		}
		clock.Sleep(max(0, roundTime-clock.Since(began)))
	}
	r.record.printf("requests ended: %s", c.summary())
	return staleOrders(engines), nil
}

// beats writes the entries of the engines as they change, about every heartbeat.
func beats(ctx context.Context, s *store, engines []*engine) {
	tick := clock.NewTicker(1200 * time.Millisecond)
	defer tick.Stop()
	for beat := 1; ; beat++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}
		for _, e := range engines {
			s.Put("keyed.servers", e.id, e.entry(engineService, beat))
		}
	}
}

// playRound plays a part of a rolling restart, and returns the names of the nodes that were stopped: one that has not held
// the lease yet, and, about when that one is started again, the holder. With trouble, the store loses answers meanwhile: of the
// holder's renewals, which come every 0.6 s, the first one after lostAfter gets none.
func playRound(r *run, s *store, nodes map[string]*node) (string, error) {
	holder := s.currentHolder()
	n := nodes[holder]
	if n == nil {
		return "", fmt.Errorf("the store knows no holder %q", holder)
	}
	var other *node
	for _, o := range nodes {
		if !s.held(o.name) && (other == nil || o.name < other.name) {
			other = o
		}
	}
	held := make(chan struct{})
	var mu sync.Mutex
	began, lost := clock.Now(), false
	s.setLate(func(by string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if lost || by != holder || clock.Since(began) < lostAfter {
			return 0, false
		}
		lost = true
		close(held)
		return lateBy, r.trouble
	})
	if other == nil {
		return "", errors.New("every node has held the lease")
	}
	ended := make(chan error, 1)
	go func() { ended <- other.roll() }()
	select {
	case <-held:
	case <-clock.After(2 * lostAfter):
		return "", fmt.Errorf("%s renews the lease no more", holder)
	}
	clock.Sleep(stopAfter)
	r.record.printf("SIGTERM to %s, the holder", holder)
	return holder, errors.Join(n.roll(), <-ended)
}

// staleOrders returns the orders that an engine took after it had got one with a higher fencing token.
func staleOrders(engines []*engine) (broken []string) {
	for _, e := range engines {
		var highest arrival
		for _, a := range e.taken() {
			switch {
			case a.fence >= highest.fence:
				highest = a
			case a.status == 202:
				broken = append(broken, fmt.Sprintf("engine %s carried out %s %s of %s with fencing token %d, %v after an order of %s with %d (status %d)",
					e.id, a.operation, a.model, a.holder, a.fence, a.at.Sub(highest.at).Round(time.Millisecond), highest.holder, highest.fence, highest.status))
			}
		}
	}
	return broken
}
