package originlab

import (
	"fmt"
	"time"

	"olivetiller/core/directory"
)

// Design is a way to learn where a stream began.
type Design string

// The designs.
const (
	// AskAll keeps a record only at the node that began the stream, and asks all nodes.
	AskAll Design = "ask all nodes"
	// Hash derives the build from the stream's id and the builds that serve, at both nodes, and keeps no record.
	Hash Design = "hash of the id"
	// OneHome, TwoHomes and ThreeHomes keep copies of the record at nodes chosen by the id.
	OneHome    Design = "1 copy"
	TwoHomes   Design = "2 copies"
	ThreeHomes Design = "3 copies"
	// AwaitedHomes is TwoHomes with the first event held back until one copy is acknowledged.
	AwaitedHomes Design = "2 copies, awaited"
	// LedgerOnly keeps no record, and concludes the build where the ledger names only one.
	LedgerOnly Design = "ledger"
	// HomesAndLedger is TwoHomes with the ledger for streams without a record.
	HomesAndLedger Design = "2 copies and ledger"
)

// Designs are all designs.
var Designs = []Design{AskAll, Hash, LedgerOnly, OneHome, TwoHomes, ThreeHomes, AwaitedHomes, HomesAndLedger}

// copies returns how many nodes keep a copy of a record.
func (d Design) copies() int {
	switch d {
	case OneHome:
		return 1
	case TwoHomes, AwaitedHomes, HomesAndLedger:
		return 2
	case ThreeHomes:
		return 3
	}
	return 0
}

func (d Design) usesLedger() bool { return d == LedgerOnly || d == HomesAndLedger }

// Serving is a build with the time during which engines of it serve.
type Serving struct {
	Build    directory.Build
	From, To time.Duration
}

// Rollout is the history of the builds that serve.
type Rollout struct {
	Name   string
	Builds []Serving
}

// Rollouts returns the histories with which Compare runs each fault, for a run of a duration.
func Rollouts(lasts time.Duration) []Rollout {
	at := func(share float64) time.Duration { return time.Duration(share * float64(lasts)) }
	b, end := directory.BuildOf, lasts+allowed
	return []Rollout{
		{"one version", []Serving{{b("v1"), 0, end}}},
		{"forward and back", []Serving{{b("v1"), 0, at(0.5)}, {b("v2"), at(0.2), at(0.85)}, {b("v1"), at(0.7), end}}},
		{"three, one taken back", []Serving{{b("v1"), 0, end}, {b("v2"), at(0.2), end}, {b("v3"), at(0.4), at(0.6)}}},
	}
}

// Fault is what happens to the nodes.
type Fault string

// The faults.
const (
	NoFault Fault = "none"
	// Killed kills nodes one after the other, without notice.
	Killed Fault = "nodes killed"
	// Stopped stops nodes in turn.
	Stopped Fault = "stopped in turn"
	// CutApart separates a third of the nodes from the others.
	CutApart Fault = "cut apart"
	// AllKilled kills all nodes at one moment.
	AllKilled Fault = "all killed at once"
)

// Faults are all faults.
var Faults = []Fault{NoFault, Killed, Stopped, CutApart, AllKilled}

// Load is what one simulation plays.
type Load struct {
	Nodes, Halls int
	// PerNode is the number of streams that begin at each node, a second.
	PerNode float64
	// Breaks is the share of the streams whose connection to the caller breaks off.
	Breaks float64
	For    time.Duration
	Rollout
	Fault Fault
	Seed  uint64
}

// Result is the outcome of one simulation.
type Result struct {
	Design Design
	Load   Load
	// Streams began, and TakenUp were taken up by their callers.
	Streams, TakenUp int
	// WentOn of these went on at their build; Joined at another one; Unknown were refused since the build was not known;
	// Gone were refused since no engine of it serves any more.
	WentOn, Joined, Unknown, Gone int
	// Messages counts the calls between nodes, and StoreReads those to the platform's store.
	Messages, StoreReads int
	// FirstEvent is the mean time by which the first event is delayed, and TakeUp that of a request that takes a stream
	// up.
	FirstEvent, TakeUp time.Duration
}

// PerStream returns the messages for each stream that began.
func (r *Result) PerStream() float64 { return float64(r.Messages) / float64(max(1, r.Streams)) }

// String returns the result as a row of a table.
func (r *Result) String() string {
	return fmt.Sprintf("| %d | %s | %s | %s | %d | %d | %d | %d | %d | %.2f | %d | %.1f | %.1f |", r.Load.Nodes, r.Load.Name, r.Load.Fault, r.Design,
		r.TakenUp, r.WentOn, r.Joined, r.Unknown, r.Gone, r.PerStream(), r.StoreReads, r.FirstEvent.Seconds()*1000, r.TakeUp.Seconds()*1000)
}

// Header is the head of the table of results.
const Header = `| nodes | versions | fault | design | taken up | went on | joined | unknown | no engine | messages a stream | store reads | first event, ms | taking up, ms |
|---|---|---|---|---|---|---|---|---|---|---|---|---|`
