package placement

import (
	"cmp"
	"strings"
)

// Unit is what a request needs an engine to hold: a model, or an adapter of it.
type Unit struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
}

// Base returns the unit's model.
func (u Unit) Base() Unit { return Unit{Service: u.Service, Model: u.Model} }

// compare orders units by model and adapter.
func (u Unit) compare(o Unit) int {
	return cmp.Or(strings.Compare(u.Service, o.Service), strings.Compare(u.Model, o.Model), strings.Compare(u.Adapter, o.Adapter))
}

const poolPrefix = "unit/"

// Pool returns the name of the unit's pool of endpoints.
func (u Unit) Pool() string {
	name := poolPrefix + u.Service + "/" + u.Model
	if u.Adapter != "" {
		name += "/" + u.Adapter
	}
	return name
}

// ParsePool returns the unit of a pool; ok is false for the pool of a plain
// service.
func ParsePool(pool string) (u Unit, ok bool) {
	rest, ok := strings.CutPrefix(pool, poolPrefix)
	if !ok {
		return Unit{}, false
	}
	u.Service, rest, ok = strings.Cut(rest, "/")
	u.Model, u.Adapter, _ = strings.Cut(rest, "/")
	return u, ok && u.Model != ""
}
