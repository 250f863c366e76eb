package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Doses of the arbiter case: those of the sites' troubles.
const (
	resetShare  = 0.55  // reset_conns: x, the share of the connections of a machine
	lostPackets = 0.025 // lossy: x, the share of the packets
	freezeTime  = 3500 * time.Millisecond
)

// rawSubmit hands a job in over a channel of its own and returns the channel, and a channel that receives the status, 0 without one.
func (s *site) rawSubmit(front *machine, j job) (net.Conn, chan int, error) {
	conn, err := net.Dial("tcp", front.at(portFront))
	if err != nil {
		return nil, nil, err
	}
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, "bestEffort": true})
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		j.queue.Prefix, j.id, j.queue.Host, j.budget.Milliseconds(), len(body), body)
	status := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	return conn, status, err
}

// arbiterCase: channels of clients to one front are reset while its link loses packets, so that it is not told of some, and the machine
// beside one minion stands still when the clients send their jobs again through another front.
func arbiterCase(root, record string, trouble bool) (bool, error) {
	const jobs = 1600
	s, err := newSite(root, record, 6, 16000)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.quiet = true
	quote := newQueue("quote", 0, 20_000)
	if err := s.startAll([]queue{quote}); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	lost, reset, kept := map[string]bool{}, 0, []net.Conn{}
	resetAt := s.now() + 1500*time.Millisecond
	for range jobs {
		j := newJob(quote, 4000, 20, 8*time.Second, 1)
		conn, status, err := s.rawSubmit(s.fronts[0], j)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
		wait.Go(func() {
			if !trouble || rand.Float64() >= resetShare {
				<-status
				_ = conn.Close()
				return
			}
			time.Sleep(resetAt - s.now() + time.Duration(rand.Int63n(int64(600*time.Millisecond))))
			mu.Lock()
			reset++
			if rand.Float64() < lostPackets { // the packet that resets the channel does not reach the front
				lost[j.id] = true
				kept = append(kept, conn)
			} else {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			mu.Unlock()
			time.Sleep(resendTime)
			s.submit(s.fronts[1], j)
		})
	}
	if trouble {
		time.Sleep(resetAt + 900*time.Millisecond - s.now())
		s.sides[0].signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		s.sides[0].signal(syscall.SIGCONT)
	}
	wait.Wait()
	found := s.overlaps()
	for job := range found {
		for _, e := range s.runs {
			if strings.HasPrefix(e.task, job+".") {
				s.note("at %.3f s, minion %s: task %s run %d %s", e.at.Seconds(), e.minion, e.task, e.run, e.what)
			}
		}
	}
	for _, conn := range kept {
		_ = conn.Close()
	}
	return s.verdict(len(found) == 0, "%d jobs, %d channels reset, of %d of them the front was not told; %d jobs had two runs of a task at the same time",
		jobs, reset, len(lost), len(found))
}
