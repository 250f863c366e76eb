package agent

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Estimated memory use in bytes, for the memory limit: recordCost is a record with its spare capacity in the slice and
// its entry in the eviction queue, jobCost is a job with its entries in the map and the expiry queue.
const (
	recordCost = 160
	jobCost    = 320
)

// taskKey identifies a task within the agent's pool.
type taskKey struct {
	key   structs.KeyHash
	index uint32
}

func keyOf(task structs.TaskRef) taskKey { return taskKey{key: task.Job.Key, index: task.Index} }

// record remembers that a task was started, and how it ended.
type record struct {
	// result is the result of a finished task, or the error text of a failed or aborted one.
	result  []byte
	runTime time.Duration
	epoch   structs.Epoch
	attempt uint64
	index   uint32
	state   structs.RecordState
	kind    structs.TaskEventKind
	urgent  bool
}

// jobRecords holds the records of one job, sorted by task index.
type jobRecords struct {
	id      structs.JobID
	records []record
	// running counts the running tasks, lastEnd is when the last task ended.
	running int
	lastEnd time.Duration
}

func (j *jobRecords) find(index uint32) (at int, ok bool) {
	return slices.BinarySearchFunc(j.records, index, func(r record, i uint32) int { return cmp.Compare(r.index, i) })
}

// expiry is an entry of a queue of jobs that is ordered by time.
type expiry struct {
	key structs.KeyHash
	at  time.Duration
}

// recordStore holds all start records. The records of a job are kept until retention has passed since its last task
// ended. Results are dropped earlier if the memory limit requires it.
type recordStore struct {
	limit     int64
	retention time.Duration
	jobs      map[structs.KeyHash]*jobRecords
	// results holds the tasks whose result is stored, in the order of their end.
	results fifo[taskKey]
	// expiries has an entry for each time at which the last running task of a job ended.
	expiries fifo[expiry]

	// count is the number of records, overhead their memory use without results, resultBytes that of the results.
	count       int
	overhead    int64
	resultBytes int64
	// evicted counts the dropped results of finished tasks.
	evicted uint64
}

func newRecordStore(limit int64) recordStore {
	return recordStore{limit: limit, retention: RecordRetention, jobs: make(map[structs.KeyHash]*jobRecords)}
}

// full reports whether one more record could exceed the memory limit even if all results were dropped.
func (s *recordStore) full() bool { return s.overhead+recordCost+jobCost > s.limit }

// find returns the record of a task, or nil. The pointer is valid until the store changes.
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

// remove deletes the record of a start that certainly did not reach the backend server.
func (s *recordStore) remove(now time.Duration, key taskKey) {
	job := s.jobs[key.key]
	at, ok := job.find(key.index)
	assert(ok && job.records[at].state == structs.RecordRunning, "only running records are removed")
	job.records = slices.Delete(job.records, at, at+1)
	s.count--
	s.overhead -= recordCost
	s.taskStopped(now, job)
}

// end stores how a task ended.
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
	s.taskStopped(now, job)
	s.evict()
}

// taskStopped updates a job of which a task has just stopped running.
func (s *recordStore) taskStopped(now time.Duration, job *jobRecords) {
	job.running--
	job.lastEnd = now
	if job.running == 0 {
		s.expiries.push(expiry{key: job.id.Key, at: now})
	}
}

// evict drops the oldest results until the memory use is within the limit.
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

// expire deletes the jobs whose retention has passed.
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
	// Results are queued in the order of the tasks' ends, so entries of deleted jobs come first.
	for s.results.len() > 0 && s.find(s.results.peek()) == nil {
		s.results.pop()
	}
}

// event returns the terminal event of an ended task. A finished task whose result was evicted is reported as failed.
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

// snapshot returns all records for a fence reply, sorted by key so that the result is deterministic.
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

// fifo is a first-in, first-out queue that reuses its memory.
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
	// Moving the items only when half of the slice is unused keeps the amortised cost of pop constant.
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	return item
}

// assert panics if an invariant is violated: an agent whose state is inconsistent must not start tasks.
func assert(ok bool, invariant string) {
	if !ok {
		panic("agent: invariant violated: " + invariant)
	}
}
