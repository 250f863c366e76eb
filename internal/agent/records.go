package agent

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Memory estimates of the record bound, in bytes: a record with its spare capacity and its entry in the eviction
// queue, and a job with its map and expiry entries.
const (
	recordCost = 160
	jobCost    = 320
)

// taskKey names a task within the agent's pool.
type taskKey struct {
	key   structs.KeyHash
	index uint32
}

func keyOf(task structs.TaskRef) taskKey { return taskKey{key: task.Job.Key, index: task.Index} }

// record states that a task has been started.
type record struct {
	// result is the result or, for failed and aborted tasks, the error text.
	result  []byte
	runTime time.Duration
	epoch   structs.Epoch
	attempt uint64
	index   uint32
	state   structs.RecordState
	kind    structs.TaskEventKind
	urgent  bool
}

// jobRecords holds the records of one job in the order of the task index.
type jobRecords struct {
	id      structs.JobID
	records []record
	running int
	lastEnd time.Duration
}

func (j *jobRecords) find(index uint32) (at int, ok bool) {
	return slices.BinarySearchFunc(j.records, index, func(r record, i uint32) int { return cmp.Compare(r.index, i) })
}

// expiry is an entry of a queue of jobs in the order of a time.
type expiry struct {
	key structs.KeyHash
	at  time.Duration
}

// recordStore holds all start records. Records live until the retention after the last end of a task of their job;
// results are dropped earlier if the memory bound requires it.
type recordStore struct {
	limit     int64
	retention time.Duration
	jobs      map[structs.KeyHash]*jobRecords
	// results orders the tasks with a kept result by their end.
	results fifo[taskKey]
	// expiries has an entry for each time at which a job came to have no running task.
	expiries fifo[expiry]

	count       int
	overhead    int64
	resultBytes int64
	evicted     uint64
}

func newRecordStore(limit int64) recordStore {
	return recordStore{limit: limit, retention: RecordRetention, jobs: make(map[structs.KeyHash]*jobRecords)}
}

// full reports whether a further record would exceed the bound even without any result.
func (s *recordStore) full() bool { return s.overhead+recordCost+jobCost > s.limit }

// find returns the record of a task or nil. The pointer is valid until the next change of the store.
func (s *recordStore) find(key taskKey) *record {
	job := s.jobs[key.key]
	if job == nil {
		return nil
	}
	at, ok := job.find(key.index)
	if !ok {
		return nil
	}
	return &job.records[at]
}

// add records a start.
func (s *recordStore) add(start *structs.TaskStart, epoch structs.Epoch) {
	task := start.Task
	job := s.jobs[task.Job.Key]
	if job == nil {
		job = &jobRecords{id: task.Job}
		s.jobs[task.Job.Key] = job
		s.overhead += jobCost
	}
	at, known := job.find(task.Index)
	assert(!known, "a task is started once")
	job.records = slices.Insert(job.records, at, record{
		index: task.Index, state: structs.RecordRunning, epoch: epoch, attempt: start.Attempt,
		urgent: start.Priority == structs.Urgent,
	})
	job.running++
	s.count++
	s.overhead += recordCost
	s.evict()
}

// remove forgets a start that provably did not reach the backend server.
func (s *recordStore) remove(now time.Duration, key taskKey) {
	job := s.jobs[key.key]
	at, ok := job.find(key.index)
	assert(ok && job.records[at].state == structs.RecordRunning, "only running records are removed")
	job.records = slices.Delete(job.records, at, at+1)
	s.count--
	s.overhead -= recordCost
	s.idle(now, job)
}

// end records the end of a task.
func (s *recordStore) end(now time.Duration, in Ended) {
	job := s.jobs[in.Task.Job.Key]
	at, ok := job.find(in.Task.Index)
	assert(ok && job.records[at].state == structs.RecordRunning, "a task ends once")
	r := &job.records[at]
	r.kind = in.Kind
	r.runTime = in.RunTime
	r.state = structs.RecordFailed
	r.result = []byte(in.Error)
	if in.Kind == structs.TaskFinished {
		r.state = structs.RecordFinished
		r.result = in.Result
	}
	s.resultBytes += int64(len(r.result))
	s.results.push(keyOf(in.Task))
	s.idle(now, job)
	s.evict()
}

// idle notes that a task of the job runs no longer.
func (s *recordStore) idle(now time.Duration, job *jobRecords) {
	job.running--
	job.lastEnd = now
	if job.running == 0 {
		s.expiries.push(expiry{key: job.id.Key, at: now})
	}
}

// evict drops the oldest results until the bound is kept.
func (s *recordStore) evict() {
	for s.overhead+s.resultBytes > s.limit && s.results.len() > 0 {
		s.evictOldest()
	}
}

func (s *recordStore) evictOldest() {
	r := s.find(s.results.pop())
	if r == nil {
		return
	}
	s.resultBytes -= int64(len(r.result))
	r.result = nil
	if r.state == structs.RecordFinished {
		r.state = structs.RecordEvicted
		s.evicted++
	}
}

// expire drops the jobs whose retention has ended.
func (s *recordStore) expire(now time.Duration) {
	for s.expiries.len() > 0 && s.expiries.peek().at+s.retention <= now {
		e := s.expiries.pop()
		job := s.jobs[e.key]
		if job == nil || job.running > 0 || job.lastEnd > e.at {
			continue
		}
		for i := range job.records {
			s.resultBytes -= int64(len(job.records[i].result))
		}
		s.count -= len(job.records)
		s.overhead -= jobCost + recordCost*int64(len(job.records))
		delete(s.jobs, e.key)
	}
	// Entries of dropped jobs come first, since results are queued in the order of their ends.
	for s.results.len() > 0 && s.find(s.results.peek()) == nil {
		s.results.pop()
	}
}

// event returns the terminal event of an ended task. A finished task whose result was dropped is reported as failed.
func (r *record) event(task structs.TaskRef) structs.TaskEvent {
	event := structs.TaskEvent{Task: task, Kind: r.kind, RunTime: r.runTime, Attempt: r.attempt}
	switch r.state {
	case structs.RecordEvicted:
		event.Kind = structs.TaskFailed
		event.Error = "the result was dropped for memory"
	case structs.RecordFinished:
		event.Result = r.result
	default:
		event.Error = string(r.result)
	}
	return event
}

// snapshot returns all records for a fence reply, in the order of the keys.
func (s *recordStore) snapshot() []structs.JobRecords {
	jobs := make([]structs.JobRecords, 0, len(s.jobs))
	for key, job := range s.jobs {
		tasks := make([]structs.TaskRecord, len(job.records))
		for i, r := range job.records {
			tasks[i] = structs.TaskRecord{Index: r.index, State: r.state, Epoch: r.epoch, Attempt: r.attempt}
		}
		if len(tasks) > 0 {
			jobs = append(jobs, structs.JobRecords{Key: key, Tasks: tasks})
		}
	}
	slices.SortFunc(jobs, func(a, b structs.JobRecords) int { return bytes.Compare(a.Key[:], b.Key[:]) })
	return jobs
}

// fifo is a queue that reuses its memory.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int    { return len(f.items) - f.head }
func (f *fifo[T]) peek() T     { return f.items[f.head] }
func (f *fifo[T]) push(item T) { f.items = append(f.items, item) }

func (f *fifo[T]) pop() T {
	item := f.items[f.head]
	f.head++
	// Moving only when half is free keeps the cost per item constant.
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	return item
}

// assert ends the process on a violated invariant: an agent that has lost track must not start tasks.
func assert(ok bool, invariant string) {
	if !ok {
		panic("agent: invariant violated: " + invariant)
	}
}
