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

			Faults map[logstore.Reason]int `json:"recordsPassedOver"`
		}{Ready: c.Ready(), Version: v.Revision, Pools: len(v.Endpoints), Loading: len(v.ReadyAt), Holder: c.lifeShown() != "", Store: c.storeLoads.Load(), Again: c.startsAgain.Load(), Faults: c.faults.all()}
		return m
	})
}
