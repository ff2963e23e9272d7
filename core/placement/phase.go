package placement

// phase is what the planner knows of an engine's orders. With an order whose reply is
// awaited it decides what news of the engine means; TestPhases has all transitions.
type phase uint8

// The phases.
const (
	// doubtful: what the engine holds is not known until it has reported; no orders.
	doubtful phase = iota + 1
	// settled: all orders taken are carried out.
	settled
	// working: the engine loads or unloads a model.
	working
	// unconfirmed: the work is taken as ended by the clock; orders are sent, and what
	// the engine says of them or of itself confirms the end or takes the work up again.
	unconfirmed
)

var phaseNames = map[phase]string{doubtful: "doubtful", settled: "settled", working: "working", unconfirmed: "unconfirmed"}

// String implements fmt.Stringer.
func (p phase) String() string { return phaseNames[p] }

// phase returns the engine's phase.
func (e *engine) phase() phase {
	switch {
	case !e.known:
		return doubtful
	case e.work != nil:
		return working
	case e.ended != nil:
		return unconfirmed
	}
	return settled
}
