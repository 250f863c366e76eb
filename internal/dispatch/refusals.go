package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Bounds of the memory of refusals.
const (
	// transitLimit bounds how long a request can be on its way from the entry gateway: a link whose peer is silent
	// for that long is closed.
	maxTransitTime = structs.LostAfter
	// refusalRetention is how long a refusal is kept. It covers the longest time for which an entry gateway presents
	// a request again.
	refusalRetention = structs.DefaultMaxDeadline + 10*time.Second
	// maxRefusals bounds the memory of refusals, which takes about 100 bytes each; the oldest go first.
	maxRefusals = 200_000
)

// refusals keeps refusals as not run true. A caller that resubmits can have two requests with one key under way. If
// the later one is refused, the earlier one must not run afterwards, or the refusal was false. A request that may have
// been taken in before the refusal of its key therefore gets the same refusal.
type refusals struct {
	byKey map[structs.KeyHash]refusalRecord
	order []refusedKey
}

type refusalRecord struct {
	at      time.Duration
	problem *structs.Problem
}

type refusedKey struct {
	key structs.KeyHash
	at  time.Duration
}

// note remembers a refusal as not run.
func (r *refusals) add(now time.Duration, key structs.KeyHash, problem *structs.Problem) {
	if problem.Outcome != structs.OutcomeNotRun {
		return
	}
	r.byKey[key] = refusalRecord{at: now, problem: problem}
	r.order = append(r.order, refusedKey{key: key, at: now})
	if len(r.order) > maxRefusals {
		r.dropOldest()
	}
}

// repeat returns the earlier refusal of a key if the request may have been taken in before it, or nil. A caller that
// submits again sooner than transitLimit after a refusal cannot be told from a late message and is refused as well.
func (r *refusals) find(now time.Duration, in Submit) *structs.Problem {
	earlier, ok := r.byKey[in.Submission.Job.Key]
	if !ok || now-in.Age-maxTransitTime >= earlier.at {
		return nil
	}
	problem := *earlier.problem
	problem.RetryAfter = max(problem.RetryAfter, earlier.at+maxTransitTime-now)
	return &problem
}

// forget drops refusals after their retention.
func (r *refusals) removeExpired(now time.Duration) {
	for len(r.order) > 0 && now >= r.order[0].at+refusalRetention {
		r.dropOldest()
	}
}

func (r *refusals) dropOldest() {
	oldest := r.order[0]
	r.order = r.order[1:]
	if r.byKey[oldest.key].at == oldest.at {
		delete(r.byKey, oldest.key)
	}
}
