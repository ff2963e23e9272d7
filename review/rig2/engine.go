package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// arrival is an order that reached an engine.
type arrival struct {
	at        time.Time
	engine    string
	holder    string
	fence     uint64
	operation string
	model     string
	status    int
}

// engine is a stand-in model engine that checks no fences. It keeps every model on its disk, takes one order at a time and
// serves streams of a few events.
type engine struct {
	r        *run
	id, addr string
	// capacity is how many models fit.
	capacity int
	load     time.Duration

	mu       sync.Mutex
	models   []*heldModel
	running  map[string]int
	all      []string
	busy     bool
	seq      int
	arrivals []arrival
	server   *http.Server
	// born is when the engine's process started, in Unix milliseconds.
	born int64
	// late returns for an order whether it gets no answer and is carried out late, and after which time; nil for none.
	late func(e *engine, o *order) (time.Duration, bool)
	// overloads are the orders to load more than fits.
	overloads []string
}

// order is an order on the wire.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fencing_token"`
	Expected  *int   `json:"expected_revision"`
}

func (o *order) unit() string {
	if o.Adapter != "" {
		return o.Model + "/" + o.Adapter
	}
	return o.Model
}

func (r *run) newEngine(i, capacity int, load time.Duration, models, all []string) (*engine, error) {
	e := &engine{r: r, id: fmt.Sprintf("i-%08x", 0xa0000000+i), addr: loopback(100+i) + ":0", capacity: capacity, load: load, all: all, running: make(map[string]int)}
	for _, m := range models {
		e.models = append(e.models, &heldModel{m, 1, []string{}})
	}
	return e, e.listen()
}

// listen starts the engine's process.
func (e *engine) listen() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.born = l.Addr().String(), clock.Now().UnixMilli()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return nil
}

// crash ends the engine's process without notice. It starts again after a time, under its id and address, and then holds
// nothing and counts its orders from 0.
func (e *engine) crash(down time.Duration) error {
	e.r.record.printf("engine %s crashes", e.id)
	e.close()
	clock.Sleep(down)
	e.mu.Lock()
	e.models, e.busy, e.seq, e.running = nil, false, 0, make(map[string]int)
	e.mu.Unlock()
	err := e.listen()
	e.r.record.printf("engine %s has started again", e.id)
	return err
}

func (e *engine) close() {
	e.mu.Lock()
	s := e.server
	e.mu.Unlock()
	_ = s.Close()
}

// names returns the models that the engine holds.
func (e *engine) names() (out []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.models {
		out = append(out, m.Name)
	}
	return out
}

// heldModel is a model that the engine holds, in the form of entries and reports.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"config_version"`
	Adapters []string `json:"adapters"`
}

// find returns a model that the engine holds; nil if it does not. e.mu must be held.
func (e *engine) find(model string) *heldModel {
	for _, m := range e.models {
		if m.Name == model {
			return m
		}
	}
	return nil
}

// entry returns the engine's entry in the store.
func (e *engine) entry(service string, beat int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{
		"backend": service, "address": e.addr, "zone": "hall-a", "config_version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "born": e.born,
		"stage": "both", "models": e.models, "seq": beat, "at_hand": map[string]any{"in_memory": e.all, "on_disk": e.all},
	})
	return raw
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"born": e.born, "stage": "both", "models": e.models, "busy": e.busy, "seq": e.seq, "queued": 0, "running": len(e.running), "kv_used": 1000, "kv_total": 232000, "handles": 0,
			"at_hand": map[string]any{"in_memory": e.all, "on_disk": e.all},
		})
	case "/order":
		e.order(w, q)
	default:
		e.serve(w, q)
	}
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	late := e.late
	e.mu.Unlock()
	if late != nil {
		if delay, ok := late(e, &o); ok {
			e.r.record.printf("engine %s: order %s %s of %s at count %d gets no answer, to be carried out after %v", e.id, o.Operation, o.unit(), o.Holder, *o.Expected, delay)
			clock.AfterFunc(delay, func() { e.take(&o, "late ") })
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	w.WriteHeader(e.take(&o, ""))
}

// take carries out an order if it may be, and returns the status.
func (e *engine) take(o *order, how string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	m, unit := e.find(o.Model), o.unit()
	switch {
	case o.Expected != nil && *o.Expected != e.seq:
		status = http.StatusConflict
	case o.Adapter != "" && m == nil:
		status = http.StatusMisdirectedRequest
	case o.Adapter != "":
		status = e.takeAdapter(m, o.Adapter, o.Operation == "load")
	case e.busy:
		status = http.StatusConflict
	case (m != nil) == (o.Operation == "load"):
		status = http.StatusOK
	case o.Operation == "load" && len(e.models) >= e.capacity:
		e.overloads = append(e.overloads, fmt.Sprintf("engine %s, which holds %d models of %.0f MB in its %.0f MB, got the order of %s to load %s", e.id, len(e.models), modelMB, engineMB, o.Holder, unit))
	default:
		e.begin(o, m)
	}
	e.arrivals = append(e.arrivals, arrival{clock.Now(), e.id, o.Holder, o.Fence, o.Operation, unit, status})
	e.r.record.printf("engine %s: %sorder %s %s of %s with fencing token %d: %d", e.id, how, o.Operation, unit, o.Holder, o.Fence, status)
	return status
}

// begin begins a load, or the unload of a model that the engine holds. e.mu must be held.
func (e *engine) begin(o *order, m *heldModel) {
	e.seq++
	e.busy = true
	took, born := e.load, e.born
	if m != nil {
		took = unloadTime
		e.models = slices.DeleteFunc(e.models, func(h *heldModel) bool { return h == m })
	}
	clock.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born != born {
			return
		}
		e.busy = false
		if o.Operation == "load" {
			e.models = append(e.models, &heldModel{o.Model, 1, []string{}})
		}
	})
}

// unloadTime is how long the unload of a model takes, and adapterSlots how many adapters fit.
const (
	unloadTime   = 70 * time.Millisecond
	adapterSlots = 8
)

// takeAdapter carries out an order for an adapter of a model that the engine holds, and returns the status. e.mu must be
// held.
func (e *engine) takeAdapter(m *heldModel, adapter string, load bool) int {
	if slices.Contains(m.Adapters, adapter) == load {
		return http.StatusOK
	}
	e.seq++
	if !load {
		m.Adapters = slices.DeleteFunc(m.Adapters, func(a string) bool { return a == adapter })
		return http.StatusOK
	}
	m.Adapters = append(m.Adapters, adapter)
	n := 0
	for _, h := range e.models {
		n += len(h.Adapters)
	}
	if n > adapterSlots {
		e.r.record.printf("engine %s: %d adapters, more than its %d places", e.id, n, adapterSlots)
	}
	return http.StatusAccepted
}

// streamEvents is the number of events of a stream, and streamGap the pause before each.
const (
	streamEvents = 4
	streamGap    = 20 * time.Millisecond
)

func (e *engine) serve(w http.ResponseWriter, q *http.Request) {
	model, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	id := q.Header.Get("Request-Id")
	e.mu.Lock()
	m := e.find(model)
	held := m != nil && (adapter == "" || slices.Contains(m.Adapters, adapter))
	if held {
		e.running[id]++
	}
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	if !held {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	w.Header().Set("Server-Stamp", "stamp."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= streamEvents; i++ {
		clock.Sleep(streamGap)
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// taken returns the orders that reached the engine, in their order of arrival.
func (e *engine) taken() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}
