package placer

import "olivetiller/core/directory"

// interner holds one copy of each name that many endpoints share: pools, services and data halls. Its size is bounded
// by the catalogue, not by the number of endpoints.
type interner map[string]string

// intern returns the shared copy of a name.
func (n interner) intern(name string) string {
	if shared, ok := n[name]; ok {
		return shared
	}
	n[name] = name
	return name
}

// pools returns a copy of a list of pools without spare capacity, whose names are interned.
func (n interner) pools(pools []string) []string {
	out := make([]string, len(pools))
	for i, pool := range pools {
		out[i] = n.intern(pool)
	}
	return out
}

// record interns the names of a record.
func (n interner) record(r *directory.Record) {
	if in := r.Instance; in != nil {
		in.ID, in.Service, in.Hall = r.ID, n.intern(in.Service), n.intern(in.Hall)
	}
}
