package modelcheck

import (
	"fmt"
	"strings"

	"olivetiller/core/ledger"
	"olivetiller/internal/explore"
	pb "olivetiller/proto/olivetiller/v1"
)

// ClaimGuards are the guards of the claim protocol.
type ClaimGuards struct {
	// FoldOff are the fold's guards that are switched off.
	FoldOff ledger.Guard
	// NoReadBack dispatches before the claim was read back.
	NoReadBack bool
	// ReleaseAfterSend releases a claim though the request may have been sent.
	ReleaseAfterSend bool
}

// claimant is one node that was sent the request.
type claimant struct {
	folded int
	// asked, won, sent, ended are the steps of its run in order.
	asked, won, sent, ended bool
	// toldNotRun is what its caller was told.
	toldNotRun bool
	dead       bool
}

// claimWorld is one state of the model.
type claimWorld struct {
	log   string // "kind node" lines; kind is claim, release or done
	nodes [2]claimant
	// runs counts the runs at the service, by node.
	runs [2]int
	// repeats counts the appends repeated after a lost answer.
	repeats int
}

const maxRepeats = 2

// Claims returns the model: two nodes are sent the same once-only request.
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

// sequenceOf gives each kind of a node's record its place in the node's order,
// so that a repeated append carries the same sequence.
var sequenceOf = map[string]uint64{"claim": 1, "release": 2, "done": 2}

// fold returns the outcomes of the first n records.
func (m *claimModel) fold(log string, n int) (*ledger.State, []ledger.Outcome) {
	s := ledger.NewState()
	s.Off = m.guards.FoldOff
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
			m.steps(w, i, add)
		}
		m.repeats(w, i, add)
	}
	return out
}

// repeats returns the repeats of a node's appends, which surface at any time.
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

func (m *claimModel) steps(w claimWorld, i int, add func(string, claimWorld)) {
	n := &w.nodes[i]
	put := func(name string, edit func(*claimWorld, *claimant)) {
		to := w
		edit(&to, &to.nodes[i])
		add(fmt.Sprintf("%d %s", i, name), to)
	}
	if !n.asked {
		put("proposes its claim", func(w *claimWorld, n *claimant) {
			n.asked = true
			w.log += fmt.Sprintf("claim %d\n", i)
		})
		return
	}
	put("dies", func(_ *claimWorld, n *claimant) { n.dead = true })
	if n.folded < count(w.log) {
		put("folds", func(w *claimWorld, n *claimant) { m.foldOne(w, i) })
	}
	mayGiveUp := !n.sent || m.guards.ReleaseAfterSend
	if n.won && !n.ended && mayGiveUp {
		put("gives up and releases", func(w *claimWorld, n *claimant) {
			n.ended, n.toldNotRun = true, true
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

// foldOne folds one record at a node and acts on the outcome of its own claim.
func (m *claimModel) foldOne(w *claimWorld, i int) {
	n := &w.nodes[i]
	n.folded++
	_, outcomes := m.fold(w.log, n.folded)
	o := outcomes[n.folded-1]
	if o.Record.GetNode() != fmt.Sprint(i) || o.Record.GetClaim() == nil || o.Reason == ledger.Repeated || n.won || n.ended {
		return
	}
	if o.OK() {
		n.won = true
		return
	}
	n.ended = true
}

// check says what is wrong with a world: a request that ran twice, or one
// refused as not run that its node did send.
func (m *claimModel) check(w claimWorld) error {
	if w.runs[0]+w.runs[1] > 1 {
		return fmt.Errorf("the request ran %d times", w.runs[0]+w.runs[1])
	}
	for i, n := range w.nodes {
		if n.toldNotRun && w.runs[i] > 0 {
			return fmt.Errorf("node %d said not run of a request that it sent", i)
		}
	}
	return nil
}
