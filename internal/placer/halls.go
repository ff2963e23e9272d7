package placer

import (
	"slices"
	"time"

	"olivetiller/core/directory"
	"olivetiller/core/evacuation"
	"olivetiller/core/logstore"
	"olivetiller/core/position"
	"olivetiller/core/view"
	"olivetiller/io/peer"
)

// hallState is what this node knows of data halls being evacuated and of cold endpoints. It belongs to the owner of
// the controller.
type hallState struct {
	evacuated evacuation.Set
	// evacuationEndedAt is when this node learned that a data hall's evacuation had ended. Its endpoints count as
	// cold from then on, since they got no requests meanwhile.
	evacuationEndedAt map[string]time.Time
	// coldRates holds the rate of each cold endpoint in the latest view, in requests per second.
	coldRates map[string]float64
	// firstWarmAt is when the first cold endpoint of the latest view becomes warm; zero if none is cold.
	firstWarmAt time.Time
}

// applyEvacuationRecords applies the evacuation records of a page of the configuration topic.
func (c *Controller) applyEvacuationRecords(page logstore.Page[logstore.Config], full bool) {
	before := c.halls.evacuated.Halls()
	if full {
		var halls []string
		for _, r := range page.Records {
			if ev := r.Value.Evacuation; ev != nil && ev.On {
				halls = append(halls, ev.Hall)
			}
		}
		if !c.rewriteGraceOver(c.o.Clock.Now()) {
			// A restored store may lack an evacuation that was acknowledged. None is ended until the operator has had
			// the time to write it again.
			halls = append(halls, before...)
		}
		c.halls.evacuated.Replace(halls, page.Next)
	} else {
		for _, r := range page.Records {
			if ev := r.Value.Evacuation; ev != nil {
				c.halls.evacuated.Apply(ev.Hall, ev.On, r.Offset+1)
			}
		}
		c.halls.evacuated.CompleteTo(page.Next)
	}
	c.applyEvacuations(before, "store")
}

// applyHolderEvacuations applies the evacuations of a lease holder's snapshot; e is nil if they have not changed.
func (c *Controller) applyHolderEvacuations(e *peer.Evacuations) {
	if e == nil {
		return
	}
	before := c.halls.evacuated.Halls()
	c.halls.evacuated.Replace(e.Halls, e.AsOf)
	c.applyEvacuations(before, "holder")
}

// applyEvacuations publishes the evacuations and puts them in force if they differ from before. by names their
// source, for the log.
func (c *Controller) applyEvacuations(before []string, by string) {
	after := c.halls.evacuated.Halls()
	if c.held {
		c.published.setEvacuations(after, c.halls.evacuated.AsOf())
	}
	if slices.Equal(before, after) {
		return
	}
	now := c.o.Clock.Now()
	for _, hall := range after {
		if !slices.Contains(before, hall) {
			delete(c.halls.evacuationEndedAt, hall)
			c.o.Logger.Warn("data hall is being evacuated, its endpoints get no requests", "dataHall", hall, "endpoints", c.endpointsOf(hall, now), "asOf", position.Offset(c.halls.evacuated.AsOf()), "by", by)
		}
	}
	for _, hall := range before {
		if !slices.Contains(after, hall) {
			if c.halls.evacuationEndedAt == nil {
				c.halls.evacuationEndedAt = make(map[string]time.Time)
			}
			c.halls.evacuationEndedAt[hall] = now
			c.o.Logger.Warn("evacuation of a data hall ended, its endpoints count as cold at first", "dataHall", hall, "endpoints", c.endpointsOf(hall, now), "asOf", position.Offset(c.halls.evacuated.AsOf()), "by", by)
		}
	}
	c.o.Dispatcher.Evacuate(after)
	c.touchAll()
	c.listChanged(now)
}

// endpointsOf counts the live endpoints of a data hall.
func (c *Controller) endpointsOf(hall string, now time.Time) int {
	n := 0
	for _, e := range c.directory.Live(now) {
		if e.Hall == hall {
			n++
		}
	}
	return n
}

// listChanged passes the list of endpoints to the planner, with the endpoints of evacuated data halls marked as
// draining.
func (c *Controller) listChanged(now time.Time) {
	c.viewStale = true
	if !c.maintainsPlanner() {
		return
	}
	live := c.directory.Live(now)
	for i, e := range live {
		if c.halls.evacuated.Evacuated(e.Hall) && !e.Draining {
			draining := *e
			draining.Draining = true
			live[i] = &draining
		}
	}
	c.planner.SetEngines(live, now)
}

// setCold sets until when an endpoint of a view is cold, and how many requests per second it accepts until then. An
// endpoint is cold after its own start, and after the evacuation of its data hall has ended.
func (c *Controller) setCold(ep *view.Endpoint, e *directory.Entry, now time.Time) {
	s := c.Table().Service(e.Service)
	if s == nil || s.ColdRate <= 0 {
		return
	}
	until := e.ColdUntil
	if endedAt, ok := c.halls.evacuationEndedAt[e.Hall]; ok && endedAt.Add(s.ColdStart).After(until) {
		until = endedAt.Add(s.ColdStart)
	}
	if !until.After(now) {
		return
	}
	ep.ColdUntil, ep.ColdRate = until, s.ColdRate
	c.halls.coldRates[e.ID] = s.ColdRate
	if c.halls.firstWarmAt.IsZero() || until.Before(c.halls.firstWarmAt) {
		c.halls.firstWarmAt = until
	}
}

// evacuations returns the data halls that are being evacuated, in the form sent to other nodes.
func (h *hallState) evacuations() *peer.Evacuations {
	return &peer.Evacuations{Halls: h.evacuated.Halls(), AsOf: h.evacuated.AsOf()}
}

// becameWarm reports whether an endpoint that is cold in the latest view has become warm.
func (h *hallState) becameWarm(now time.Time) bool {
	return !h.firstWarmAt.IsZero() && !now.Before(h.firstWarmAt)
}

// setEvacuations publishes the data halls that are being evacuated, as of a position of the configuration topic.
func (p *publication) setEvacuations(halls []string, asOf uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store.evacuations != nil && slices.Equal(p.store.evacuations.Halls, halls) {
		return
	}
	p.wakeAll()
	p.store.evacuations, p.store.evacuationsVersion = &peer.Evacuations{Halls: halls, AsOf: asOf}, p.version
}
