package traffic

import (
	"time"

	"olivetiller/core/admit"
	"olivetiller/core/choose"
	"olivetiller/core/directory"
	"olivetiller/core/queue"
	"olivetiller/core/view"
)

// endpointState is what this node knows of one endpoint. All pools that use the endpoint share it, since an engine
// that holds several units has one capacity for all of them.
type endpointState struct {
	name        string
	address     string
	incarnation uint64
	build       directory.Build
	hall        string
	// running counts this node's requests in progress at the endpoint.
	running int
	// prompts is the total length, in tokens, of this node's prompts that the endpoint has not read yet.
	prompts int
	// pace is how long the endpoint takes for the same work, 1 for the median of its service.
	pace float64
	// load is the recent load of all nodes at the endpoint, in concurrent requests.
	load int
	// suspectRequests counts this node's requests at the endpoint that may crash its engine.
	suspectRequests int
	// window bounds this node's concurrent requests at the endpoint.
	window *choose.Window
	health choose.Health
	// pathChangedAt is when requests to the endpoint began to use another path, or could reach it again; zero if never.
	pathChangedAt time.Time
	// reported is the load that the endpoint last reported, in running requests, and reportedAt when it did.
	reported   int
	reportedAt time.Time
	// pools is the set of pools that use the endpoint.
	pools map[*pool]bool
	// coldUntil is when the endpoint stops being cold. Until then it takes only coldRate requests a second from all
	// nodes together.
	coldUntil time.Time
	coldRate  float64
	// pumpScheduled is set while a timer runs that serves the queues once the endpoint is available again.
	pumpScheduled bool
	// slots is how many requests of all nodes the endpoint runs at once, and serve estimates how long one takes.
	slots int
	serve admit.Estimate
	// turns decides when a pool with an overdue request goes ahead of one with a more urgent request.
	turns queue.Turns
	endpointSignals
}

// newEndpointState returns the state of an endpoint without requests. share is the number of concurrent requests with
// which this node begins.
func newEndpointState(e view.Endpoint, share int) *endpointState {
	return &endpointState{
		endpointSignals: endpointSignals{incarnationID: incarnationOf(&e)}, name: e.Name, address: e.Address, incarnation: e.Incarnation, hall: e.Hall,
		window: choose.NewWindow(share, e.Concurrency), pools: make(map[*pool]bool),
	}
}

// replica returns the endpoint's state at now in the form that choose.Pick takes. hall is the data hall of this node.
func (ep *endpointState) replica(hall string, now time.Time) choose.Replica {
	return choose.Replica{
		Engine: ep.name, SameHall: ep.hall == hall, Running: ep.running, UnreadTokens: ep.prompts, Pace: ep.pace,
		Suspects: ep.suspectRequests, Reported: ep.reported, ReportedAt: ep.reportedAt, Window: ep.window, Health: &ep.health, Closed: ep.charging || now.Before(ep.unavailableUntil()) || ep.share > 0 && ep.running >= ep.share,
	}
}

// recordResult updates the endpoint's load, window and health with the result of one request whose slot was granted at
// grantedAt.
func (ep *endpointState) recordResult(r Result, grantedAt, now time.Time) {
	if r.Err != nil && !r.Ended && grantedAt.Before(ep.pathChangedAt) {
		// The request failed on a path that is no longer used.
		r.NotStarted = true
	}
	if r.Running >= 0 {
		ep.reported, ep.reportedAt = r.Running, now
	}
	switch {
	case r.Full:
		ep.window.Refused(now)
	case r.NotStarted:
	case r.Ended:
		// One of the requests that ran there may have crashed the process, and all of them fail at once, so however
		// many fail, it counts as one failure of the endpoint.
		ep.health.ProcessEnded(now)
	case r.Silent:
		ep.health.Unresponsive(grantedAt, now)
	case r.Err != nil:
		ep.health.Failed(grantedAt, now)
	default:
		ep.answered = true
		ep.serve.Observe(now.Sub(grantedAt))
		ep.window.Succeeded(ep.running)
		ep.health.Succeeded()
	}
	ep.running--
}

// EndpointReachable records that the endpoint at an address can be reached again, over the same path or another one. What
// failed before says nothing about it any more, and the queues that wait for it are served.
func (d *Dispatcher) EndpointReachable(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, ep := range d.endpointStates {
		if ep.address == address {
			ep.health.Reset()
			ep.pathChangedAt = now
			d.pumpEndpoint(ep, now)
		}
	}
}
