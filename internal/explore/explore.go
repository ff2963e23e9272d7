// Package explore visits every state that a small model of a protocol can reach, and reports the
// first state that violates its invariants.
//
// A protocol that is right in the usual order of events can be wrong in one order out of thousands.
// In a [Model], a state (a world, of type W) is a value: Next returns every world that one step
// leads to, and Check returns an error for a world that violates an invariant. [Run] visits each
// distinct world once, breadth first, so that the first violation has the shortest history. Package
// modelcheck holds the models; the model command of olivebench runs them.
package explore

import "fmt"

// Step is one step from a world: its name in traces, and the world that it leads to.
type Step[W any] struct {
	Name string
	To   W
}

// Model is a protocol to explore.
type Model[W any] struct {
	// Init is the world that the search starts from.
	Init W
	// Next returns the possible steps from a world. It must not change the world.
	Next func(W) []Step[W]
	// Key identifies a world: worlds with equal keys must have equal futures, and only the first is
	// visited.
	Key func(W) string
	// Check returns an error if a world violates an invariant, otherwise nil.
	Check func(W) error
	// MaxStates bounds the number of distinct worlds; Run fails with ErrTooLarge beyond it.
	MaxStates int
}

// Report is the result of a search.
type Report struct {
	// States counts the distinct worlds visited, Steps the steps between them, including those to
	// worlds already visited.
	States, Steps int
	// Violation is the error of the first violating world, nil if there is none.
	Violation error
	// Trace holds the names of the steps that lead from Init to the violating world; no history is
	// shorter.
	Trace []string
}

// ErrTooLarge is returned if a model has more than Bound distinct worlds.
type ErrTooLarge struct{ Bound int }

// Error implements error.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("the model has more than %d states; reduce its bounds", e.Bound)
}

// node is a visited world, with the index of the world it was reached from (-1 for the first) and
// the name of the step.
type node[W any] struct {
	world  W
	parent int
	step   string
}

// Run explores a model until it finds a violation or has visited every world. It fails only with
// ErrTooLarge.
func Run[W any](m Model[W]) (Report, error) {
	var r Report
	nodes := []node[W]{{world: m.Init, parent: -1}}
	seen := map[string]bool{m.Key(m.Init): true}
	for i := 0; i < len(nodes); i++ {
		r.States++
		if err := m.Check(nodes[i].world); err != nil {
			r.Violation = err
			r.Trace = trace(nodes, i)
			return r, nil
		}
		for _, s := range m.Next(nodes[i].world) {
			r.Steps++
			key := m.Key(s.To)
			if seen[key] {
				continue
			}
			if len(seen) >= m.MaxStates {
				return r, ErrTooLarge{m.MaxStates}
			}
			seen[key] = true
			nodes = append(nodes, node[W]{world: s.To, parent: i, step: s.Name})
		}
	}
	return r, nil
}

// trace returns the names of the steps from the first world to world i.
func trace[W any](nodes []node[W], i int) []string {
	var out []string
	for ; nodes[i].parent >= 0; i = nodes[i].parent {
		out = append([]string{nodes[i].step}, out...)
	}
	return out
}
