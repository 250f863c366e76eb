package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// verdict writes the result to the record and to the output.
func (s *site) verdict(held bool, format string, args ...any) (bool, error) {
	text := fmt.Sprintf(format, args...)
	word := "rule broken: "
	if held {
		word = "rule held: "
	}
	s.note("%s%s", word, text)
	fmt.Println(word + text)
	return held, nil
}

// shutdownCase: a front gets SIGTERM while a job of a patient queue waits for room at it.
func shutdownCase(root, record string, trouble bool) (bool, error) {
	s, err := newSite(root, record, 3, 2000)
	if err != nil {
		return false, err
	}
	defer s.close()
	urgent, batch := newQueue("urgent", 0, 20_000), newQueue("batch", 2, 30_000)
	if err := s.startAll([]queue{urgent, batch}); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	// 90 tasks of 0.9 s on 6 slots: 13.5 s.
	filler := newJob(urgent, 900, 1000, 35*time.Second, 90)
	wait.Go(func() { s.submit(s.fronts[1], filler) })
	time.Sleep(500 * time.Millisecond)
	const jobs = 6
	list, answers := make([]job, jobs), make([]answer, jobs)
	for i := range jobs {
		list[i] = newJob(batch, 900, 1000, 35*time.Second, 2)
		wait.Go(func() { answers[i] = s.submit(s.fronts[0], list[i]) })
	}
	time.Sleep(time.Second)
	termAt := s.now()
	if trouble {
		s.fronts[0].stop()
	}
	wait.Wait()
	answered, cut, excused := 0, 0, 0
	for i, a := range answers {
		if a.status != 0 {
			answered++
			continue
		}
		s.note("job %s: its channel ended without an answer %.3f s after it was sent and %.3f s after the SIGTERM, %d of its tasks had started",
			list[i].id, (a.answered - a.sent).Seconds(), (a.answered - termAt).Seconds(), len(s.startsOf(list[i].id, 0)))
		inWindow := !trouble || a.answered <= termAt+graceTime+time.Second
		if a.answered-a.sent <= lossSlack || !inWindow || s.atWork(list[i].id, termAt+graceTime*5/6, a.answered) {
			excused++ // a minion was still at work in the last sixth of the grace time
			continue
		}
		cut++
	}
	return s.verdict(cut == 0, "of %d POSTs to the front that was stopped, %d were answered, the channels of %d ended without an answer, and "+
		"those of %d more too, but a minion was at work for them in the last sixth of graceS", jobs, answered, cut, excused)
}

// routeCase: a queue is removed from the configuration while a job of it runs, and the client cancels the job.
func routeCase(root, record string, trouble bool) (bool, error) {
	s, err := newSite(root, record, 3, 16000)
	if err != nil {
		return false, err
	}
	defer s.close()
	quote, stock := newQueue("quote", 0, 20_000), newQueue("stock", 1, 20_000)
	if err := s.startAll([]queue{quote, stock}); err != nil {
		return false, err
	}
	j := newJob(quote, 700, 1600, 35*time.Second, chain(24)...)
	var wait sync.WaitGroup
	wait.Go(func() { s.submit(s.fronts[0], j) })
	time.Sleep(time.Second)
	if trouble {
		s.configure([]queue{stock})
	} else {
		s.configure([]queue{quote, stock})
	}
	time.Sleep(configApplyTime + contactTime) // the change is in force and long past
	first, acknowledged := s.now(), time.Duration(0)
	for i := 0; s.now()-first < 2*ackTime; i++ {
		if a := s.cancelJob(s.fronts[(i+1)%len(s.fronts)], j); a.acknowledged() {
			acknowledged = a.answered
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	limit := first + ackTime + cancelTime
	if acknowledged > 0 {
		limit = min(limit, acknowledged+cancelTime)
	}
	time.Sleep(limit - s.now() + 6*time.Second)
	late := s.startsOf(j.id, limit)
	s.cancel() // the client of the POST leaves
	wait.Wait()
	return s.verdict(len(late) == 0, "first DELETE of job %s at %.3f s, acknowledged at %.3f s (0: never); %d of its tasks were started "+
		"more than cancel_ms after that or after ackMs without an acknowledgement", j.id, first.Seconds(), acknowledged.Seconds(), len(late))
}

// restartCase: all processes are killed right after a cancelling was acknowledged, and the request of the job arrives once more.
func restartCase(root, record string, trouble bool) (bool, error) {
	s, err := newSite(root, record, 3, 16000)
	if err != nil {
		return false, err
	}
	defer s.close()
	quote := newQueue("quote", 0, 20_000)
	if err := s.startAll([]queue{quote}); err != nil {
		return false, err
	}
	j := newJob(quote, 700, 1600, 20*time.Second, 4)
	var wait sync.WaitGroup
	var first answer
	wait.Go(func() { first = s.submit(s.fronts[0], j) })
	time.Sleep(300 * time.Millisecond)
	a := s.cancelJob(s.fronts[0], j)
	if !a.acknowledged() {
		return false, fmt.Errorf("%w: the cancelling was not acknowledged: %s", errSetup, a)
	}
	wait.Wait()
	if trouble {
		for _, m := range s.machines() {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, m := range s.machines() {
			<-m.ended
			if err := m.start(); err != nil {
				return false, fmt.Errorf("%w: %w", errSetup, err)
			}
		}
	}
	if !s.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("%w: the fronts did not become ready", errSetup)
	}
	time.Sleep(contactTime + 500*time.Millisecond) // all machines are in touch again
	second := s.submit(s.fronts[2], j)
	late := s.startsOf(j.id, a.answered+cancelTime)
	return s.verdict(len(late) == 0, "cancelling of job %s acknowledged (%d) at %.3f s, first POST answered %s, the one that arrived %.3f s later %s; "+
		"%d of its tasks were started more than cancel_ms after the acknowledgement", j.id, a.status, a.answered.Seconds(), first,
		(second.sent - first.answered).Seconds(), second, len(late))
}
