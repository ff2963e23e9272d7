// Package region determines the regions to which a request's body may be sent. A route and a customer may each
// restrict the regions that may serve a request; if both do, both restrictions apply.
//
// A pool of endpoints is divided by the allowed regions. The name of each part is the pool's name with the regions.
//
//	s, err := region.Of([]string{"eu", "us"}, []string{"us"})
//	s.Allows("us") // true
//	s.Pool("p")    // "p@us", the part of the pool p in the region us
package region

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a set of allowed regions. The zero value allows all regions.
type Set struct {
	// names is sorted and without duplicates; nil allows all regions.
	names []string
}

// Conflict is the error for a request whose route and customer have no allowed region in common.
type Conflict struct {
	// Route and Customer are the regions that each of them allows.
	Route, Customer []string
}

// Error implements error.
func (c Conflict) Error() string {
	return fmt.Sprintf("the route allows the regions %q and the customer %q: none of them is in both; give allowed_regions of one of them a region of the other", c.Route, c.Customer)
}

// Of returns the regions that both a route and a customer allow. An empty list allows all regions. It returns a
// [Conflict] if they have no region in common.
func Of(route, customer []string) (Set, error) {
	switch {
	case len(route) == 0 && len(customer) == 0:
		return Set{}, nil
	case len(route) == 0:
		return newSet(customer), nil
	case len(customer) == 0:
		return newSet(route), nil
	}
	var both []string
	for _, name := range route {
		if slices.Contains(customer, name) {
			both = append(both, name)
		}
	}
	if len(both) == 0 {
		return Set{}, Conflict{route, customer}
	}
	return newSet(both), nil
}

func newSet(names []string) Set {
	names = slices.Clone(names)
	slices.Sort(names)
	return Set{slices.Compact(names)}
}

// All reports whether all regions are allowed.
func (s Set) All() bool { return s.names == nil }

// Allows reports whether a region is allowed. The unknown region "" is allowed only if all regions are.
func (s Set) Allows(name string) bool {
	return s.names == nil || name != "" && slices.Contains(s.names, name)
}

// Separators in the name of a part of a pool: before its regions, and between them.
const (
	poolSeparator   = "@"
	regionSeparator = "+"
)

// Pool returns the name of the part of a pool that is in the allowed regions; the pool's own name if all are allowed.
func (s Set) Pool(name string) string {
	if s.All() {
		return name
	}
	return name + poolSeparator + strings.Join(s.names, regionSeparator)
}

// SplitPool is the inverse of [Set.Pool]: it returns the pool and the allowed regions of the name of a part.
func SplitPool(name string) (pool string, s Set) {
	i := strings.LastIndex(name, poolSeparator)
	if i < 0 {
		return name, Set{}
	}
	return name[:i], Set{strings.Split(name[i+len(poolSeparator):], regionSeparator)}
}
