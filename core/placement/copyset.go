package placement

import (
	"slices"
	"time"

	"olivetiller/core/route"
)

// copySet holds the copies of weights that an engine keeps in one place, its host memory or its
// disk, with the time of the last load. The engine drops the least recently loaded copies when
// it has no space for a new one.
type copySet map[string]time.Time

// has reports whether the engine keeps a copy of a model.
func (s copySet) has(model string) bool {
	_, ok := s[model]
	return ok
}

// add records a load, which leaves a copy, and drops the least recently loaded copies that no
// longer fit. spaceMB is 0 if the space is unknown, and then nothing is dropped. size returns
// the size of a model in MB.
func (s copySet) add(model string, now time.Time, spaceMB float64, size func(model string) float64) {
	s[model] = now
	if spaceMB <= 0 {
		return
	}
	total := 0.0
	for name := range s {
		total += size(name)
	}
	for total > spaceMB && len(s) > 1 {
		oldest := s.oldest()
		total -= size(oldest)
		delete(s, oldest)
	}
}

// oldest returns the least recently loaded model.
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

// sync replaces the copies by those in a report, keeping known load times, and reports whether
// the set changed.
func (s copySet) sync(reported []string) (changed bool) {
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

// recordCopy adds the copies that a load of a model leaves in host memory and on disk.
func (e *engine) recordCopy(t *route.Table, model string, now time.Time) {
	size := func(name string) float64 {
		if m := t.Model(e.service, name); m != nil {
			return m.WeightsMB
		}
		return 0
	}
	if e.config == nil {
		return
	}
	e.copiesChanged = true
	e.warm.add(model, now, e.config.HostMB, size)
	e.onDisk.add(model, now, e.config.DiskMB, size)
}
