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

// configAgeMs returns the result of configAge in milliseconds for metrics; -1 if unknown.
func (c *Controller) configAgeMs() int64 {
	age, known := c.configAge(c.o.Clock.Now())
	if !known {
		return -1
	}
	return age.Milliseconds()
}
