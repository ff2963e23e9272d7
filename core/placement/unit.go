package placement

import (
	"cmp"
	"strings"
)

// Unit identifies what an engine must hold to serve a request: a model, or an adapter on top of
// its model.
type Unit struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
}

// Base returns the unit of the model itself, without the adapter.
func (u Unit) Base() Unit { return Unit{Service: u.Service, Model: u.Model} }

// compare orders units by service, model and adapter.
func (u Unit) compare(o Unit) int {
	return cmp.Or(strings.Compare(u.Service, o.Service), strings.Compare(u.Model, o.Model), strings.Compare(u.Adapter, o.Adapter))
}

const poolPrefix = "unit/"

// Pool returns the name of the pool of endpoints that serve the unit, such as "unit/s/m" or
// "unit/s/m/adapter".
func (u Unit) Pool() string {
	name := poolPrefix + u.Service + "/" + u.Model
	if u.Adapter != "" {
		name += "/" + u.Adapter
	}
	return name
}

// ParsePool returns the unit of a pool name. ok is false for other names, such as those of the
// pools of services without models.
func ParsePool(pool string) (u Unit, ok bool) {
	rest, ok := strings.CutPrefix(pool, poolPrefix)
	if !ok {
		return Unit{}, false
	}
	u.Service, rest, ok = strings.Cut(rest, "/")
	u.Model, u.Adapter, _ = strings.Cut(rest, "/")
	return u, ok && u.Model != ""
}
