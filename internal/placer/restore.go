package placer

import (
	"errors"
	"time"

	"olivetiller/core/logstore"
	"olivetiller/core/position"
)

// rewriteGrace is how long after a restore of the store its writers may take to write again what was lost. Endpoints
// of the known deployments write every 1.2 s; the operator is assumed to need no longer.
const rewriteGrace = 2 * time.Second

// eras tracks the store's era, which the store increments when it is restored from a backup. The owner writes its
// fields.
type eras struct {
	// known is the latest era, and since is when this node learned of it.
	known uint64
	since time.Time
	// configVersion is the newest configuration version that was read in this era.
	configVersion int64
	// unreadableTo is the position after the latest configuration that could not be decoded, and readableTo after the
	// latest one that could.
	unreadableTo, readableTo uint64
}

// storeRestored reports that a reader found the store restored: the reader had read up to next, and the new era
// begins at first.
type storeRestored struct {
	topic       string
	next, first uint64
}

func (m storeRestored) handle(c *Controller) {
	c.o.Logger.Info("store era changed", "topic", m.topic, "readTo", position.Offset(m.next), "era", position.Era(m.first))
	c.enterEra(position.Era(m.first), c.o.Clock.Now())
}

// enterEra records the store's era. An era later than the known one means that the store was restored from an older
// backup.
func (c *Controller) enterEra(era uint64, now time.Time) {
	first := c.eras.since.IsZero()
	if !first && era <= c.eras.known {
		return
	}
	c.eras.known, c.eras.since, c.eras.configVersion = era, now, 0
	if first {
		return
	}
	n := c.restores.Add(1)
	c.o.Logger.Warn("store restored from an older backup", "era", era, "times", n, "listedTo", position.Offset(c.listedTo),
		"leaseTo", position.Offset(c.lease.End()), "writtenAgain", "lease, verdicts", "judgedAnewInMs", rewriteGrace.Milliseconds())
	// The stored verdicts are compared again, and those that were lost are written again.
	clear(c.suspects.stored)
	c.suspects.storedTo = 0
	c.leaseUncertain.Store(true)
}

// rewriteGraceOver reports whether the store's writers have had the time to write again what a restore lost. A store
// that was never restored has lost nothing.
func (c *Controller) rewriteGraceOver(now time.Time) bool {
	return c.eras.known == 0 || now.Sub(c.eras.since) >= rewriteGrace
}

// recordConfigRead records the era and the newest configuration version of a page, and the configurations that could
// not be decoded.
func (c *Controller) recordConfigRead(m configPage) {
	c.enterEra(position.Era(m.page.Next), c.o.Clock.Now())
	for _, d := range m.page.Damaged {
		if unreadable := new(logstore.UnreadableConfig); errors.As(d.Err, &unreadable) {
			c.eras.unreadableTo = max(c.eras.unreadableTo, d.Offset+1)
		}
	}
	for _, r := range m.page.Records {
		if r.Value.Table == nil || position.Era(m.page.Next) != c.eras.known {
			continue
		}
		c.eras.readableTo = max(c.eras.readableTo, r.Offset+1)
		c.eras.configVersion = max(c.eras.configVersion, r.Value.Table.Config.Version)
	}
}

// confirmsNewest reports whether a read shows that the configuration in force was the newest when the read was sent.
// Shortly after a restore the operator may not have written the newest version again, and has not if the store's
// version is older than the one in force.
func (c *Controller) confirmsNewest(m configPage) bool {
	t := c.Table()
	switch {
	case t == nil, len(m.page.Damaged) > 0, m.page.Next < m.page.End, !c.knowsRecords():
		// A version that could not be read, was kept from being put in force by mayApplyConfig, or is on a later page,
		// may have removed keys.
		return false
	case c.eras.known == 0:
		return true
	}
	return m.asked.Sub(c.eras.since) >= rewriteGrace && c.eras.configVersion >= t.Config.Version
}

// knowsRecords reports whether every configuration that was read is in force or older than the one in force. A node
// that reads on after one that is not would take it for unchanged.
func (c *Controller) knowsRecords() bool {
	return c.eras.unreadableTo <= c.eras.readableTo && c.eras.configVersion <= c.config.Load().version()
}

// mayApplyConfig reports whether a configuration read from the store may be put in force. A node without any cannot
// recognize an old version that a restore brought back: it waits for the lease holder's configuration, or until the
// operator has had the time to write the newest one again.
func (c *Controller) mayApplyConfig(now time.Time) bool {
	return c.Table() != nil || c.rewriteGraceOver(now)
}
