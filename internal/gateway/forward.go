package gateway

import (
	"context"
	"errors"
	"time"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of requests to owners.
const (
	// ownerSearchTimeout limits the search for an owner by requests other than submissions. A takeover takes 3 to 5 s.
	ownerSearchTimeout = 8 * time.Second
	// retryPause is the pause before a request is sent again after its owner was lost.
	retryPause = 50 * time.Millisecond
	// noOwnerPause is the pause while no owner is known or linked. A change of ownership ends the pause early, so that
	// thousands of waiting submissions need not poll often.
	noOwnerPause = 250 * time.Millisecond
	// suspendedRetryPeriod is how long a submission is sent again to a suspended owner. In that time another gateway
	// may take the pool over.
	suspendedRetryPeriod = 5 * time.Second
)

// target identifies the owner and the epoch to which a request was sent.
type target struct {
	owner structs.GatewayRef
	epoch structs.Epoch
}

// serveForward is the entry point of the owner side for requests from this and other gateways.
func (g *Gateway) serveForward(q *request) {
	r := g.pools.runner(q.Pool)
	if r == nil {
		q.refuse(misdirected(structs.OutcomeNotRun, "this gateway does not own the pool"))
		return
	}
	r.enqueue(q)
}

// sendToOwner sends a request once to the owner of its pool and waits for the reply. It returns errNoOwner if nothing
// was sent, and errReplyLost if the outcome is unknown. The target is set only if the request was sent.
func (g *Gateway) sendToOwner(ctx context.Context, f structs.Forward) (*structs.ForwardReply, target, error) {
	owner, epoch, known := g.pools.owner(f.Pool)
	if !known {
		return nil, target{}, errNoOwner
	}
	to := target{owner: owner, epoch: epoch}
	if owner == g.self {
		reply, err := g.sendToLocalRunner(ctx, f)
		return reply, to, err
	}
	out := g.peers.outboundTo(owner)
	if out == nil {
		return nil, target{}, errNoOwner
	}
	reply, err := out.call(ctx, f)
	if errors.Is(err, errNoOwner) {
		return nil, target{}, err
	}
	return reply, to, err
}

// sendToLocalRunner passes a request to a runner of this gateway. A runner answers every request, so only the end of
// the context cuts the wait short.
func (g *Gateway) sendToLocalRunner(ctx context.Context, f structs.Forward) (*structs.ForwardReply, error) {
	replies := make(chan *structs.ForwardReply, 1)
	g.serveForward(&request{Forward: f, reply: func(_ link.Class, r *structs.ForwardReply) { replies <- r }})
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return nil, errReplyLost
	}
}

// retryAfter returns the pause before a request should be sent again, and false if the reply is final.
func retryAfter(reply *structs.ForwardReply, err error) (time.Duration, bool) {
	if errors.Is(err, errNoOwner) {
		return noOwnerPause, true
	}
	if err != nil {
		return retryPause, true
	}
	p := reply.Problem
	if p == nil || (!isMisdirected(p) && p.Code != structs.CodeOwnerLost) {
		return 0, false
	}
	if p.RetryAfter > 0 {
		return p.RetryAfter, true
	}
	return retryPause, true
}

// awaitOwnershipChange waits until the pause is over or the ownership of a pool changes. It returns false if the
// context has ended.
func (g *Gateway) awaitOwnershipChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		// Many requests wait for the same change; a short pause gives the link to the new owner time to open.
		return ctxtime.Sleep(ctx, retryPause/10)
	case <-timer.C:
		return true
	}
}

// askOwner sends an idempotent request (fetch, status, cancel, tickets) until an owner answers. If none is found in
// time, the returned problem leaves open whether the job has run.
func (g *Gateway) askOwner(ctx context.Context, f structs.Forward) (*structs.ForwardReply, *structs.Problem) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+ownerSearchTimeout)
	defer cancel()
	until := time.Now().Add(f.Wait)
	for {
		changed := g.pools.ownershipChange()
		reply, _, err := g.sendToOwner(ctx, f)
		pause, again := retryAfter(reply, err)
		if !again {
			return reply, reply.Problem
		}
		if !g.awaitOwnershipChange(ctx, changed, pause) {
			return nil, ownerUnavailable(structs.OutcomeMayHaveRun)
		}
		f.Wait = max(0, min(f.Wait, time.Until(until)))
	}
}

// ownerUnavailable returns the problem for a pool without a reachable owner.
func ownerUnavailable(outcome structs.Outcome) *structs.Problem {
	return &structs.Problem{
		Code: structs.CodeUnavailable, Outcome: outcome, RetryAfter: time.Second,
		Detail: "the gateway that owns the pool of this job is not reachable; ask or submit again with the same key",
	}
}
