package once

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"olivetiller/core/ledger"
	"olivetiller/core/oncekey"
	"olivetiller/core/refusal"
	pb "olivetiller/proto/olivetiller/v1"
)

// Limits and timeouts of once-only requests.
const (
	// maxAnswerBytes bounds the answers that a node keeps for repeated requests.
	maxAnswerBytes = 32 << 20
	// claimTimeout bounds the wait for the log to decide a claim.
	claimTimeout = 5 * time.Second
	// claimPercent is the percentage of the time until the caller's deadline that a
	// claim may take. The rest is needed for the refusal, which states that the
	// request did not run, to reach the caller in time.
	claimPercent = 80
	// runGrace is how long a run may continue after its caller's deadline.
	runGrace = time.Minute
)

// Ledger is the access of a coordinator to the log, the decided claims and the
// peers. The controller of the node implements it.
type Ledger interface {
	// Propose appends a record to the log and waits for its outcome. If ctx ends
	// first, it returns an error and calls late with the outcome if there is one.
	Propose(ctx context.Context, r *pb.Record, late func(ledger.Outcome)) (ledger.Outcome, error)
	// Submit appends a record without waiting for its outcome.
	Submit(r *pb.Record)
	// Claim returns a claim, or nil if there is none, and whether its owner counts as
	// alive.
	Claim(ctx context.Context, id ledger.ClaimID) (claim *ledger.Claim, ownerAlive bool)
	// FetchAnswer requests the answer to a once-only request from the owner of its
	// claim; nil if the owner cannot be reached.
	FetchAnswer(ctx context.Context, owner ledger.NodeRef, f *pb.AnswerFetch) *pb.Answer
}

// Exec sends a request to its endpoint and returns the complete answer. An error
// that is a refusal with NotRun means that nothing was sent.
type Exec func(ctx context.Context) (*Answer, error)

// Coordinator runs the once-only requests of one node. It is safe for concurrent
// use.
type Coordinator struct {
	clock  clockwork.Clock
	logger hclog.Logger
	ledger Ledger
	store  *runStore
}

// New returns a coordinator without runs, which makes its claims through d.
func New(clock clockwork.Clock, logger hclog.Logger, d Ledger) *Coordinator {
	return &Coordinator{clock: clock, logger: logger, ledger: d, store: newStore(maxAnswerBytes)}
}

// Do returns the answer to the request with a key. It calls exec if no node has
// claimed the key before, and otherwise returns the answer of the earlier run.
// digest is the digest of the request: Do refuses a key that came with another
// request before. Errors are refusals; after deadline, StillRunning.
func (c *Coordinator) Do(ctx context.Context, key oncekey.Key, digest [32]byte, deadline time.Time, exec Exec) (*Answer, error) {
	r, isNew := c.store.begin(key.ID, digest)
	if isNew {
		go c.claimAndRun(context.WithoutCancel(ctx), r, key, deadline, exec)
	} else if r.digest != digest {
		return nil, refusal.New(refusal.KeyReused, "the key came with a different request before")
	}
	return c.await(ctx, r, deadline)
}

// await waits until a run ends, the deadline passes or the context ends.
func (c *Coordinator) await(ctx context.Context, r *onceRun, deadline time.Time) (*Answer, error) {
	timer := c.clock.NewTimer(deadline.Sub(c.clock.Now()))
	defer timer.Stop()
	select {
	case <-r.done:
		if r.refused != nil {
			return nil, r.refused
		}
		return r.answer, nil
	case <-ctx.Done():
	case <-timer.Chan():
	}
	return nil, refusal.New(refusal.StillRunning, "the request has not ended yet")
}

// claimAndRun claims the key and runs the request. If the key is claimed already, it
// gets the answer from the owner of the claim.
func (c *Coordinator) claimAndRun(ctx context.Context, r *onceRun, key oncekey.Key, deadline time.Time, exec Exec) {
	wait := min(claimTimeout, deadline.Sub(c.clock.Now())*claimPercent/100)
	claimCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o, err := c.ledger.Propose(claimCtx, claimRecord(key), func(late ledger.Outcome) {
		// The claim was accepted after the timeout. Nothing was sent, so the key is
		// released.
		if late.OK() {
			c.ledger.Submit(releaseRecord(key.ID))
		}
	})
	switch {
	case err != nil:
		c.endRefused(r, refusal.New(refusal.LogUnavailable, "the claim was not decided within %s", wait.Round(time.Millisecond)))
	case o.OK():
		c.run(ctx, r, deadline, exec)
	case o.Reason == ledger.KeyTaken:
		answer, err := c.fetchFromOwner(ctx, r, o.Claim, deadline)
		c.store.end(r, answer, refusalOf(err), false)
	case o.Reason == ledger.KeyExpired:
		c.endRefused(r, refusal.New(refusal.KeyExpired, "the key is older than %s", ledger.ClaimWindow))
	default:
		c.endRefused(r, refusal.New(refusal.KeyInvalid, "the claim was rejected: %s", o.Reason))
	}
}

func (c *Coordinator) endRefused(r *onceRun, e *refusal.Error) { c.store.end(r, nil, e, false) }

