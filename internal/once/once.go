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

// Bounds of once-only runs.
const (
	// answerBytes bounds the answers that a node keeps for repeats.
	answerBytes = 32 << 20
	// claimTimeout is the longest wait for the log to decide a claim.
	claimTimeout = 5 * time.Second
	// claimShare is the part, in hundredths, of the time left that a claim may
	// take: the refusal that it did not run must reach the caller in time.
	claimShare = 80
	// runGrace is how long a run may outlast its caller's deadline.
	runGrace = time.Minute
)

// Decider is what claims are made through.
type Decider interface {
	Propose(ctx context.Context, r *pb.Record, late func(ledger.Outcome)) (ledger.Outcome, error)
	Submit(r *pb.Record)
	Claim(ctx context.Context, id ledger.ClaimID) (claim *ledger.Claim, ownerAlive bool)
	FetchAnswer(ctx context.Context, owner ledger.NodeRef, f *pb.AnswerFetch) *pb.Answer
}

// Run sends the request to its endpoint. An error that is a refusal with NotRun
// means that nothing was sent.
type Run func(ctx context.Context) (*Answer, error)

// Coordinator runs once-only requests. It is safe for concurrent use.
type Coordinator struct {
	clock   clockwork.Clock
	logger  hclog.Logger
	decider Decider
	store   *store
}

// New returns a coordinator.
func New(clock clockwork.Clock, logger hclog.Logger, d Decider) *Coordinator {
	return &Coordinator{clock: clock, logger: logger, decider: d, store: newStore(answerBytes)}
}

// Do returns the answer to the request with a key, running it if it is the
// first with that key anywhere.
func (c *Coordinator) Do(ctx context.Context, key oncekey.Key, digest [32]byte, deadline time.Time, exec Run) (*Answer, error) {
	r, isNew := c.store.begin(key.ID, digest)
	if isNew {
		go c.claimAndRun(context.WithoutCancel(ctx), r, key, deadline, exec)
	} else if r.digest != digest {
		return nil, refusal.New(refusal.KeyReused, "the key came with a different request before")
	}
	return c.await(ctx, r, deadline)
}

// await waits for a run to end.
func (c *Coordinator) await(ctx context.Context, r *run, deadline time.Time) (*Answer, error) {
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

// claimAndRun claims the key and runs the request, or finds out who did.
func (c *Coordinator) claimAndRun(ctx context.Context, r *run, key oncekey.Key, deadline time.Time, exec Run) {
	wait := min(claimTimeout, deadline.Sub(c.clock.Now())*claimShare/100)
	claimCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	o, err := c.decider.Propose(claimCtx, claimRecord(key), func(late ledger.Outcome) {
		// Nobody waits any more and nothing was sent: the key is free again.
		if late.OK() {
			c.decider.Submit(releaseRecord(key.ID))
		}
	})
	switch {
	case err != nil:
		c.refuse(r, refusal.New(refusal.LogUnavailable, "the claim was not decided within %s", wait.Round(time.Millisecond)))
	case o.OK():
		c.run(ctx, r, deadline, exec)
	case o.Reason == ledger.KeyTaken:
		answer, err := c.elsewhere(ctx, r, o.Claim, deadline)
		c.store.end(r, answer, refusalOf(err), false)
	case o.Reason == ledger.KeyExpired:
		c.refuse(r, refusal.New(refusal.KeyExpired, "the key is older than %s", ledger.ClaimWindow))
	default:
		c.refuse(r, refusal.New(refusal.KeyInvalid, "the claim was rejected: %s", o.Reason))
	}
}

func (c *Coordinator) refuse(r *run, e *refusal.Error) { c.store.end(r, nil, e, false) }

// run sends the claimed request. The claim is released only when it is certain
// that nothing was sent.
func (c *Coordinator) run(ctx context.Context, r *run, deadline time.Time, exec Run) {
	runCtx, cancel := context.WithTimeout(ctx, deadline.Sub(c.clock.Now())+runGrace)
	defer cancel()
	answer, err := exec(runCtx)
	if err == nil {
		c.decider.Submit(doneRecord(r.id, true, answer.Status))
		c.store.end(r, answer, nil, true)
		return
	}
	e := refusalOf(err)
	if e.NotRun() {
		c.decider.Submit(releaseRecord(r.id))
		c.store.end(r, nil, e, false)
		return
	}
	c.logger.Warn("nobody can know whether a once-only request ran", "cause", e.Error())
	c.decider.Submit(doneRecord(r.id, false, 0))
	c.store.end(r, nil, refusal.New(refusal.OutcomeUnknown, "%s", e.Detail), true)
}

func refusalOf(err error) *refusal.Error {
	if err == nil {
		return nil
	}
	return refusal.As(err)
}

// elsewhere returns the answer of the node that holds the claim, or says
// truthfully what is known.
func (c *Coordinator) elsewhere(ctx context.Context, r *run, claim *ledger.Claim, deadline time.Time) (*Answer, error) {
	for {
		left := deadline.Sub(c.clock.Now())
		if left <= 0 {
			return nil, refusal.New(refusal.StillRunning, "another node runs the request")
		}
		a := c.decider.FetchAnswer(ctx, claim.Owner, &pb.AnswerFetch{Id: r.id[:], WaitMs: left.Milliseconds(), Digest: r.digest[:]})
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
		if err := c.verdict(ctx, r.id, time.UnixMilli(claim.KeyTime)); err != nil {
			return nil, err
		}
		// The owner lives but could not be asked; it is asked again.
		c.clock.Sleep(min(left, askAgain))
	}
}

// askAgain is the pause before a silent owner is asked again.
const askAgain = 200 * time.Millisecond

// verdict says what the ledger knows of a claim whose owner gave no answer; nil
// while the owner may still run it.
func (c *Coordinator) verdict(ctx context.Context, id ledger.ClaimID, keyTime time.Time) error {
	claim, alive := c.decider.Claim(ctx, id)
	switch {
	case claim == nil && c.clock.Now().Sub(keyTime) < ledger.ClaimWindow/2:
		return refusal.New(refusal.NoEndpoint, "the node that had claimed the key gave it back; nothing was sent")
	case claim == nil:
		// A claim this old may have been forgotten instead of given back.
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

// Fetch answers a peer that asks for the answer to a request claimed here.
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
