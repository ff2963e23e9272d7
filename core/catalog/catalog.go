package catalog

import (
	pb "olivetiller/proto/olivetiller/v1"
)

// DefaultConcurrency is the number of requests one replica runs at once when
// the configuration leaves it open.
const DefaultConcurrency = 8

// Unit is what is loaded and placed: a base model or an adapter.
type Unit struct {
	// Name is unique among models and adapters, never empty.
	Name string
	// Base is the unit that must be loaded on the same engine; empty for a model.
	Base string
	// Versions maps a version to its weights in bytes; never empty.
	Versions map[string]uint64
	// Serving is a key of Versions.
	Serving string
	// ReservedBytes is held beside the weights of each replica.
	ReservedBytes uint64
	// MaxReplicas bounds the replicas of one version, at least 1.
	MaxReplicas int
	// Halls restricts the data halls it may run in; empty means all.
	Halls []string
	// Store names the weight store; adapters inherit their base model's.
	Store string
	// Concurrency is how many requests one replica runs at once, at least 1.
	Concurrency int
	// Pinned units keep one replica whatever the demand.
	Pinned bool
	// Banned units are refused and unloaded.
	Banned bool
}

// Bytes returns what a replica of version takes of an engine's memory.
func (u *Unit) Bytes(version string) uint64 {
	return u.Versions[version] + u.ReservedBytes
}

// AllowsHall reports whether the unit may run in the data hall.
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

// Catalog is an indexed configuration. It is never changed once made.
type Catalog struct {
	// Config is the configuration as published; read only.
	Config *pb.Config
	// Units holds every model and adapter by name.
	Units map[string]*Unit
	// Services holds the plain services by name.
	Services map[string]*pb.Service
	// Callers holds the callers by the hex SHA-256 of their token.
	Callers map[string]*pb.Caller
	// StoreSlots holds the load slots of each weight store.
	StoreSlots map[string]int
}

// New indexes a configuration that [Check] found no fault in.
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