// run sends the claimed request and records the outcome in the claim. It releases
// the claim only if it is certain that nothing was sent.
func (c *Coordinator) run(ctx context.Context, r *onceRun, deadline time.Time, exec Exec) {
	runCtx, cancel := context.WithTimeout(ctx, deadline.Sub(c.clock.Now())+runGrace)
	defer cancel()
	answer, err := exec(runCtx)
	if err == nil {
		c.ledger.Submit(doneRecord(r.id, true, answer.Status))
		c.store.end(r, answer, nil, true)
		return
	}
	e := refusalOf(err)
	if e.NotRun() {
		c.ledger.Submit(releaseRecord(r.id))
		c.store.end(r, nil, e, false)
		return
	}
	c.logger.Warn("outcome of a once-only request is unknown", "cause", e.Error())
	c.ledger.Submit(doneRecord(r.id, false, 0))
	c.store.end(r, nil, refusal.New(refusal.OutcomeUnknown, "%s", e.Detail), true)
}

func refusalOf(err error) *refusal.Error {
	if err == nil {
		return nil
	}
	return refusal.As(err)
}

// fetchFromOwner returns the answer from the owner of the claim. If the owner does
// not answer, it returns a refusal that states what the claim's phase shows about
// the run.
func (c *Coordinator) fetchFromOwner(ctx context.Context, r *onceRun, claim *ledger.Claim, deadline time.Time) (*Answer, error) {
	for {
		left := deadline.Sub(c.clock.Now())
		if left <= 0 {
			return nil, refusal.New(refusal.StillRunning, "another node runs the request")
		}
		a := c.ledger.FetchAnswer(ctx, claim.Owner, &pb.AnswerFetch{Id: r.id[:], WaitMs: left.Milliseconds(), Digest: r.digest[:]})
		switch a.GetState() {
		case pb.AnswerState_ANSWER_STATE_ANSWERED:
			return &Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}, nil
		case pb.AnswerState_ANSWER_STATE_REFUSED:
			return nil, &refusal.Error{Kind: refusal.Kind(a.GetRefusalKind()), Detail: a.GetRefusalDetail()}
		case pb.AnswerState_ANSWER_STATE_KEY_REUSED:
			return nil, refusal.New(refusal.KeyReused, "the key came with a different request before")
		case pb.AnswerState_ANSWER_STATE_RUNNING:
			return nil, refusal.New(refusal.StillRunning, "another node runs the request")
		}
		if err := c.claimError(ctx, r.id, time.UnixMilli(claim.KeyTime)); err != nil {
			return nil, err
		}
		// The owner is alive but did not answer; it is asked again.
		c.clock.Sleep(min(left, retryDelay))
	}
}

// retryDelay is the pause before an owner that did not answer is asked again.
const retryDelay = 200 * time.Millisecond

// claimError returns the refusal of a request whose claim's owner did not answer,
// by the phase of the claim. It returns nil while the owner is alive and may still
// run the request.
func (c *Coordinator) claimError(ctx context.Context, id ledger.ClaimID, keyTime time.Time) error {
	claim, alive := c.ledger.Claim(ctx, id)
	switch {
	case claim == nil && c.clock.Now().Sub(keyTime) < ledger.ClaimWindow/2:
		return refusal.New(refusal.NoEndpoint, "the node that had claimed the key gave it back; nothing was sent")
	case claim == nil:
		// A claim this old may have expired instead of being released, so the request
		// may have run.
		return refusal.New(refusal.OutcomeUnknown, "the claim of the key is no longer held")
	case claim.Phase == ledger.Answered:
		return refusal.New(refusal.AlreadyRan, "it was answered with status %d", claim.Status)
	case claim.Phase == ledger.Lost:
		return refusal.New(refusal.OutcomeUnknown, "the endpoint was sent the request and did not answer")
	case !alive:
		return refusal.New(refusal.OutcomeUnknown, "the node that claimed the key is gone")
	}
	return nil
}

// Fetch returns to a peer the answer to a request that this node claimed, or the
// state of its run. It waits for the run for up to the time that the peer sets.
func (c *Coordinator) Fetch(ctx context.Context, f *pb.AnswerFetch) *pb.Answer {
	var id ledger.ClaimID
	copy(id[:], f.GetId())
	r := c.store.find(id)
	if r == nil {
		return &pb.Answer{State: pb.AnswerState_ANSWER_STATE_UNKNOWN}
	}
	var digest [32]byte
	copy(digest[:], f.GetDigest())
	if digest != r.digest {
		return &pb.Answer{State: pb.AnswerState_ANSWER_STATE_KEY_REUSED}
	}
	a, err := c.await(ctx, r, c.clock.Now().Add(time.Duration(f.GetWaitMs())*time.Millisecond))
	var e *refusal.Error
	switch {
	case err == nil:
		return &pb.Answer{
			State: pb.AnswerState_ANSWER_STATE_ANSWERED, Status: uint32(a.Status),
			ContentType: a.ContentType, Body: a.Body,
		}
	case errors.As(err, &e) && e.Kind == refusal.StillRunning:
		return &pb.Answer{State: pb.AnswerState_ANSWER_STATE_RUNNING}
	}
	return &pb.Answer{State: pb.AnswerState_ANSWER_STATE_REFUSED, RefusalKind: string(e.Kind), RefusalDetail: e.Detail}
}

func claimRecord(key oncekey.Key) *pb.Record {
	return &pb.Record{Body: &pb.Record_Claim{Claim: &pb.Claim{Id: key.ID[:], KeyTimeUnixMs: key.Time.UnixMilli()}}}
}

func releaseRecord(id ledger.ClaimID) *pb.Record {
	return &pb.Record{Body: &pb.Record_ClaimRelease{ClaimRelease: &pb.ClaimRelease{Id: id[:]}}}
}

func doneRecord(id ledger.ClaimID, ran bool, status int) *pb.Record {
	return &pb.Record{Body: &pb.Record_ClaimDone{ClaimDone: &pb.ClaimDone{Id: id[:], Ran: ran, Status: uint32(status)}}}
}
