package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// order is the body of a load or unload request.
type order struct {
	Unit        string `json:"unit"`
	Version     string `json:"version"`
	Base        string `json:"base"`
	Bytes       uint64 `json:"bytes"`
	Fence       uint64 `json:"fence"`
	Incarnation uint64 `json:"incarnation"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// checkFence checks an order against the engine's incarnation and, if the engine checks fences, the
// highest fencing number seen, which it updates. The caller holds e.mu.
func (e *Engine) checkFence(o order) error {
	if o.Incarnation != e.incarnation {
		return errors.New("wrongIncarnation")
	}
	if e.ChecksFences && o.Fence < e.fence {
		return errors.New("staleFence")
	}
	e.fence = max(e.fence, o.Fence)
	return nil
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	res, err := e.beginLoad(o)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	select {
	case <-res.done:
	case <-r.Context().Done():
		return
	}
	if res.err != nil {
		http.Error(w, res.err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// beginLoad starts a load, or returns the one that is in progress or complete.
func (e *Engine) beginLoad(o order) (*resident, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o); err != nil {
		return nil, err
	}
	k := unitKey{o.Unit, o.Version}
	if res := e.units[k]; res != nil {
		if res.phase == unloading {
			return nil, errors.New("unloading")
		}
		return res, nil
	}
	if e.used+o.Bytes > e.MemoryBytes {
		e.addViolation("load of %s@%s would hold %d of %d bytes", o.Unit, o.Version, e.used+o.Bytes, e.MemoryBytes)
		return nil, errors.New("outOfMemory")
	}
	if o.Base != "" && !e.hasBase(o.Base) {
		e.addViolation("load of adapter %s without its base %s", o.Unit, o.Base)
		return nil, errors.New("baseNotLoaded")
	}
	e.updateIdle()
	res := &resident{bytes: o.Bytes, base: o.Base, phase: loading, done: make(chan struct{})}
	e.units[k] = res
	e.used += o.Bytes
	e.updateIdle()
	go e.finishLoad(k, res, e.disk[k])
	return res, nil
}

func (e *Engine) hasBase(base string) bool {
	for k, res := range e.units {
		if k.Unit == base && res.phase == loaded {
			return true
		}
	}
	return false
}

func (e *Engine) finishLoad(k unitKey, res *resident, onDisk bool) {
	err := e.fetch(k, res.bytes, onDisk)
	e.mu.Lock()
	defer e.mu.Unlock()
	res.err = err
	if e.units[k] == res {
		if err != nil {
			e.updateIdle()
			delete(e.units, k)
			e.used -= res.bytes
			e.updateIdle()
		} else {
			res.phase = loaded
			e.loads++
			e.disk[k] = true
		}
	}
	close(res.done)
}

// fetch takes as long as it takes to get a checkpoint from disk or from the weight store.
func (e *Engine) fetch(k unitKey, bytes uint64, onDisk bool) error {
	if e.WeightStore == "" {
		return nil
	}
	if onDisk {
		const diskBytesPerSecond = 1 << 30
		time.Sleep(time.Duration(float64(bytes) / diskBytesPerSecond / e.DiskSpeedup * float64(time.Second)))
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	u := fmt.Sprintf("http://%s/weights/%s/%s?bytes=%d", e.WeightStore, url.PathEscape(k.Unit), url.PathEscape(k.Version), bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return errors.New("weightStoreFailed")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.New("weightStoreFailed")
	}
	return nil
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	if err := e.checkFence(o); err != nil {
		e.mu.Unlock()
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	res := e.units[unitKey{o.Unit, o.Version}]
	if res == nil {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if res.phase == loading {
		e.mu.Unlock()
		http.Error(w, "loading", http.StatusConflict)
		return
	}
	res.phase = unloading
	e.mu.Unlock()
	if e.awaitUnload(r.Context(), unitKey{o.Unit, o.Version}, res) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// awaitUnload waits until no request uses the unit and frees its memory; it reports false if ctx
// ended first.
func (e *Engine) awaitUnload(ctx context.Context, k unitKey, res *resident) bool {
	for {
		e.mu.Lock()
		if res.running == 0 {
			if e.units[k] == res {
				e.updateIdle()
				delete(e.units, k)
				e.used -= res.bytes
				e.updateIdle()
			}
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		select {
		case <-time.After(2 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// updateIdle brings the idle time up to now and records whether the engine is idle. The caller holds
// e.mu.
func (e *Engine) updateIdle() {
	e.idleTime.update(time.Now(), e.used > 0, e.running > 0)
}

// unitStatus is the status of one unit, as encoded in engineStatus.
type unitStatus struct {
	Unit    string `json:"unit"`
	Version string `json:"version"`
	Phase   string `json:"phase"`
}

// engineStatus is the response to GET /engine/status.
type engineStatus struct {
	Instance     string       `json:"instance"`
	Incarnation  uint64       `json:"incarnation"`
	Hall         string       `json:"hall"`
	MemoryBytes  uint64       `json:"memoryBytes"`
	UsedBytes    uint64       `json:"usedBytes"`
	ChecksFences bool         `json:"checksFences"`
	Running      int          `json:"running"`
	Leaving      bool         `json:"leaving"`
	Units        []unitStatus `json:"units"`
	OnDisk       []string     `json:"onDisk"`
}

var phaseNames = map[phase]string{loading: "loading", loaded: "loaded", unloading: "unloading"}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	st := engineStatus{
		Instance: e.Instance, Incarnation: e.incarnation, Hall: e.Hall, MemoryBytes: e.MemoryBytes,
		UsedBytes: e.used, ChecksFences: e.ChecksFences, Running: e.running, Leaving: e.draining,
	}
	for k, res := range e.units {
		st.Units = append(st.Units, unitStatus{k.Unit, k.Version, phaseNames[res.phase]})
	}
	for k := range e.disk {
		st.OnDisk = append(st.OnDisk, k.Unit+"@"+k.Version)
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}
