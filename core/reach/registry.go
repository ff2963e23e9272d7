package reach

import "time"

// Patience is how long a direct connection may take before other nodes are asked whether they reach the endpoint.
const (
	// patience applies while no path is known to be lost. Connecting takes a round trip, at most a few milliseconds
	// between data halls, unless a packet is lost.
	patience = 150 * time.Millisecond
	// shortPatience applies while the path to another endpoint is lost, to endpoints that were not reached directly since.
	shortPatience = 30 * time.Millisecond
)

// Intervals between two checks of a direct path.
const (
	// tunnelCheckInterval applies while requests use a tunnel. Its length is about how long a healed path stays unused.
	tunnelCheckInterval = 500 * time.Millisecond
	// Checks of an endpoint that no path reaches start at minDownCheckInterval and double up to maxDownCheckInterval.
	minDownCheckInterval = 125 * time.Millisecond
	maxDownCheckInterval = time.Second
	// Checks of a direct path that is silent start at minSilenceCheckInterval and double up to maxSilenceCheckInterval
	// while they succeed. An endpoint that is only slow should not get many connections that carry nothing.
	minSilenceCheckInterval = time.Second
	maxSilenceCheckInterval = 8 * time.Second
)

// Endpoints are kept for unusedTTL after their last use, and for lostTTL while their direct path is lost: longer than a
// dispatcher keeps requests from an endpoint that it could not reach, so that it learns when the path is back.
const (
	unusedTTL = 10 * time.Second
	lostTTL   = 30 * time.Second
)

// unreachableTTL is how long other nodes are not asked again for an endpoint that none of them reached.
const unreachableTTL = 100 * time.Millisecond

// Path is the path to an endpoint.
type Path uint8

// Paths.
const (
	// Direct is the node's own connection. It is also the path to an endpoint that no path reaches.
	Direct Path = iota
	// Tunnel is a connection by way of another node.
	Tunnel
)

// endpoint is what is known of the paths to one endpoint.
type endpoint struct {
	path Path
	// down is set while neither path reaches the endpoint. unreachableAt is when other nodes last answered that they do
	// not reach it.
	down          bool
	unreachableAt time.Time
	// usedAt is when a request last asked for the path, and directAt when the endpoint was last reached directly; zero if
	// never.
	usedAt, directAt time.Time
	// checkAt is when the direct path is to be checked, and checkInterval the interval to the check after it. They apply
	// while the path is Tunnel or the endpoint is down.
	checkAt       time.Time
	checkInterval time.Duration
	// silenceCheckedAt is when the direct path was last checked because it was silent, and silenceInterval the time until
	// it may be checked for that reason again.
	silenceCheckedAt time.Time
	silenceInterval  time.Duration
}

// Registry holds the paths to the endpoints that a node has used recently, by address. It is not safe for concurrent
// use.
type Registry struct {
	endpoints map[string]*endpoint
	// lostAt is when the first of the paths that are lost now was lost; zero if none is.
	lostAt time.Time
	// expiredAt is when unused endpoints were last dropped.
	expiredAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{endpoints: make(map[string]*endpoint)} }

func (r *Registry) endpoint(address string, now time.Time) *endpoint {
	e := r.endpoints[address]
	if e == nil {
		e = &endpoint{usedAt: now}
		r.endpoints[address] = e
	}
	return e
}

// Route returns the path for a request to an address, and the patience with a direct connection.
func (r *Registry) Route(address string, now time.Time) (Path, time.Duration) {
	r.expire(now)
	e := r.endpoint(address, now)
	e.usedAt = now
	if !r.lostAt.IsZero() && e.directAt.Before(r.lostAt) {
		return e.path, shortPatience
	}
	return e.path, patience
}

// Path returns the path to an address without noting a use of it.
func (r *Registry) Path(address string) Path {
	if e := r.endpoints[address]; e != nil {
		return e.path
	}
	return Direct
}

// DirectUsable reports whether the direct path to an address is not known to fail.
func (r *Registry) DirectUsable(address string) bool {
	e := r.endpoints[address]
	return e == nil || e.path == Direct && !e.down
}

// DirectReached records that the endpoint was reached directly: it accepted a connection or sent an answer. It reports
// whether the endpoint was not reached directly before.
func (r *Registry) DirectReached(address string, now time.Time) (regained bool) {
	e := r.endpoint(address, now)
	regained = e.path == Tunnel || e.down
	e.path, e.down, e.directAt = Direct, false, now
	if regained {
		r.updateLostAt()
	}
	return regained
}

