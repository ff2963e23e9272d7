package traffic

import (
	"time"

	"olivetiller/core/signal"
	"olivetiller/core/view"
)

// lifeOf names the life of an endpoint.
func lifeOf(e *view.Endpoint) signal.Life { return signal.Life{Endpoint: e.Name, Start: e.Start} }

// Hear takes in what an endpoint's answer to a request that was sent at a moment says of the endpoint. It returns
// what that changed, and which damaged signals are to be reported.
func (d *Dispatcher) Hear(e view.Endpoint, s signal.Said, sent time.Time) (c signal.Change, changed bool, damaged []signal.Damage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Hear(lifeOf(&e), s, sent, d.clock.Now())
}
