package traffic

import (
	"olivetiller/core/choose"
	"olivetiller/core/refusal"
)

// Explanation tells where a request would go now, and why.
type Explanation struct {
	// Pool is the pool of the request, and Waiting the number of requests in its queue.
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	// Endpoint is where the request would be sent at once; "" if it would wait or be refused.
	Endpoint string `json:"endpoint,omitempty"`
	// Refused is the kind of the refusal that it would get, and Detail its text; "" if it would be sent or wait.
	Refused string `json:"refused,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// ReadyInMs is the expected time in milliseconds until an endpoint serves the model; 0 if one does or nothing is expected.
	ReadyInMs int64 `json:"readyInMs,omitempty"`
	// Home is Choice.Home.
	Home string `json:"home,omitempty"`
	// Candidates are the endpoints of the pool.
	Candidates []CandidateVerdict `json:"candidates"`
}

// CandidateVerdict is an endpoint and what decides whether a request goes there.
type CandidateVerdict struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	Hall     string `json:"dataHall"`
	// Closure is why the endpoint does not take the request. Score is its load with all penalties: the least one is chosen.
	Closure string `json:"closure"`
	Score   int    `json:"score"`
	// Running counts this node's requests there, of Window that it allows; UnreadTokens is the length of their prompts that
	// are not read yet.
	Running      int `json:"running"`
	Window       int `json:"window"`
	UnreadTokens int `json:"unreadTokens"`
	// Pace and Load are as in Choice. HasPrefix is true if the beginning of the prompt is most likely kept there.
	Pace      float64 `json:"pace"`
	Load      int     `json:"load"`
	HasPrefix bool    `json:"hasPrefix"`
}

// Explain tells where a request for the named pool would go now. It changes nothing that decisions depend on.
func (d *Dispatcher) Explain(name string, req SlotRequest) Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	req.boundPrompt()
	if err := d.checkBuild(name, &req); err != nil {
		out := Explanation{Pool: name}
		out.refuse(err)
		return out
	}
	key := d.keyOf(name, &req)
	_, known := d.pools[key]
	p := d.pool(key)
	if !known {
		defer d.drop(p)
	}
	// The next pick starts one further, and a refusal spaces the retry hints of later ones.
	p.rotation++
	defer func() { p.rotation-- }()
	for _, cand := range p.endpoints {
		hints := cand.endpointState.retryHints
		defer func() { cand.endpointState.retryHints = hints }()
	}
	replicas, home := p.replicas(now, d.hall, d.view.NewBuilds, &req)
	out := Explanation{Pool: p.String(), Waiting: p.queue.Len(), Home: home, Candidates: []CandidateVerdict{}}
	if len(p.endpoints) == 0 && p.readyAt.After(now) {
		out.ReadyInMs = p.readyAt.Sub(now).Milliseconds()
	}
	for i, v := range choose.Explain(replicas, now) {
		r, cand := &replicas[i], p.endpoints[(i+p.rotation)%len(p.endpoints)]
		out.Candidates = append(out.Candidates, CandidateVerdict{
			Endpoint: cand.Name, Address: cand.Address, Hall: cand.Hall, Closure: v.Closure.String(), Score: v.Score, Running: r.Running,
			Window: r.Window.Size(), UnreadTokens: r.UnreadTokens, Pace: r.Pace, Load: r.Load, HasPrefix: r.HasPrefix,
		})
	}
	if err := p.checkWait(req, now); err != nil {
		out.refuse(err)
		return out
	}
	if i := choose.Pick(replicas, now); i >= 0 && p.queue.Len() == 0 {
		out.Endpoint = out.Candidates[i].Endpoint
		return out
	}
	out.refuse(p.checkDeadline(&req, p.requestsAhead(newWaiter(&req, now).item, now), now))
	return out
}

// refuse sets the refusal, if there is one.
func (e *Explanation) refuse(err error) {
	if err == nil {
		return
	}
	r := refusal.As(err)
	e.Refused, e.Detail = string(r.Kind), r.Error()
}
