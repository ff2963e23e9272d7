package placer

import (
	"expvar"

	"olivetiller/core/logstore"
	"olivetiller/core/view"
)

// Metrics returns the state of the controller for the metrics address.
func (c *Controller) Metrics() expvar.Var {
	return expvar.Func(func() any {
		v := c.View()
		m := struct {
			Ready   bool   `json:"ready"`
			Version uint64 `json:"configurationVersion"`
			Pools   int    `json:"poolsServed"`
			Loading int    `json:"unitsExpected"`
			Holder  bool   `json:"holdsLease"`
			Store   int64  `json:"storeLoadsAtOnce"`
			Again   int64  `json:"enginesStartedAgain"`

			PutBacks int64 `json:"storePutBacks"`
			// ConfigAge is how long ago, in milliseconds, the configuration was confirmed to be the newest; -1 if
			// none was read.
			ConfigAge int64 `json:"configurationAgeMs"`
			// ConfigsOverdue is how often the configuration went unconfirmed for longer than the bound within which a
			// change must take effect.
			ConfigsOverdue int64 `json:"configurationsOverdue"`
			// FeedAge is how old, in milliseconds, the lease holder's reads of the store are that this node received;
			// -1 if it received none.
			FeedAge int64 `json:"feedAgeMs"`

			// Nodes is how many nodes share the traffic, Feeders is how many of them are feeders, and Feeds is whether
			// this node is one. Fed counts the followers with an open watch request at this node. HolderAge is how old,
			// in milliseconds, the lease holder's latest state is here; -1 if none was received.
			Nodes     int64 `json:"nodes"`
			Feeders   int   `json:"feeders"`
			Feeds     bool  `json:"feeds"`
			Fed       int   `json:"nodesFed"`
			HolderAge int64 `json:"holderAgeMs"`
			// Gateways is how many nodes this node knows that may connect it to endpoints that it does not reach.
			Gateways int `json:"gateways"`
			// Evacuated are the data halls whose endpoints get no requests, and Cold is what each cold endpoint
			// accepts, in requests per second.
			Evacuated []string           `json:"evacuatedHalls"`
			Cold      map[string]float64 `json:"coldEndpoints"`

			// Builds counts the endpoints that take requests by service and software version, and NewBuilds are those of
			// them at which no stream may begin yet.
			Builds    map[string]map[string]int `json:"builds"`
			NewBuilds []string                  `json:"newBuilds"`

			Faults map[logstore.Reason]int `json:"recordsPassedOver"`
		}{Ready: c.Ready(), Version: v.Revision, Pools: v.Pools(), Loading: len(v.ReadyAt), Holder: c.publishedIncarnation() != "", Store: c.storeLoads.Load(), Again: c.engineRestarts.Load(), PutBacks: c.restores.Load(), ConfigAge: c.configAgeMs(), ConfigsOverdue: c.configsOverdue.Load(), FeedAge: c.relayAgeMs(), Faults: c.faults.all(),
			Nodes: c.feeding.nodes.Load(), Feeders: len(c.feeding.plan()), Feeds: c.isFeeder(), Fed: c.published.openRequests() + c.relay.openRequests(), HolderAge: c.holderAgeMs(),
			Gateways: len(c.Gateways("")), Evacuated: v.Evacuated, Cold: v.Cold, Builds: buildsByService(v)}
		for o := range v.NewBuilds {
			m.NewBuilds = append(m.NewBuilds, o.String())
		}
		return m
	})
}

// buildsByService returns the endpoints of a view by service and build.
func buildsByService(v *view.View) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for o, n := range v.Builds {
		if out[o.Service] == nil {
			out[o.Service] = make(map[string]int)
		}
		out[o.Service][o.Build.String()] = n
	}
	return out
}
