package placer

import (
	"slices"

	"olivetiller/core/route"
)

// movedServices returns the services to or from which streams on routes may have moved among configurations. Any two are
// compared: a route may move and come back, or be missing in between.
func movedServices(tables []*route.Table) []string {
	moved := make(map[string]bool)
	note := func(from, to *route.Route) {
		if from == nil || to == nil || !from.Resumable || !to.Resumable || slices.Equal(from.Services, to.Services) {
			return
		}
		for _, r := range []*route.Route{from, to} {
			for _, s := range r.Services {
				moved[s.Service] = true
			}
		}
	}
	for i, old := range tables {
		for _, next := range tables[i+1:] {
			for j := range old.Config.Routes {
				r := &old.Config.Routes[j]
				note(r, next.Match(r.Host, r.Prefix))
			}
			for j := range next.Config.Routes {
				r := &next.Config.Routes[j]
				note(old.Match(r.Host, r.Prefix), r)
			}
		}
	}
	out := make([]string, 0, len(moved))
	for s := range moved {
		out = append(out, s)
	}
	return out
}

// resumableServices returns the services of all routes whose streams may be taken up.
func resumableServices(t *route.Table) []string {
	var out []string
	for i := range t.Config.Routes {
		for _, s := range t.Config.Routes[i].Services {
			if t.Config.Routes[i].Resumable && !slices.Contains(out, s.Service) {
				out = append(out, s.Service)
			}
		}
	}
	return out
}

// servicesMoved returns the services to or from which streams on routes may have moved since a configuration.
func (c *Controller) servicesMoved(since int64, t *route.Table) []string {
	switch {
	case since == 0 || since >= t.Config.Version:
		return nil
	case c.builds.tableOf(since) == nil:
		// Any stream may have moved.
		return resumableServices(t)
	}
	return movedServices(c.builds.tablesFrom(since))
}
