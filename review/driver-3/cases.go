package main

import (
	"context"
	"fmt"
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
	"cancel": {cancelSite, cancelWhileFrozen},
	"term":   {smallSite, waitingAtTerm},
	"room":   {unguardedSite, roomAfterRestart},
}

const (
	cancelMs = 3000 * time.Millisecond
	frozenS  = 3500 * time.Millisecond
)

// cancelSite is the small site with 12 sides instead of 11.
func cancelSite() site {
	s := smallSite()
	s.sides = []int{5, 4, 3}
	return s
}

// cancelWhileFrozen: clients hand jobs in at one front and cancel them at another one while the first is frozen.
func cancelWhileFrozen(w *world, trouble bool) error {
	const rounds, jobs = 22, 64
	a, b := w.fronts[0], w.fronts[1]
	var mu sync.Mutex
	acked := map[string]time.Time{}
	var clients sync.WaitGroup
	for round := range rounds {
		w.note("round %d", round+1)
		var ids []string
		for range jobs {
			j := w.newJob(7*time.Second, step{Count: 1, CPU: 1000, MemMb: 64})
			ids = append(ids, j.id)
			clients.Go(func() { w.call(context.Background(), a, "POST", j.id, j.body, 20*time.Second) })
		}
		time.Sleep(200 * time.Millisecond)
		frozenAt := time.Now()
		if trouble {
			w.signal(&a.process, syscall.SIGSTOP)
		}
		time.Sleep(50 * time.Millisecond)
		for _, id := range ids {
			clients.Go(func() {
				if r := w.call(context.Background(), b, "DELETE", id, nil, 4*time.Second); r.status/100 == 2 || r.status == 410 {
					mu.Lock()
					acked[id] = r.at
					mu.Unlock()
				}
			})
			time.Sleep(3 * time.Millisecond)
		}
		time.Sleep(time.Until(frozenAt.Add(frozenS)))
		if trouble {
			w.signal(&a.process, syscall.SIGCONT)
		}
		time.Sleep(450 * time.Millisecond)
		mu.Lock()
		for _, id := range ids {
			at, ok := acked[id]
			if !ok {
				continue
			}
			for _, s := range w.startsOf(id, at.Add(cancelMs)) {
				w.breach("UNASKED: %s started at %s %.3f s after the cancelling of its job was acknowledged", s.task, s.minion, s.at.Sub(at).Seconds())
			}
		}
		missing := len(ids)
		for _, id := range ids {
			if _, ok := acked[id]; ok {
				missing--
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
	}
	return nil
}
