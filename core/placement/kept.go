package placement

import (
	"slices"
	"time"

	"olivetiller/core/route"
)

// copySet is the copies of weights that an engine keeps in one place, its memory or
// its disk, beside the models that it holds. The engine drops the least recently
// loaded ones when it has no room for a new one.
type copySet map[string]time.Time

// has reports whether the engine keeps a copy of a model.
func (s copySet) has(model string) bool {
	_, ok := s[model]
	return ok
}

// loaded notes a load, which leaves a copy, and drops what the room no longer holds;
// room is in MB, 0 where it is not known.
func (s copySet) loaded(model string, now time.Time, room float64, size func(model string) float64) {
	s[model] = now
	if room <= 0 {
		return
	}
	total := 0.0
	for name := range s {
		total += size(name)
	}
	for total > room && len(s) > 1 {
		oldest := s.oldest()
		total -= size(oldest)
		delete(s, oldest)
	}
}

// oldest returns the model that was loaded least lately.
func (s copySet) oldest() string {
	first := true
	var oldest string
	for name, at := range s {
		if first || at.Before(s[oldest]) || at.Equal(s[oldest]) && name < oldest {
			oldest, first = name, false
		}
	}
	return oldest
}

// adopt takes over what a report says, keeps the times known, and reports whether
// there was a difference.
func (s copySet) adopt(reported []string) (changed bool) {
	for name := range s {
		if !slices.Contains(reported, name) {
			delete(s, name)
			changed = true
		}
	}
	for _, name := range reported {
		if !s.has(name) {
			s[name] = time.Time{}
			changed = true
		}
	}
	return changed
}

// keepsCopy reports whether the engine keeps a copy of a model.
func (e *engine) keepsCopy(model string) bool { return e.onDisk.has(model) || e.warm.has(model) }

// keep notes that an engine has loaded a model.
func (e *engine) keep(t *route.Table, model string, now time.Time) {
	size := func(name string) float64 {
		if m := t.Model(e.service, name); m != nil {
			return m.WeightsMB
		}
		return 0
	}
	if e.shape == nil {
		return
	}
	e.copiesChanged = true
	e.warm.loaded(model, now, e.shape.HostMB, size)
	e.onDisk.loaded(model, now, e.shape.DiskMB, size)
}
