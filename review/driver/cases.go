package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseKind: a minion crashes and starts again under its id, as a minion of another kind. Its first heartbeat leaves after
// firstBeat.
func caseKind(w *world, programs string, trouble bool, firstBeat time.Duration) error {
	s, err := newSite(w, programs, smallSite)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	task := jobStep{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 200}
	taskA, taskB := task, task
	taskA.Requires, taskB.Requires = "a", "b"
	load := s.load(taskB, taskB, taskA)
	time.Sleep(4 * time.Second)
	if trouble {
		m := s.minions[2]
		m.crash("crashes")
		time.Sleep(3 * time.Second)
		m.mu.Lock()
		m.kind, m.firstBeat = "a", firstBeat
		m.mu.Unlock()
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	load.end()
	w.finalChecks()
	return nil
}

// caseCancel: a client's channel is reset while its job runs, so it sends the job again, which reaches another front. Later it
// cancels the job. The platform forwards the channel of the cancelling by the hash of the client, as it did the first one.
func caseCancel(w *world, programs string, trouble bool) error {
	s, err := newSite(w, programs, smallSite)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	const name = "c1"
	j := newJob([]jobStep{{Count: 600, CPU: 1000, MemMb: 64, EstimateMs: 900}}, taskSpec{Ms: 900, CPU: 1000})
	c := s.submit(name, j, 20*time.Second)
	c.tries = 2
	c.start()
	time.Sleep(400 * time.Millisecond)
	if trouble {
		w.log("reset_conns: the client's channel is reset")
		c.cut()
	}
	time.Sleep(2500 * time.Millisecond)
	front := s.pick(name, nil)
	w.log("platform: forwards the client's new channel to %s, by the hash of the client", front.name)
	status := s.call(front, http.MethodDelete, j.id)
	if status/100 == 2 || status == http.StatusGone {
		w.mu.Lock()
		j.cancelAck = time.Now()
		w.logLocked("the cancelling of %s is acknowledged with %d", j.id, status)
		w.mu.Unlock()
	}
	time.Sleep(5 * time.Second)
	w.finalChecks()
	return nil
}

// caseResubmitted: a job reaches its deadline while the machine beside one of its minions is frozen, and is sent again to the same
// front, where it waits for the end of the earlier runs. Meanwhile the client cancels it.
func caseResubmitted(w *world, programs string, trouble bool) error {
	s, err := newSite(w, programs, smallSite)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	j := newJob([]jobStep{{Count: 600, CPU: 1000, MemMb: 64, EstimateMs: 900}}, taskSpec{Ms: 900, CPU: 1000})
	c := s.submit("c1", j, 6*time.Second)
	c.tries, c.anyFront = 2, true
	c.start()
	time.Sleep(4800 * time.Millisecond)
	if trouble {
		s.agents[0].signal(syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { s.agents[0].signal(syscall.SIGCONT) })
	}
	time.Sleep(2600 * time.Millisecond)
	s.cancel(c)
	time.Sleep(6 * time.Second)
	w.finalChecks()
	return nil
}

// caseEvacuate: the platform's store is out of reach for the fronts, not for the machines beside the minions. Meanwhile the
// operator evacuates a zone.
func caseEvacuate(w *world, programs string, trouble bool) error {
	s, err := newSite(w, programs, smallSite)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	load := s.load(jobStep{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 200})
	time.Sleep(2 * time.Second)
	if trouble {
		w.log("node_cut: the fronts are cut from the platform's store")
		for _, p := range s.fronts {
			p.store.setFault(storeSilent)
		}
	}
	time.Sleep(2 * time.Second)
	s.evacuate(s.store, zones[1], true)
	time.Sleep(10 * time.Second)
	for _, p := range s.fronts {
		p.store.setFault(storeSound)
	}
	w.log("the cut has healed")
	time.Sleep(4 * time.Second)
	load.end()
	w.finalChecks()
	return nil
}

// smallSite has the size of the users' smaller sites, with fewer minions.
var smallSite = siteOptions{fronts: 3, kinds: []string{"a", "a", "b", "a", "a", "b", "a"}, capacity: 8000}

// load is a steady traffic of jobs.
type load struct {
	stop    chan struct{}
	clients sync.WaitGroup
}

// load sends a job of one of the given steps every 30 ms, in turn.
func (s *site) load(steps ...jobStep) *load {
	l := &load{stop: make(chan struct{})}
	l.clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			st := steps[n%len(steps)]
			j := newJob([]jobStep{st}, taskSpec{Ms: st.EstimateMs, CPU: st.CPU})
			c := s.submit(fmt.Sprintf("c%d", n%12), j, 1500*time.Millisecond).start()
			l.clients.Go(func() { <-c.done })
		}
	})
	return l
}

// end ends the traffic and waits for the answers.
func (l *load) end() {
	close(l.stop)
	l.clients.Wait()
}

// caseBorn: the time of day of a minion's machine is ahead for some seconds while the minion goes down and up by turns, so that
// its last life has a lower born than the one before. Later it drains.
func caseBorn(w *world, programs string, trouble bool) error {
	s, err := newSite(w, programs, smallSite)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	load := s.load(jobStep{Count: 4, CPU: 1000, MemMb: 64, EstimateMs: 200})
	time.Sleep(2 * time.Second)
	m := s.minions[0]
	if trouble {
		w.log("the time of day of %s's machine jumps 2 s ahead", m.name)
		m.setFaults(func(f *minionFaults) { f.skew = 2 * time.Second })
		m.crash("crashes")
	}
	time.Sleep(time.Second)
	if trouble {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		w.log("the time of day of %s's machine jumps back", m.name)
		m.setFaults(func(f *minionFaults) { f.skew = 0 })
		m.crash("crashes")
	}
	time.Sleep(800 * time.Millisecond)
	if trouble {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	m.drain()
	time.Sleep(6 * time.Second)
	m.leave()
	load.end()
	w.finalChecks()
	return nil
}
