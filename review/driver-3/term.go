package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// waitingAtTerm: jobs wait at a front for room, and the front gets SIGTERM. The platform sends SIGKILL after graceS.
func waitingAtTerm(w *world, trouble bool) error {
	const rounds, waiting, grace, slack = 3, 6, 6 * time.Second, 200 * time.Millisecond
	for round := range rounds {
		a, b := w.fronts[round%len(w.fronts)], w.fronts[(round+1)%len(w.fronts)]
		var clients sync.WaitGroup
		for range w.sides {
			j := w.newJob(7*time.Second, step{Count: 1, CPU: 16000, MemMb: 64})
			clients.Go(func() { w.call(context.Background(), b, "POST", j.id, j.body, 20*time.Second) })
		}
		time.Sleep(300 * time.Millisecond)
		for range waiting {
			j := w.newJob(time.Second, step{Count: 1, CPU: 16000, MemMb: 64})
			clients.Go(func() {
				sent := time.Now()
				r := w.call(context.Background(), a, "POST", j.id, j.body, 20*time.Second)
				if r.status == 0 && r.at.Sub(sent) < 20*time.Second && r.at.Sub(sent) > slack {
					w.breach("LOST: the channel of %s ended without an answer %.3f s after it was sent, no minion had begun it (%d starts)",
						j.id, r.at.Sub(sent).Seconds(), len(w.startsOf(j.id, w.began)))
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		if trouble {
			w.signal(&a.process, syscall.SIGTERM)
			select {
			case <-a.ended:
			case <-time.After(grace):
				w.signal(&a.process, syscall.SIGKILL)
			}
		}
		clients.Wait()
		if trouble {
			if err := w.launch(&a.process); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
		}
	}
	return nil
}
