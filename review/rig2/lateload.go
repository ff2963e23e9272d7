package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case late-load.
const (
	lateNodes    = 3
	lateEngines  = 3
	lateCapacity = 3
	lateModels   = 12
	// lateCount is the count of orders taken at which the late order is to be carried out: as many as fill an empty engine.
	lateCount = lateCapacity
	// lateAfter is how long after it was sent the order is carried out.
	lateAfter = 11 * time.Second
	// engineDown and nodeDown are how long the engine and the holder's process are down.
	engineDown, nodeDown = 500 * time.Millisecond, 500 * time.Millisecond
	// askEvery is the pause between two requests.
	askEvery = 700 * time.Millisecond
)

// lateLoad plays the crash of an engine that has left an order without an answer, and then of the process that holds the
// lease. It checks that no engine gets an order to load more than fits.
func lateLoad(r *run) (broken []string, err error) {
	var models []string
	for i := range lateModels {
		models = append(models, fmt.Sprintf("m%02d", i))
	}
	s, err := r.newStore()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	s.Put("keyed.op", "config", config(1, models))
	var mu sync.Mutex
	var unanswered *engine
	lateModel, found := "", make(chan struct{})
	late := func(e *engine, o *order) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if unanswered != nil || o.Operation != "load" || o.Expected == nil || *o.Expected != lateCount {
			return 0, false
		}
		unanswered, lateModel = e, o.Model
		close(found)
		return lateAfter, r.trouble
	}
	var engines []*engine
	for i := range lateEngines {
		e, err := r.newEngine(i, lateCapacity, 500*time.Millisecond, models[i*lateCapacity:(i+1)*lateCapacity], models)
		if err != nil {
			return nil, err
		}
		defer func() { e.close() }()
		e.late = late
		engines = append(engines, e)
		s.Put("keyed.servers", e.id, e.entry(engineService, 0))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { beats(ctx, s, engines) })
	var nodes []*node
	for i := range lateNodes {
		n := r.newNode(1+i, s.addr, false)
		nodes = append(nodes, n)
		defer n.kill()
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(nodes, 20*time.Second); err != nil {
		return nil, err
	}
	// Callers ask for models that no engine holds, one after the other, so that engines unload and load.
	c := r.newCallers()
	for i := 0; ; i++ {
		wg.Go(func() { c.send(ctx, nodes[i%len(nodes)], models[i*5%lateModels]) })
		select {
		case <-found:
		case <-clock.After(askEvery):
			if i > 80 {
				return nil, errors.New("no engine was ordered to load at the count of the case")
			}
			continue
		}
		break
	}
	sent := clock.Now()
	if r.trouble {
		clock.Sleep(time.Second)
		if err := unanswered.crash(engineDown); err != nil {
			return nil, err
		}
		s.Put("keyed.servers", unanswered.id, unanswered.entry(engineService, 1))
		clock.Sleep(time.Second)
		for _, n := range nodes {
			if n.name != s.currentHolder() {
				continue
			}
			n.signal(syscall.SIGKILL)
			clock.Sleep(nodeDown)
			if err := n.start(); err != nil {
				return nil, err
			}
		}
	}
	// Callers ask for models that no engine holds until the engine that was empty is full, and then only for what it holds.
	// Nobody asks again for the model of the late order.
	for i := 0; clock.Since(sent) < lateAfter+time.Second; i++ {
		wanted := unanswered.names()
		if len(wanted) < lateCapacity {
			wanted = unheld(engines, models, lateModel)
		}
		wg.Go(func() { c.send(ctx, nodes[i%len(nodes)], wanted[i%len(wanted)]) })
		clock.Sleep(askEvery)
	}
	r.record.printf("requests ended: %s", c.summary())
	for _, e := range engines {
		e.mu.Lock()
		broken = append(broken, e.overloads...)
		e.mu.Unlock()
	}
	return broken, nil
}

// unheld returns the models that no engine holds, but one.
func unheld(engines []*engine, models []string, but string) []string {
	held := []string{but}
	for _, e := range engines {
		held = append(held, e.names()...)
	}
	return slices.DeleteFunc(slices.Clone(models), func(m string) bool { return slices.Contains(held, m) })
}
