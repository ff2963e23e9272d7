package catalog

import (
	"sort"

	"google.golang.org/protobuf/proto"

	pb "olivetiller/proto/olivetiller/v1"
)

// namedItem is an item of a list of the configuration.
type namedItem interface {
	proto.Message
	GetName() string
}

// section is one list of the configuration. kind is its prefix in the "kind/name"
// strings of a removal list.
type section[T namedItem] struct {
	kind string
	list func(*pb.Config) *[]T
}

// weightsKey stands for the policy weights in a removal list.
const weightsKey = "weights"

var (
	modelSection     = section[*pb.Model]{"models", func(c *pb.Config) *[]*pb.Model { return &c.Models }}
	adapterSection   = section[*pb.Adapter]{"adapters", func(c *pb.Config) *[]*pb.Adapter { return &c.Adapters }}
	serviceSection   = section[*pb.Service]{"services", func(c *pb.Config) *[]*pb.Service { return &c.Services }}
	callerSection    = section[*pb.Caller]{"callers", func(c *pb.Config) *[]*pb.Caller { return &c.Callers }}
	storeSection     = section[*pb.WeightStore]{"weightStores", func(c *pb.Config) *[]*pb.WeightStore { return &c.WeightStores }}
	objectiveSection = section[*pb.Objective]{"objectives", func(c *pb.Config) *[]*pb.Objective { return &c.Objectives }}
)

// Diff returns the items of next that base lacks or has with other content, and the
// sorted "kind/name" strings, per kind, of the items that next lacks. Applying both
// to base with [Merge] yields next.
func Diff(base, next *pb.Config) (upsert *pb.Config, remove []string) {
	upsert = &pb.Config{}
	remove = append(remove, modelSection.diff(base, next, upsert)...)
	remove = append(remove, adapterSection.diff(base, next, upsert)...)
	remove = append(remove, serviceSection.diff(base, next, upsert)...)
	remove = append(remove, callerSection.diff(base, next, upsert)...)
	remove = append(remove, storeSection.diff(base, next, upsert)...)
	remove = append(remove, objectiveSection.diff(base, next, upsert)...)
	switch {
	case proto.Equal(base.GetWeights(), next.GetWeights()):
	case next.GetWeights() == nil:
		remove = append(remove, weightsKey)
	default:
		upsert.Weights = next.GetWeights()
	}
	return upsert, remove
}

// Merge returns base with the items of upsert inserted or replaced and those in
// remove deleted. Each list is sorted by name. It does not modify base; the result
// shares unchanged items with it.
func Merge(base, upsert *pb.Config, remove []string) *pb.Config {
	removed := make(map[string]bool, len(remove))
	for _, r := range remove {
		removed[r] = true
	}
	out := &pb.Config{Weights: base.GetWeights()}
	modelSection.merge(base, upsert, removed, out)
	adapterSection.merge(base, upsert, removed, out)
	serviceSection.merge(base, upsert, removed, out)
	callerSection.merge(base, upsert, removed, out)
	storeSection.merge(base, upsert, removed, out)
	objectiveSection.merge(base, upsert, removed, out)
	if removed[weightsKey] {
		out.Weights = nil
	}
	if upsert.GetWeights() != nil {
		out.Weights = upsert.GetWeights()
	}
	return out
}

// ChangedItems returns the number of items that a change inserts, replaces or
// removes.
func ChangedItems(upsert *pb.Config, remove []string) int {
	n := len(remove) + len(upsert.GetModels()) + len(upsert.GetAdapters()) + len(upsert.GetServices()) +
		len(upsert.GetCallers()) + len(upsert.GetWeightStores()) + len(upsert.GetObjectives())
	if upsert.GetWeights() != nil {
		n++
	}
	return n
}

func (s section[T]) byName(cfg *pb.Config) map[string]T {
	if cfg == nil {
		return nil
	}
	list := *s.list(cfg)
	m := make(map[string]T, len(list))
	for _, it := range list {
		m[it.GetName()] = it
	}
	return m
}

func (s section[T]) diff(base, next, upsert *pb.Config) (remove []string) {
	have := s.byName(base)
	want := s.byName(next)
	for name, it := range want {
		if old, ok := have[name]; !ok || !proto.Equal(old, it) {
			*s.list(upsert) = append(*s.list(upsert), it)
		}
	}
	s.sort(upsert)
	for name := range have {
		if _, ok := want[name]; !ok {
			remove = append(remove, s.kind+"/"+name)
		}
	}
	sort.Strings(remove)
	return remove
}

func (s section[T]) merge(base, upsert *pb.Config, removed map[string]bool, out *pb.Config) {
	m := s.byName(base)
	if m == nil {
		m = make(map[string]T)
	}
	for name := range m {
		if removed[s.kind+"/"+name] {
			delete(m, name)
		}
	}
	for name, it := range s.byName(upsert) {
		m[name] = it
	}
	for _, it := range m {
		*s.list(out) = append(*s.list(out), it)
	}
	s.sort(out)
}

func (s section[T]) sort(cfg *pb.Config) {
	list := *s.list(cfg)
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
}
