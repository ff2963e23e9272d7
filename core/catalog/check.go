package catalog

import (
	"encoding/hex"
	"fmt"
	"regexp"

	pb "olivetiller/proto/olivetiller/v1"
)

// Fault is one error in a configuration.
type Fault struct {
	// Path names the item and field, as in "models[label-a].versions".
	Path string
	// Problem describes the error.
	Problem string
	// Remedy describes how the operator can correct it.
	Remedy string
}

// Error implements error: it returns path, problem and remedy in one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// The names of service level objectives that [Check] accepts.
const (
	ObjectiveColdStart     = "coldStart"
	ObjectiveFirstToken    = "firstToken"
	ObjectiveBetweenTokens = "betweenTokens"
	ObjectiveRefusals      = "refusals"
	ObjectiveConfigSpread  = "configSpread"
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

const nameRemedy = "use 1 to 128 letters, digits, '.', '_' or '-', beginning with a letter or digit"

// validator collects the faults of a configuration. units holds the path of each
// model and adapter by name.
type validator struct {
	faults []Fault
	units  map[string]string
}

// Check returns all faults of a configuration, in the order of its items; none if
// it is valid.
func Check(cfg *pb.Config) []Fault {
	c := &validator{units: make(map[string]string)}
	stores := c.stores(cfg.GetWeightStores())
	models := c.models(cfg.GetModels(), stores)
	c.adapters(cfg.GetAdapters(), models)
	c.services(cfg.GetServices())
	c.callers(cfg.GetCallers())
	c.weights(cfg.GetWeights())
	c.objectives(cfg.GetObjectives())
	return c.faults
}

func (c *validator) add(path, problem, remedy string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

// name reports a fault if a name does not match the pattern or is in seen already;
// otherwise it adds the name to seen.
func (c *validator) name(path, name string, seen map[string]string) {
	if !namePattern.MatchString(name) {
		c.add(path+".name", fmt.Sprintf("%q is not a name", name), nameRemedy)
		return
	}
	if first, ok := seen[name]; ok {
		c.add(path+".name", fmt.Sprintf("%q is declared already at %s", name, first), "rename or remove one of the two")
		return
	}
	seen[name] = path
}

func (c *validator) stores(stores []*pb.WeightStore) map[string]string {
	seen := make(map[string]string)
	for _, s := range stores {
		path := fmt.Sprintf("weightStores[%s]", s.GetName())
		c.name(path, s.GetName(), seen)
		if s.GetLoadSlots() == 0 {
			c.add(path+".loadSlots", "no load could ever run", "set at least 1")
		}
	}
	return seen
}

func (c *validator) models(models []*pb.Model, stores map[string]string) map[string]string {
	seen := make(map[string]string)
	for _, m := range models {
		path := fmt.Sprintf("models[%s]", m.GetName())
		c.name(path, m.GetName(), c.units)
		seen[m.GetName()] = path
		c.versions(path, m.GetVersions(), m.GetServingVersion())
		if _, ok := stores[m.GetWeightStore()]; !ok {
			c.add(path+".weightStore", fmt.Sprintf("no weight store is named %q", m.GetWeightStore()), "declare it in weightStores or name another")
		}
		if m.GetMaxReplicas() == 0 {
			c.add(path+".maxReplicas", "no replica could ever be loaded", "set at least 1, or set banned")
		}
		if m.GetPinned() && m.GetBanned() {
			c.add(path+".pinned", "a model cannot be pinned and banned", "clear one of the two")
		}
	}
	return seen
}

func (c *validator) adapters(adapters []*pb.Adapter, models map[string]string) {
	for _, a := range adapters {
		path := fmt.Sprintf("adapters[%s]", a.GetName())
		c.name(path, a.GetName(), c.units)
		c.versions(path, a.GetVersions(), a.GetServingVersion())
		if _, ok := models[a.GetBaseModel()]; !ok {
			c.add(path+".baseModel", fmt.Sprintf("no model is named %q", a.GetBaseModel()), "declare it in models or name another")
		}
		if a.GetMaxReplicas() == 0 {
			c.add(path+".maxReplicas", "no replica could ever be loaded", "set at least 1, or set banned")
		}
	}
}

func (c *validator) versions(path string, vs []*pb.Version, serving string) {
	if len(vs) == 0 {
		c.add(path+".versions", "there is no version", "declare at least one")
		return
	}
	seen := make(map[string]string)
	for _, v := range vs {
		vpath := fmt.Sprintf("%s.versions[%s]", path, v.GetName())
		c.name(vpath, v.GetName(), seen)
		if v.GetWeightBytes() == 0 {
			c.add(vpath+".weightBytes", "the size of the weights is missing", "set the bytes the weights take on an accelerator")
		}
	}
	if _, ok := seen[serving]; !ok {
		c.add(path+".servingVersion", fmt.Sprintf("%q is not among the versions", serving), "name one of them")
	}
}

func (c *validator) services(services []*pb.Service) {
	seen := make(map[string]string)
	for _, s := range services {
		path := fmt.Sprintf("services[%s]", s.GetName())
		c.name(path, s.GetName(), seen)
		if s.GetConcurrency() == 0 {
			c.add(path+".concurrency", "no call could ever run", "set at least 1")
		}
	}
}

func (c *validator) callers(callers []*pb.Caller) {
	names := make(map[string]string)
	tokens := make(map[string]string)
	for _, cl := range callers {
		path := fmt.Sprintf("callers[%s]", cl.GetName())
		c.name(path, cl.GetName(), names)
		c.token(path, cl.GetTokenSha256(), tokens)
		if cl.GetRequestsPerSecond() < 0 {
			c.add(path+".requestsPerSecond", "the rate is negative", "set 0 for no bound, or a positive rate")
		}
		if cl.GetConcurrency() == 0 {
			c.add(path+".concurrency", "no request could ever run", "set at least 1")
		}
	}
}

// token reports a fault if digest is not a SHA-256 in hex or belongs to another
// caller.
func (c *validator) token(path, digest string, seen map[string]string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != 32 {
		c.add(path+".tokenSha256", "it is not a SHA-256 digest in hex", "run: printf %s TOKEN | sha256sum")
		return
	}
	if first, ok := seen[digest]; ok {
		c.add(path+".tokenSha256", "it is the token of "+first+" too", "give each caller a token of its own")
		return
	}
	seen[digest] = path
}

func (c *validator) weights(w *pb.MeasureWeights) {
	if w.GetColdStartSecond() < 0 || w.GetIdleHour() < 0 {
		c.add("weights", "a weight is negative", "set both to 0 or more")
	}
}

func (c *validator) objectives(objectives []*pb.Objective) {
	seen := make(map[string]string)
	for _, o := range objectives {
		path := fmt.Sprintf("objectives[%s]", o.GetName())
		switch o.GetName() {
		case ObjectiveColdStart, ObjectiveFirstToken, ObjectiveBetweenTokens, ObjectiveRefusals, ObjectiveConfigSpread:
			c.name(path, o.GetName(), seen)
		default:
			c.add(path+".name", "there is no such objective", "use coldStart, firstToken, betweenTokens, refusals or configSpread")
		}
		if o.GetTarget() <= 0 || o.GetTarget() >= 1 {
			c.add(path+".target", "it is not a share of good events", "set a number above 0 and below 1, as in 0.99")
		}
	}
}
