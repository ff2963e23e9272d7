package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the case's deployment.
const (
	engineService = "explain"
	host          = "models.example"
	streamPath    = "/stream/a"
	modelMB       = 65000.0
	engineMB      = 200000.0
	// modelsWithAdapters is how many of the models have adapters, and adapters how many each.
	modelsWithAdapters, adapters = 2, 28
)

// config returns a configuration with one route for streams and the given models.
func config(version int, models []string) []byte {
	type object = map[string]any
	var list []object
	for i, m := range models {
		n := 0
		if i < modelsWithAdapters {
			n = adapters
		}
		list = append(list, object{"name": m, "weights_mb": modelMB, "load_s": 6.0, "warm_s": 0.4, "disk_s": 0.5, "adapters": n, "adapter_mb": 12.0})
	}
	raw, _ := json.Marshal(object{
		"config_version": version,
		"routes": []object{{
			"name": "stream", "hostname": host, "path_prefix": "/stream/", "route_type": "streaming", "backend": engineService, "timeout_ms": 13000,
			"target_latency_ms": 2000, "priority": 0, "max_attempts": 2, "session_affinity": true, "resumable": true, "gap_aim_ms": 300,
		}},
		"backends": []object{{
			"name": engineService, "health_check": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": object{
				"slots": 64, "kv_capacity_tokens": 232000, "weights_mb": engineMB, "adapter_slots": adapterSlots, "loads_per_s": 7.7,
				"host_mb": 130000.0, "disk_mb": 1200000.0, "models": list,
			},
		}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	return raw
}

// balancer knows which nodes get callers, as the platform's does: it asks each node every second whether it is ready, and
// takes a node out after two answers in a row that are not 200.
type balancer struct {
	mu sync.Mutex
	in map[*node]bool
}

// newBalancer asks the nodes until ctx ends. The caller of a node that is not in sends to another one.
func newBalancer(ctx context.Context, wg *sync.WaitGroup, nodes []*node) *balancer {
	b := &balancer{in: make(map[*node]bool)}
	for i, n := range nodes {
		wg.Go(func() {
			clock.Sleep(time.Duration(i) * time.Second / time.Duration(len(nodes)))
			tick := clock.NewTicker(time.Second)
			defer tick.Stop()
			for misses := 0; ; {
				misses++
				if n.ready() {
					misses = 0
				}
				b.mu.Lock()
				b.in[n] = misses == 0 || b.in[n] && misses < 2
				b.mu.Unlock()
				select {
				case <-ctx.Done():
					return
				case <-tick.Chan():
				}
			}
		})
	}
	return b
}

// nodesIn returns the nodes that get callers.
func (b *balancer) nodesIn(nodes []*node) (in []*node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range nodes {
		if b.in[n] {
			in = append(in, n)
		}
	}
	return in
}

// callers sends streams for models at a rate to the nodes that the balancer has in.
type callers struct {
	r      *run
	client *http.Client
	// statuses counts how requests ended.
	mu       sync.Mutex
	statuses map[string]int
	next     atomic.Int64
}

func (r *run) newCallers() *callers {
	t := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &callers{r: r, client: &http.Client{Transport: t, Timeout: 14 * time.Second}, statuses: make(map[string]int)}
}

// send sends one request for a model to a node.
func (c *callers) send(ctx context.Context, n *node, model string) {
	id := fmt.Sprintf("9c41d%011x", c.next.Add(1))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+streamPath, http.NoBody)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Model", model)
	req.Header.Set("Token-Counts", "640,20")
	req.Header.Set("Prompt-Prefix", "5c1e07a2:150,"+id[8:]+":490")
	req.Header.Set("Request-Deadline", "13000")
	end := "no answer"
	resp, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		end = fmt.Sprint(resp.StatusCode)
		if err != nil {
			end += ", cut"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[end]++
}

// run sends perSecond requests a second, each for one of the models, until ctx ends.
func (c *callers) run(ctx context.Context, b *balancer, nodes []*node, models []string, perSecond int) {
	rng := rand.New(rand.NewPCG(88, 4))
	tick := clock.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-tick.Chan():
		}
		in := b.nodesIn(nodes)
		if len(in) == 0 {
			continue
		}
		n, model := in[rng.IntN(len(in))], models[rng.IntN(len(models))]
		wg.Go(func() { c.send(ctx, n, model) })
	}
}

func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.statuses)
}
