package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// playedCase is a case of the review.
type playedCase struct {
	site func() site
	run  func(w *world, trouble bool) error
}

var cases = map[string]playedCase{
	"cancel": {smallSite, cancelWhileFrozen},
	"room":   {unguardedSite, roomAfterRestart},
}

const cancelMs = 3000 * time.Millisecond

// cancelWhileFrozen: clients hand jobs in at one front and cancel them at another one while the first is frozen. Other jobs come at all
// fronts all the time.
func cancelWhileFrozen(w *world, trouble bool) error {
	const rounds, jobs, shortest, longest = 20, 16, 3180, 3280
	a, b := w.fronts[0], w.fronts[1]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.load(ctx, 30*time.Millisecond, 300*time.Millisecond, 1, 1000, w.fronts)
	time.Sleep(time.Second)
	var mu sync.Mutex
	acked := map[string]time.Time{}
	var clients sync.WaitGroup
	for round := range rounds {
		w.note("round %d", round+1)
		var ids []string
		for range jobs {
			j := w.newJob(7*time.Second, step{Count: 2, CPU: 1000, MemMb: 64})
			ids = append(ids, j.id)
			clients.Go(func() { w.call(context.Background(), a, "POST", j.id, j.body, 20*time.Second) })
			time.Sleep(20 * time.Millisecond)
		}
		frozen := time.Duration(shortest+rand.IntN(longest-shortest)) * time.Millisecond
		frozenAt := time.Now()
		if trouble {
			w.signal(&a.process, syscall.SIGSTOP)
		}
		time.Sleep(10 * time.Millisecond)
		for _, id := range ids {
			clients.Go(func() {
				if r := w.call(context.Background(), b, "DELETE", id, nil, 4*time.Second); r.status/100 == 2 || r.status == 410 {
					mu.Lock()
					acked[id] = r.at
					mu.Unlock()
				}
			})
			time.Sleep(8 * time.Millisecond)
		}
		time.Sleep(time.Until(frozenAt.Add(frozen)))
		if trouble {
			w.signal(&a.process, syscall.SIGCONT)
		}
		time.Sleep(600 * time.Millisecond)
		mu.Lock()
		missing := len(ids)
		for _, id := range ids {
			at, ok := acked[id]
			if !ok {
				continue
			}
			missing--
			for _, s := range w.startsOf(id, at.Add(cancelMs)) {
				w.breach("UNASKED: %s started at %s %.3f s after the cancelling of its job was acknowledged", s.task, s.minion, s.at.Sub(at).Seconds())
			}
		}
		mu.Unlock()
		if missing > 0 {
			w.note("%d cancels of this round were not acknowledged", missing)
		}
		if missing == len(ids) {
			return fmt.Errorf("no cancel was acknowledged")
		}
		if len(w.broken) > 0 {
			return nil
		}
		time.Sleep(700 * time.Millisecond)
	}
	return nil
}
