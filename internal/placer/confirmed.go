package placer

import (
	"time"

	"olivetiller/core/position"
	"olivetiller/core/route"
)

// confirmedConfig is a configuration together with the time as of which it was the newest. Both are stored, published
// and relayed as one value, so that a time never belongs to another configuration. The time is taken before the read
// of the store is sent, at this node or at the one that read, and is sent to other nodes as an age.
type confirmedConfig struct {
	// table is the configuration; nil if none is known.
	table *route.Table
	// asOf is a time at which no version newer than table's had been acknowledged, on the clock that counts suspended
	// time; zero if none is known, and while table is nil. It bounds the use of removed keys and the refusal of routes
	// as unknown.
	asOf time.Time
	// readTo is a position of the operators' topic before which every configuration can be read and is not newer than
	// table, and every evacuation is known; 0 if none is known. A node that is no longer fed reads on from there.
	readTo position.Position
}

// version returns the version of the configuration; 0 if there is none.
func (cc confirmedConfig) version() int64 {
	if cc.table == nil {
		return 0
	}
	return cc.table.Config.Version
}

// confirmed returns cc with a later time, given that no version newer than version had been acknowledged at asOf.
// That says nothing of cc if cc has an older version.
func (cc confirmedConfig) confirmed(version int64, asOf time.Time) confirmedConfig {
	if cc.table != nil && cc.version() >= version && asOf.After(cc.asOf) {
		cc.asOf = asOf
	}
	return cc
}

// age returns how long before now the configuration was the newest; known is false if it was never confirmed.
func (cc confirmedConfig) age(now time.Time) (age time.Duration, known bool) {
	return max(0, now.Sub(cc.asOf)), !cc.asOf.IsZero()
}

// ConfigInForce returns the routing table of the configuration in force, nil if none is known, and a time at which it
// was the newest, on the clock that counts suspended time; zero if it was never confirmed.
func (c *Controller) ConfigInForce() (t *route.Table, asOf time.Time) {
	cc := c.config.Load()
	return cc.table, cc.asOf
}

// Table returns the configuration in force, or nil if none is known.
func (c *Controller) Table() *route.Table { return c.config.Load().table }

// setConfig replaces the configuration in force and publishes it, at the lease holder and at a feeder.
func (c *Controller) setConfig(cc confirmedConfig) {
	c.config.Store(&cc)
	if c.held {
		c.published.setConfig(cc)
	}
	c.relay.relayConfig(cc)
}

// recordReadTo records that all records of the operators' topic before a position are known and in force.
func (c *Controller) recordReadTo(p position.Position) {
	if cc := *c.config.Load(); p > cc.readTo {
		cc.readTo = p
		c.setConfig(cc)
	}
}

// resumeConfigAt returns the position from which this node can read the operators' topic on; ok is false if it must
// read the newest records in full. After a restore it must: what the store lost is only known from a full read.
func (c *Controller) resumeConfigAt() (p position.Position, ok bool) {
	p = c.config.Load().readTo
	return p, p > 0 && position.Era(p) == 0
}

// confirmConfig records that no version newer than version had been acknowledged at a time.
func (c *Controller) confirmConfig(version int64, asOf time.Time) {
	if old := *c.config.Load(); old.confirmed(version, asOf) != old {
		c.setConfig(old.confirmed(version, asOf))
	}
}

// overdueConfig tracks whether the configuration has gone unconfirmed for longer than the bound within which a change
// must take effect. It belongs to the owner.
type overdueConfig struct {
	// since is when the bound was exceeded; zero while the configuration is confirmed in time.
	since time.Time
}

// checkConfigAge logs when the configuration in force has not been confirmed for longer than the bound, with what this
// node waits for, and when it is confirmed again.
func (c *Controller) checkConfigAge(now time.Time) {
	age, known := c.config.Load().age(now)
	o := &c.overdueConfig
	switch {
	case !known:
	case age > c.timing.bound && o.since.IsZero():
		o.since = now
		c.configsOverdue.Add(1)
		c.o.Logger.Warn("configuration not confirmed within the bound", "version", c.config.Load().version(), "ageMs", age.Milliseconds(), "boundMs", c.timing.bound.Milliseconds(),
			"feedAgeMs", c.relayAgeMs(), "holderAgeMs", c.holderAgeMs(), "readsStore", !c.skipsStoreReads(), "storeUnavailable", c.storeHealth.unavailable())
	case age <= c.timing.bound && !o.since.IsZero():
		c.o.Logger.Info("configuration confirmed again", "version", c.config.Load().version(), "ageMs", age.Milliseconds(), "overdueMs", now.Sub(o.since).Milliseconds(), "feedAgeMs", c.relayAgeMs())
		o.since = time.Time{}
	}
}

// configAgeMs returns the age of the configuration in milliseconds, for metrics; -1 if it was never confirmed.
func (c *Controller) configAgeMs() int64 {
	age, known := c.config.Load().age(c.o.Clock.Now())
	if !known {
		return -1
	}
	return age.Milliseconds()
}
