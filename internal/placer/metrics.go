package placer

import (
	"expvar"

	"olivetiller/core/logstore"
)

// Metrics shows what the node believes, for the metrics address.
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
			// ConfigAge is for how long a newer configuration may have been in force; below 0
			// where none was read.
			ConfigAge int64 `json:"configurationAgeMs"`
			// FeedAge is for how long the holder's reads of the store may be behind; below 0
			// where this node heard of no holder.
			FeedAge int64 `json:"feedAgeMs"`

			Faults map[logstore.Reason]int `json:"recordsPassedOver"`
		}{Ready: c.Ready(), Version: v.Revision, Pools: len(v.Endpoints), Loading: len(v.ReadyAt), Holder: c.lifeShown() != "", Store: c.storeLoads.Load(), Again: c.startsAgain.Load(), PutBacks: c.putBacks.Load(), ConfigAge: c.shownConfigAge(), FeedAge: c.shownFeedAge(), Faults: c.faults.all()}
		return m
	})
}
