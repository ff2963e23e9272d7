package placer

import "time"

// The time as of which a node's configuration is the newest is taken before the read is sent, at this node or at the
// lease holder, and is passed on to followers as an age. It bounds the use of removed keys: a node no longer accepts
// a key once that time is after the removal.

// ConfigAsOf returns when the configuration in force was last confirmed to be the newest, on the clock that counts
// suspended time; zero if no configuration was read.
func (c *Controller) ConfigAsOf() time.Time {
	if at := c.configConfirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirmConfig records that the configuration in force was the newest at a time.
func (c *Controller) confirmConfig(at time.Time) {
	for {
		old := c.configConfirmedAt.Load()
		if old != nil && !at.After(*old) || c.configConfirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// configAge returns how long ago the configuration in force was confirmed to be the newest; known is false if it
// never was.
func (c *Controller) configAge(now time.Time) (age time.Duration, known bool) {
	at := c.ConfigAsOf()
	return max(0, now.Sub(at)), !at.IsZero()
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
	age, known := c.configAge(now)
	o := &c.overdueConfig
	switch {
	case !known:
	case age > c.timing.bound && o.since.IsZero():
		o.since = now
		c.configsOverdue.Add(1)
		c.o.Logger.Warn("configuration not confirmed within the bound", "version", c.tableVersion(), "ageMs", age.Milliseconds(), "boundMs", c.timing.bound.Milliseconds(),
			"feedAgeMs", c.relayAgeMs(), "holderAgeMs", c.holderAgeMs(), "readsStore", !c.skipsStoreReads(), "storeUnavailable", c.storeHealth.unavailable())
	case age <= c.timing.bound && !o.since.IsZero():
		c.o.Logger.Info("configuration confirmed again", "version", c.tableVersion(), "ageMs", age.Milliseconds(), "overdueMs", now.Sub(o.since).Milliseconds(), "feedAgeMs", c.relayAgeMs())
		o.since = time.Time{}
	}
}

// tableVersion returns the version of the configuration in force; 0 if there is none.
func (c *Controller) tableVersion() int64 {
	if t := c.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// configAgeMs returns the result of configAge in milliseconds for metrics; -1 if unknown.
func (c *Controller) configAgeMs() int64 {
	age, known := c.configAge(c.o.Clock.Now())
	if !known {
		return -1
	}
	return age.Milliseconds()
}
