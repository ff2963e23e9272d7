// Package explore visits every state that a small protocol can reach.
//
// The problem: a protocol that is right in the usual order of events can be
// wrong in one order out of thousands. The model: a world is a value; Next
// returns every world that one step leads to, with the step's name; Check says
// what is wrong with a world. [Run] visits each distinct world once, breadth
// first, so that the first violation it reports has the shortest history.
package explore

import "fmt"

// Step is one way on from a world.
type Step[W any] struct {
	Name string
	To   W
}

// Model is a protocol to explore.
type Model[W any] struct {
	Init W
	// Next returns the steps from a world. It must not change the world.
	Next func(W) []Step[W]
	// Key tells worlds apart: equal keys mean equal futures.
	Key func(W) string
	// Check returns what is wrong with a world, or nil.
	Check func(W) error
	// MaxStates bounds the search; reaching it is an error of the model.
	MaxStates int
}

// Report is what a search found.
type Report struct {
	// States counts the distinct worlds visited, Steps the steps between them.
	States, Steps int
	// Violation is the first wrong world found, nil if there is none.
	Violation error
	// Trace is the shortest history that leads to it.
	Trace []string
}

// ErrTooLarge is returned when a search reaches its bound.
type ErrTooLarge struct{ Bound int }

// Error implements error.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("more than %d states; make the model smaller", e.Bound)
}

// node is a visited world with the way to it.
type node[W any] struct {
	world  W
	parent int
	step   string
}

// Run explores a model.
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

func trace[W any](nodes []node[W], i int) []string {
	var out []string
	for ; nodes[i].parent >= 0; i = nodes[i].parent {
		out = append([]string{nodes[i].step}, out...)
	}
	return out
}
