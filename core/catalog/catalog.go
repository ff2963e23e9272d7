package catalog

import (
	pb "olivetiller/proto/olivetiller/v1"
)

// DefaultConcurrency is the number of requests that one replica runs concurrently
// if the configuration does not set it.
const DefaultConcurrency = 8

// Unit is a base model or an adapter, the unit of loading and placement.
type Unit struct {
	// Name is unique among models and adapters; never empty.
	Name string
	// Base is the base model of an adapter, which must be loaded on the same engine;
	// empty for a model.
	Base string
	// Versions holds the size of the weights in bytes by version; never empty.
	Versions map[string]uint64
	// Serving is the version that serves requests, a key of Versions.
	Serving string
	// ReservedBytes is the engine memory that each replica needs beside its weights.
	ReservedBytes uint64
	// MaxReplicas bounds the replicas of one version; at least 1.
	MaxReplicas int
	// Halls holds the data halls in which the unit may run; empty means all.
	Halls []string
	// Store is the weight store of the unit; adapters use that of their base model.
	Store string
	// Concurrency is the number of requests that one replica runs concurrently; at
	// least 1.
	Concurrency int
	// Pinned is true if one replica stays loaded without demand.
	Pinned bool
	// Banned is true if requests for the unit are refused and its replicas unloaded.
	Banned bool
}

// Bytes returns the engine memory in bytes that a replica of a version needs.
func (u *Unit) Bytes(version string) uint64 {
	return u.Versions[version] + u.ReservedBytes
}

// AllowsHall reports whether the unit may run in a data hall.
func (u *Unit) AllowsHall(hall string) bool {
	if len(u.Halls) == 0 {
		return true
	}
	for _, h := range u.Halls {
		if h == hall {
			return true
		}
	}
	return false
}

// Catalog is an indexed configuration. It is immutable.
type Catalog struct {
	// Config is the indexed configuration; it must not be modified.
	Config *pb.Config
	// Units holds every model and adapter by name.
	Units map[string]*Unit
	// Services holds the plain services by name.
	Services map[string]*pb.Service
	// Callers holds the callers by the hex SHA-256 of their token.
	Callers map[string]*pb.Caller
	// StoreSlots holds the number of load slots, that is of concurrent loads, of each
	// weight store.
	StoreSlots map[string]int
}

// New indexes a configuration in which [Check] found no fault.
func New(cfg *pb.Config) *Catalog {
	c := &Catalog{
		Config:     cfg,
		Units:      make(map[string]*Unit, len(cfg.GetModels())+len(cfg.GetAdapters())),
		Services:   make(map[string]*pb.Service, len(cfg.GetServices())),
		Callers:    make(map[string]*pb.Caller, len(cfg.GetCallers())),
		StoreSlots: make(map[string]int, len(cfg.GetWeightStores())),
	}
	for _, m := range cfg.GetModels() {
		c.Units[m.GetName()] = modelUnit(m)
	}
	for _, a := range cfg.GetAdapters() {
		c.Units[a.GetName()] = adapterUnit(a, c.Units[a.GetBaseModel()])
	}
	for _, s := range cfg.GetServices() {
		c.Services[s.GetName()] = s
	}
	for _, cl := range cfg.GetCallers() {
		c.Callers[cl.GetTokenSha256()] = cl
	}
	for _, s := range cfg.GetWeightStores() {
		c.StoreSlots[s.GetName()] = int(s.GetLoadSlots())
	}
	return c
}

func modelUnit(m *pb.Model) *Unit {
	return &Unit{
		Name:          m.GetName(),
		Versions:      versions(m.GetVersions()),
		Serving:       m.GetServingVersion(),
		ReservedBytes: m.GetKvBytes(),
		MaxReplicas:   max(1, int(m.GetMaxReplicas())),
		Halls:         m.GetHalls(),
		Store:         m.GetWeightStore(),
		Concurrency:   concurrency(m.GetReplicaConcurrency()),
		Pinned:        m.GetPinned(),
		Banned:        m.GetBanned(),
	}
}

func adapterUnit(a *pb.Adapter, base *Unit) *Unit {
	u := &Unit{
		Name:        a.GetName(),
		Base:        a.GetBaseModel(),
		Versions:    versions(a.GetVersions()),
		Serving:     a.GetServingVersion(),
		MaxReplicas: max(1, int(a.GetMaxReplicas())),
		Banned:      a.GetBanned(),
		Concurrency: DefaultConcurrency,
	}
	if base != nil {
		u.Halls = base.Halls
		u.Store = base.Store
		u.Concurrency = base.Concurrency
		u.Banned = u.Banned || base.Banned
	}
	return u
}

func versions(vs []*pb.Version) map[string]uint64 {
	m := make(map[string]uint64, len(vs))
	for _, v := range vs {
		m[v.GetName()] = v.GetWeightBytes()
	}
	return m
}

func concurrency(n uint32) int {
	if n == 0 {
		return DefaultConcurrency
	}
	return int(n)
}
