package placement

// phase is the state of an engine as far as its orders are concerned. The phase and the pending
// order decide how a reply or report is interpreted; TestPhases covers all transitions.
type phase uint8

// Phases of an engine.
const (
	// doubtful: what the engine holds is unknown, and it gets no orders until it has reported.
	doubtful phase = iota + 1
	// settled: the engine has carried out all orders that it took.
	settled
	// working: the engine is loading or unloading a model.
	working
	// unconfirmed: the expected duration of the last load or unload has passed. The engine gets
	// orders; its next reply or report either confirms the end or shows that the work goes on.
	unconfirmed
)

var phaseNames = map[phase]string{doubtful: "doubtful", settled: "settled", working: "working", unconfirmed: "unconfirmed"}

// String implements fmt.Stringer.
func (p phase) String() string { return phaseNames[p] }

// phase returns the engine's current phase.
func (e *engine) phase() phase {
	switch {
	case !e.known:
		return doubtful
	case e.work != nil:
		return working
	case e.unconfirmed != nil:
		return unconfirmed
	}
	return settled
}
