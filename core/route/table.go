package route

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"olivetiller/core/customer"
)

// Fault is an error in a configuration.
type Fault struct {
	// Where is the name of the route or service, or "customers".
	Where   string
	Problem string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("configuration: %s: %s; correct it and publish again", f.Where, f.Problem)
}

// Table is a validated configuration with indexes for look-ups. It is immutable.
type Table struct {
	Config   *Config
	services map[string]*Service
	models   map[ModelKey]*Model
	// hosts holds the routes by host, those with longer prefixes first.
	hosts map[string][]*Route
	// customers is the index of the customers. It is part of the table, so that routes and customers of a
	// version take effect together.
	customers *customer.Index
	// ranked names the services whose requests have several ranks.
	ranked map[string]bool
}

// ModelKey identifies a model of a service.
type ModelKey struct {
	Service, Model string
}

// New validates a configuration and returns its table. It returns a [Fault] if the configuration is invalid.
func New(c *Config) (*Table, error) {
	t := &Table{
		Config: c, services: make(map[string]*Service, len(c.Services)),
		models: make(map[ModelKey]*Model), hosts: make(map[string][]*Route),
	}
	customers, err := customer.NewIndex(c.Customers)
	if err != nil {
		return nil, Fault{Where: "customers", Problem: err.Error()}
	}
	t.customers = customers
	for i := range c.Services {
		s := &c.Services[i]
		t.services[s.Name] = s
		if s.Engine == nil {
			continue
		}
		for j := range s.Engine.Models {
			m := &s.Engine.Models[j]
			t.models[ModelKey{s.Name, m.Name}] = m
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	t.ranked = c.rankedServices()
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
	if len(r.Services) == 0 {
		return Fault{Where: r.Name, Problem: "the route names no service"}
	}
	for _, s := range r.Services {
		if t.services[s.Service] == nil {
			return Fault{Where: r.Name, Problem: fmt.Sprintf("there is no service %q", s.Service)}
		}
	}
	if r.Priority < 0 {
		return Fault{Where: r.Name, Problem: fmt.Sprintf("the priority is %d; use 0, the most urgent, or more", r.Priority)}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return Fault{Where: r.Name, Problem: fmt.Sprintf("the prefix %q does not begin and end with a slash", r.Prefix)}
	}
	return nil
}

// rankedServices returns the services whose requests have several ranks: those of their routes, and of the customers that
// have their own.
func (c *Config) rankedServices() map[string]bool {
	ranked, first := make(map[string]bool), make(map[string]int)
	add := func(r *Route, rank int) {
		for _, s := range r.Services {
			if old, ok := first[s.Service]; !ok {
				first[s.Service] = rank
			} else if old != rank {
				ranked[s.Service] = true
			}
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || !slices.ContainsFunc(c.Customers, func(u customer.Customer) bool { return u.Ranked }) {
			add(r, r.Priority)
			continue
		}
		for _, u := range c.Customers {
			if u.Ranked {
				add(r, u.Priority)
			} else {
				add(r, r.Priority)
			}
		}
	}
	return ranked
}

// Ranked reports whether requests for a service have several ranks, so that their order matters.
func (t *Table) Ranked(service string) bool { return t.ranked[service] }

// Match returns the route with the longest prefix of path on a host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need keys, which holds if the configuration names customers.
func (t *Table) Keyed() bool { return len(t.Config.Customers) > 0 }

// KeyOwner returns the customer that owns a key, by the key's digest, or nil.
func (t *Table) KeyOwner(k customer.Digest) *customer.Customer { return t.customers.ByKey(k) }

// Customer returns the customer with a name, or nil.
func (t *Table) Customer(name string) *customer.Customer { return t.customers.ByName(name) }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Model returns a model of a service by name, or nil.
func (t *Table) Model(service, model string) *Model { return t.models[ModelKey{service, model}] }

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Services, func(s Share) bool { return s.Service == service && (s.Weight > 0 || len(r.Services) == 1) })
}

// Pick returns the name of the service for a request, at random by weight. It depends only on the request's id, so
// that all attempts of a request go to the same service.
func (r *Route) Pick(id string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 || len(r.Services) == 1 {
		return r.Services[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Services {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Services[0].Service
}
