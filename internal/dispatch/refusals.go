package dispatch

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Limits of the stored refusals.
const (
	// maxTransitTime is the longest time that a request can take from the entry gateway to this pool: a link on which
	// nothing arrives for that long is closed.
	maxTransitTime = structs.LostAfter
	// refusalRetention is how long a refusal is kept. It covers the longest time during which an entry gateway sends
	// a request again.
	refusalRetention = structs.DefaultMaxDeadline + 10*time.Second
	// maxRefusals bounds the number of stored refusals, each of which takes about 100 bytes. The oldest are dropped
	// first.
	maxRefusals = 200_000
)

// refusals remembers refusals with outcome not_run, so that they stay true. A caller that resubmits can have two
// requests with the same key under way. If the later one is refused as not_run, the earlier one must not run when it
// arrives afterwards. Therefore a request that may have reached its entry gateway before the refusal of its key gets
// the same refusal.
type refusals struct {
	byKey map[structs.KeyHash]refusalRecord
	// order lists the refusals from the oldest to the newest. A key that was refused several times occurs several
	// times.
	order []refusedKey
}

// refusalRecord is the last refusal of a key.
type refusalRecord struct {
	at      time.Duration
	problem *structs.Problem
}

// refusedKey is the key and time of a refusal.
type refusedKey struct {
	key structs.KeyHash
	at  time.Duration
}

// add stores a refusal if its outcome is not_run.
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

// find returns the stored refusal of the request's key if the request may have reached its entry gateway before that
// refusal, otherwise nil. A request that a caller submits again within maxTransitTime after a refusal cannot be
// distinguished from such a late one and is refused as well.
func (r *refusals) find(now time.Duration, in Submit) *structs.Problem {
	earlier, ok := r.byKey[in.Submission.Job.Key]
	if !ok || now-in.Age-maxTransitTime >= earlier.at {
		return nil
	}
	problem := *earlier.problem
	problem.RetryAfter = max(problem.RetryAfter, earlier.at+maxTransitTime-now)
	return &problem
}

// removeExpired removes refusals after refusalRetention.
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