// DirectFailed records that a direct connection was refused or did not come about in time.
func (r *Registry) DirectFailed(address string, now time.Time) {
	e := r.endpoint(address, now)
	e.directAt = time.Time{}
	if e.path == Direct && !e.down {
		e.down = true
		e.checkInterval = minDownCheckInterval
		e.checkAt = now.Add(e.checkInterval)
	}
}

// TunnelReached records that another node reached the endpoint. It reports whether the endpoint's path is now the tunnel
// and was not before.
func (r *Registry) TunnelReached(address string, now time.Time) (lost bool) {
	e := r.endpoint(address, now)
	if e.path == Tunnel || !e.down {
		return false
	}
	e.path, e.down = Tunnel, false
	e.checkInterval = tunnelCheckInterval
	e.checkAt = now.Add(e.checkInterval)
	if r.lostAt.IsZero() {
		r.lostAt = now
	}
	return true
}

// TunnelFailed records that no tunnel to the endpoint came about. answered is set if all nodes that were asked have
// answered that they do not reach it.
func (r *Registry) TunnelFailed(address string, answered bool, now time.Time) {
	e := r.endpoint(address, now)
	if answered {
		e.unreachableAt = now
	}
	if e.path != Tunnel {
		return
	}
	e.path, e.down = Direct, true
	e.checkInterval = minDownCheckInterval
	e.checkAt = now.Add(e.checkInterval)
	r.updateLostAt()
}

// Unreachable reports whether other nodes answered within unreachableTTL that they do not reach the endpoint.
func (r *Registry) Unreachable(address string, now time.Time) bool {
	e := r.endpoints[address]
	return e != nil && now.Sub(e.unreachableAt) < unreachableTTL
}

// updateLostAt updates lostAt after the path to an endpoint was regained.
func (r *Registry) updateLostAt() {
	for _, e := range r.endpoints {
		if e.path == Tunnel {
			return
		}
	}
	r.lostAt = time.Time{}
}

// CheckSilence reports whether the direct path to an endpoint that has sent nothing for a while should be checked, and
// notes that it is.
func (r *Registry) CheckSilence(address string, now time.Time) bool {
	e := r.endpoint(address, now)
	if e.path == Tunnel || e.down || now.Sub(e.directAt) < minSilenceCheckInterval || now.Sub(e.silenceCheckedAt) < e.silenceInterval {
		return false
	}
	if now.Sub(e.silenceCheckedAt) > 2*maxSilenceCheckInterval {
		e.silenceInterval = 0
	}
	e.silenceCheckedAt = now
	e.silenceInterval = min(maxSilenceCheckInterval, max(minSilenceCheckInterval, 2*e.silenceInterval))
	return true
}

// Due returns the addresses of which the direct path is to be checked now, and schedules their next checks.
func (r *Registry) Due(now time.Time) []string {
	r.expire(now)
	var out []string
	for address, e := range r.endpoints {
		if e.path == Direct && !e.down || now.Before(e.checkAt) {
			continue
		}
		if e.down {
			e.checkInterval = min(maxDownCheckInterval, 2*e.checkInterval)
		}
		e.checkAt = now.Add(e.checkInterval)
		out = append(out, address)
	}
	return out
}

// NextCheck returns when Due will next return an address; ok is false if no check is scheduled.
func (r *Registry) NextCheck() (at time.Time, ok bool) {
	for _, e := range r.endpoints {
		if (e.path == Tunnel || e.down) && (!ok || e.checkAt.Before(at)) {
			at, ok = e.checkAt, true
		}
	}
	return at, ok
}

// Unreached returns how many endpoints the node reaches only through a tunnel, and how many of the recently used ones
// some path reaches.
func (r *Registry) Unreached() (unreached, reachable int) {
	for _, e := range r.endpoints {
		switch {
		case e.path == Tunnel:
			unreached++
			reachable++
		case !e.down && !e.directAt.IsZero():
			reachable++
		}
	}
	return unreached, reachable
}

// expire drops the endpoints that were not used for a while.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < unusedTTL {
		return
	}
	r.expiredAt = now
	for address, e := range r.endpoints {
		ttl := unusedTTL
		if e.path == Tunnel || e.down {
			ttl = lostTTL
		}
		if now.Sub(e.usedAt) > ttl {
			delete(r.endpoints, address)
		}
	}
	r.updateLostAt()
}
