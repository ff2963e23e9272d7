package traffic

import (
	"slices"
	"time"

	"olivetiller/core/quarantine"
	"olivetiller/core/retry"
)

const (
	// spareFraction is the fraction of an endpoint's slots up to which extra attempts use it. The rest is for first attempts.
	spareFraction = 0.75
	// loadTTL is how long a load that an endpoint reported counts.
	loadTTL = 2 * time.Second
)

// SwitchExtra acquires a second slot like Switch, for a request whose endpoint is late and not silent for too long. Extra
// attempts make way for other requests: an endpoint must have spare room, and the retry budget must have earned the attempt at
// this node, since the reserve and what the lease holder grants are for attempts that failed. If there is no slot, denied is
// the reason.
func (d *Dispatcher) SwitchExtra(s *Slot, req SlotRequest) (second *Slot, denied retry.Denial) {
	if req.State != quarantine.Clear && req.State != quarantine.Released {
		return nil, retry.DeniedBySuspicion
	}
	req.Avoid = append(slices.Clip(req.Avoid), s.Endpoint.Name)
	req.SkipLimited = true
	req.boundPrompt()
	d.mu.Lock()
	defer d.mu.Unlock()
	p, now := d.pool(d.keyOf(s.pool.name, &req)), d.clock.Now()
	cand, ok := d.pickOther(p, &req)
	if !ok || !cand.endpointState.hasSpareRoom(now) {
		return nil, retry.DeniedByRoom
	}
	if !d.budget(p, &req).SpendEarned(now) {
		return nil, retry.DeniedByRetryBudget
	}
	p.addRunning(cand, &req)
	return d.slot(p, cand, &req, now, now, false), ""
}

// hasSpareRoom reports whether the endpoint may get an extra attempt: it is neither cold nor brittle, no request waits for it,
// and its load as far as it is known leaves slots for others.
func (ep *endpointState) hasSpareRoom(now time.Time) bool {
	if ep.brittle || now.Before(ep.coldUntil) {
		return false
	}
	for p := range ep.pools {
		if p.queue.Len() > 0 {
			return false
		}
	}
	load := max(ep.running, ep.load)
	if now.Sub(ep.reportedAt) <= loadTTL {
		load = max(load, ep.reported)
	}
	return load == 0 || float64(load+1) <= spareFraction*float64(ep.slots)
}
