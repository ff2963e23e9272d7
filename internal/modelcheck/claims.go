package modelcheck

import (
	"fmt"
	"strings"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// ClaimGuards selects the guards of the claim protocol that a model runs without. The zero value
// keeps all of them.
type ClaimGuards struct {
	// DisabledGuards are the guards of the ledger that are switched off.
	DisabledGuards ledger.Guard
	// NoReadBack lets a node send the request to the service before it has read its own claim back
	// from the log.
	NoReadBack bool
	// ReleaseAfterSend lets a node release its claim although it has already sent the request to
	// the service.
	ReleaseAfterSend bool
}

// claimant is a node that received the once-only request from a caller.
type claimant struct {
	// applied is the number of log records that the node has applied.
	applied int
	// proposed, won, sent and ended are the steps of the request on this node, in this order: its
	// claim is appended, the claim is accepted, the request is sent to the service, and the node is
	// done with it.
	proposed, won, sent, ended bool
	// reportedNotRun is set when the node answered its caller that the request did not run.
	reportedNotRun bool
	dead           bool
}

// claimWorld is one state of the model.
type claimWorld struct {
	log   string // one "kind node" line per record; kind is claim, release or done
	nodes [2]claimant
	// runs counts how often the service ran the request, by the node that sent it.
	runs [2]int
	// repeats counts the duplicated appends, as a retry after a lost answer makes them.
	repeats int
}

// maxRepeats bounds the duplicated appends in one history.
const maxRepeats = 2

// Claims returns the model in which two nodes receive the same once-only request.
func Claims(g ClaimGuards) explore.Model[claimWorld] {
	m := &claimModel{guards: g}
	return explore.Model[claimWorld]{
		Next: m.next, Check: m.check, MaxStates: 2_000_000,
		Key: func(w claimWorld) string { return fmt.Sprintf("%v", w) },
	}
}

type claimModel struct {
	guards ClaimGuards
}

// sequenceOf maps the kind of a record to its sequence number among the records of its node. A
// duplicated append carries the same number, by which the ledger recognizes it.
var sequenceOf = map[string]uint64{"claim": 1, "release": 2, "done": 2}

// replay applies the first n records of a log and returns the state and the outcome of each record.
func (m *claimModel) replay(log string, n int) (*ledger.State, []ledger.Outcome) {
	s := ledger.NewState()
	s.DisabledGuards = m.guards.DisabledGuards
	var outcomes []ledger.Outcome
	id := make([]byte, len(ledger.ClaimID{}))
	for i, line := range strings.SplitN(log, "\n", n+1)[:n] {
		var kind string
		var node int
		_, _ = fmt.Sscan(line, &kind, &node)
		r := &pb.Record{Node: fmt.Sprint(node), Incarnation: 1, Sequence: sequenceOf[kind]}
		switch kind {
		case "claim":
			r.Body = &pb.Record_Claim{Claim: &pb.Claim{Id: id}}
		case "release":
			r.Body = &pb.Record_ClaimRelease{ClaimRelease: &pb.ClaimRelease{Id: id}}
		case "done":
			r.Body = &pb.Record_ClaimDone{ClaimDone: &pb.ClaimDone{Id: id, Ran: true}}
		}
		outcomes = append(outcomes, s.Apply(uint64(i), r))
	}
	return s, outcomes
}

func (m *claimModel) next(w claimWorld) []explore.Step[claimWorld] {
	var out []explore.Step[claimWorld]
	add := func(name string, to claimWorld) { out = append(out, explore.Step[claimWorld]{Name: name, To: to}) }
	for i := range w.nodes {
		if !w.nodes[i].dead {
			m.nodeSteps(w, i, add)
		}
		m.repeats(w, i, add)
	}
	return out
}

// repeats returns the steps in which an append of node i appears in the log a second time; this can
// happen at any later moment.
func (m *claimModel) repeats(w claimWorld, i int, add func(string, claimWorld)) {
	if w.repeats >= maxRepeats {
		return
	}
	for _, kind := range []string{"claim", "release"} {
		line := fmt.Sprintf("%s %d\n", kind, i)
		if strings.Contains(w.log, line) {
			to := w
			to.log += line
			to.repeats++
			add(fmt.Sprintf("%s of %d surfaces again", kind, i), to)
		}
	}
}

// nodeSteps adds the steps that node i can take in world w.
func (m *claimModel) nodeSteps(w claimWorld, i int, add func(string, claimWorld)) {
	n := &w.nodes[i]
	put := func(name string, edit func(*claimWorld, *claimant)) {
		to := w
		edit(&to, &to.nodes[i])
		add(fmt.Sprintf("%d %s", i, name), to)
	}
	if !n.proposed {
		put("proposes its claim", func(w *claimWorld, n *claimant) {
			n.proposed = true
			w.log += fmt.Sprintf("claim %d\n", i)
		})
		return
	}
	put("dies", func(_ *claimWorld, n *claimant) { n.dead = true })
	if n.applied < countRecords(w.log) {
		put("folds", func(w *claimWorld, n *claimant) { m.applyNext(w, i) })
	}
	mayRelease := !n.sent || m.guards.ReleaseAfterSend
	if n.won && !n.ended && mayRelease {
		put("gives up and releases", func(w *claimWorld, n *claimant) {
			n.ended, n.reportedNotRun = true, true
			w.log += fmt.Sprintf("release %d\n", i)
		})
	}
	if (n.won || m.guards.NoReadBack) && !n.sent && !n.ended {
		put("sends, and it runs", func(w *claimWorld, n *claimant) {
			n.sent = true
			w.runs[i]++
		})
	}
	if n.sent && !n.ended {
		put("reports its answer", func(w *claimWorld, n *claimant) {
			n.ended = true
			w.log += fmt.Sprintf("done %d\n", i)
		})
	}
}

// applyNext applies the next record at node i. If it is the outcome of the node's own claim, the
// node has won the request or is done with it.
func (m *claimModel) applyNext(w *claimWorld, i int) {
	n := &w.nodes[i]
	n.applied++
	_, outcomes := m.replay(w.log, n.applied)
	o := outcomes[n.applied-1]
	if o.Record.GetNode() != fmt.Sprint(i) || o.Record.GetClaim() == nil || o.Reason == ledger.Repeated || n.won || n.ended {
		return
	}
	if o.OK() {
		n.won = true
		return
	}
	n.ended = true
}

// check returns an error if the request ran twice, or if a node that sent the request reported it
// as not run.
func (m *claimModel) check(w claimWorld) error {
	if w.runs[0]+w.runs[1] > 1 {
		return fmt.Errorf("the once-only request ran %d times", w.runs[0]+w.runs[1])
	}
	for i, n := range w.nodes {
		if n.reportedNotRun && w.runs[i] > 0 {
			return fmt.Errorf("node %d reported the request as not run although it sent it", i)
		}
	}
	return nil
}
