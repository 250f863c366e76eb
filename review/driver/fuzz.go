package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// fuzz plays random disturbances of many kinds against random jobs.
func fuzz(w *world, programs string, seed uint64, length time.Duration) error {
	r := rand.New(rand.NewPCG(seed, 7))
	kinds := []string{"a", "a", "b", "a", "b"}
	s, err := newSite(w, programs, siteOptions{fronts: 3, kinds: kinds, capacity: 8000})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return err
	}
	end := time.Now().Add(length)
	go func() {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(900*time.Millisecond)))
			s.disturb(rand.New(rand.NewPCG(r.Uint64(), 3)))
		}
	}()
	q := rand.New(rand.NewPCG(seed, 9))
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(q.ExpFloat64() * float64(60*time.Millisecond)))
		wait := 1500 * time.Millisecond
		j := randomJob(q)
		if q.IntN(6) == 0 { // a few tasks take several seconds
			ms := 1500 + q.IntN(5000)
			wait = 15 * time.Second
			j = newJob([]jobStep{{Count: 1 + q.IntN(6), CPU: 300, MemMb: 64, EstimateMs: ms}}, taskSpec{Ms: ms, CPU: 300})
		}
		c := s.submit(fmt.Sprintf("c%d", q.IntN(12)), j, wait)
		c.anyFront = q.IntN(2) == 0
		if q.IntN(15) == 0 && wait < 2*time.Second {
			var spec taskSpec
			_ = json.Unmarshal([]byte(j.spec), &spec)
			spec.Fail = true
			raw, _ := json.Marshal(spec)
			j.spec = string(raw)
		}
		if q.IntN(10) == 0 {
			c.leaveAfter = time.Duration(20+q.IntN(400)) * time.Millisecond
		}
		c.start()
		if q.IntN(12) == 0 {
			time.AfterFunc(time.Duration(20+q.IntN(600))*time.Millisecond, c.cut)
		}
		if q.IntN(12) == 0 {
			time.AfterFunc(time.Duration(20+q.IntN(3000))*time.Millisecond, func() { s.cancel(c) })
		}
	}
	time.Sleep(8 * time.Second)
	w.finalChecks()
	for _, p := range append(s.fronts, s.agents...) {
		if p.exits > 0 {
			w.mu.Lock()
			w.breaks("FAULT", "process %s ended by itself %d times", p.name, p.exits)
			w.mu.Unlock()
		}
	}
	return nil
}

// cancel cancels a job at the front that has it.
func (s *site) cancel(c *client) {
	c.stopResending()
	c.mu.Lock()
	p := c.at
	c.mu.Unlock()
	if p == nil {
		return
	}
	if status := s.call(p, "DELETE", c.job.id); status/100 == 2 {
		s.mu.Lock()
		c.job.cancelAck = time.Now()
		s.mu.Unlock()
	}
}

func randomJob(r *rand.Rand) *job {
	spec := taskSpec{Ms: 30 + r.IntN(900), CPU: 1000}
	steps := []jobStep{}
	for i := range 1 + r.IntN(3) {
		st := jobStep{Count: 1 + r.IntN(4), CPU: spec.CPU, MemMb: 64, EstimateMs: spec.Ms}
		if i > 0 {
			st.After = []int{i - 1}
		}
		if r.IntN(6) == 0 {
			st.Requires = []string{"a", "b"}[r.IntN(2)]
		}
		if r.IntN(4) == 0 {
			st.AntiAffinity = 1 + r.IntN(2)
		}
		steps = append(steps, st)
	}
	if len(steps) > 1 {
		spec.Ms = 30 + spec.Ms/4
		for i := range steps {
			steps[i].EstimateMs = spec.Ms
		}
	}
	return newJob(steps, spec)
}

// disturb begins one disturbance, which ends by itself.
func (s *site) disturb(r *rand.Rand) {
	front, agent, m := s.fronts[r.IntN(len(s.fronts))], s.agents[r.IntN(len(s.agents))], s.minions[r.IntN(len(s.minions))]
	length := 300*time.Millisecond + time.Duration(r.IntN(3200))*time.Millisecond
	later := func(f func()) { time.AfterFunc(length, f) }
	switch n := r.IntN(28); n {
	case 0, 1:
		p := front
		if n == 1 {
			p = agent
		}
		p.signal(syscall.SIGKILL)
		later(func() { _ = p.start() })
	case 2, 3:
		p := front
		if n == 3 {
			p = agent
		}
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	case 4, 5:
		p := front
		if n == 5 {
			p = agent
		}
		go func() {
			p.stop()
			_ = p.start()
		}()
	case 6:
		front.store.setFault(storeSilent)
		later(func() { front.store.setFault(storeSound) })
	case 7:
		for _, p := range append(s.fronts, s.agents...) {
			p.store.setFault(storeBusy)
		}
		later(func() {
			for _, p := range append(s.fronts, s.agents...) {
				p.store.setFault(storeSound)
			}
		})
	case 8, 9:
		if m.gone {
			return
		}
		m.crash("crashes")
		later(func() { _ = m.start() })
	case 10:
		m.setFaults(func(f *minionFaults) { f.hang = true })
		later(func() { m.setFaults(func(f *minionFaults) { f.hang = false }) })
	case 11, 12:
		m.setFaults(func(f *minionFaults) { f.late = 0.1 })
		later(func() { m.setFaults(func(f *minionFaults) { f.late = 0 }) })
	case 13:
		m.mu.Lock()
		ok := m.up && !m.draining
		m.mu.Unlock()
		if !ok {
			return
		}
		go func() {
			m.drain()
			time.Sleep(2500*time.Millisecond + length)
			m.leave()
			time.Sleep(time.Second)
			m.mu.Lock()
			up := m.up
			m.id = fmt.Sprintf("i-%08x", rand.Uint32())
			m.mu.Unlock()
			if !up {
				_ = m.start()
			}
		}()
	case 14:
		zone := zones[r.IntN(3)]
		s.mu.Lock()
		_, out := s.zonesOut[zone]
		s.mu.Unlock()
		if out {
			return
		}
		s.evacuate(s.store, zone, true)
		time.AfterFunc(4*time.Second+2*length, func() { s.evacuate(s.store, zone, false) })
	case 15:
		s.configure(false)
	case 17, 18:
		if m.gone {
			return
		}
		m.crash("crashes for a moment")
		time.AfterFunc(time.Duration(5+r.IntN(150))*time.Millisecond, func() { _ = m.start() })
	case 22, 23, 24, 25, 26, 27:
		for i, p := range []*process{front, agent} {
			if i == n%2 || n > 25 {
				go p.slow(length + 2*time.Second)
			}
		}
	case 19:
		m.setFaults(func(f *minionFaults) { f.muteBeats = true })
		later(func() { m.setFaults(func(f *minionFaults) { f.muteBeats = false }) })
	case 20:
		for _, p := range []*process{front, agent} {
			p.signal(syscall.SIGKILL)
			time.AfterFunc(time.Duration(20+r.IntN(400))*time.Millisecond, func() { _ = p.start() })
		}
	case 21:
		agent.signal(syscall.SIGKILL)
		time.AfterFunc(time.Duration(20+r.IntN(400))*time.Millisecond, func() { _ = agent.start() })
		m.setFaults(func(f *minionFaults) { f.late = 0.3 })
		later(func() { m.setFaults(func(f *minionFaults) { f.late = 0 }) })
	case 16:
		for _, p := range s.fronts {
			p.signal(syscall.SIGKILL)
			later(func() { _ = p.start() })
		}
	}
}
