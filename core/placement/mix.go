package placement

// A service reads long prompts for the most part if they are longShare of the tokens of all prompts, of which there are
// minTokenRate or more in a second. A model of such a service has lanes if it gets both long and short prompts, at least
// minLongRate and minShortRate tokens of them in a second.
const (
	longShare    = 0.8
	minTokenRate = 2000
	minLongRate  = 100
	minShortRate = 20
)

// mixes holds the rates of tokens by service.
type mixes map[string]*mix

type mix struct{ tokens, long float64 }

// add adds the prompts of a model.
func (x mixes) add(m *modelState) {
	s := x[m.unit.Service]
	if s == nil {
		s = &mix{}
		x[m.unit.Service] = s
	}
	s.tokens, s.long = s.tokens+m.tokenRate, s.long+m.longTokenRate
}

// long reports whether a service reads long prompts for the most part.
func (x mixes) long(service string) bool {
	s := x[service]
	return s != nil && s.tokens >= minTokenRate && s.long >= longShare*s.tokens
}

// Lanes returns, as of the last plan, the models that get long prompts beside streams with short ones, in services that read
// long prompts for the most part.
func (p *Planner) Lanes() map[Unit]bool {
	out := make(map[Unit]bool)
	for _, m := range p.modelList {
		if p.mixes.long(m.unit.Service) && m.longTokenRate >= minLongRate && m.tokenRate-m.longTokenRate >= minShortRate {
			out[m.unit] = true
		}
	}
	return out
}
