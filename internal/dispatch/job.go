package dispatch

import (
	"container/heap"
	"time"

	"rosedrift.example/rosedrift/internal/fairqueue"
	"rosedrift.example/rosedrift/internal/placement"
	"rosedrift.example/rosedrift/internal/structs"
)

type jobState uint8

const (
	// jobRecovered is known from an earlier owner's journal or from agents' start records. Its submission has not
	// been received by this owner.
	jobRecovered jobState = iota
	// jobLive is a job whose submission is here and that has not ended.
	jobLive
	// jobEnded is a job with an answer.
	jobEnded
)

type taskState uint8

const (
	taskWaiting taskState = iota
	// taskSent is a task that was sent to an agent. It may have started.
	taskSent
	// taskRecorded is a task that has ended and whose result is not here: the agent holds it, or it is lost.
	taskRecorded
	// taskFinished is a task that has ended and whose result is here, or is not needed because the job ends.
	taskFinished
)

// task is one task of a job that has not ended. While it is sent or recorded, agent holds it and position is its index
// in agent.tasks. A recorded task whose result is lost has no agent.
type task struct {
	agent    *agent
	position int32
	state    taskState
	// wasReturned is set once an agent has returned the task. Since then, job.returned lists it whenever it waits.
	wasReturned bool
	// epoch and attempt identify the last start of the task. Invariant: a sent task returns to the queue only if an
	// agent has refused or withdrawn this start, not an earlier one.
	epoch   structs.Epoch
	attempt uint64
}

// job is one submission and the state of its tasks.
type job struct {
	id       structs.JobID
	sequence uint64
	state    jobState
	// sub is nil in state jobRecovered. Its payloads are dropped when the job ends.
	sub    *structs.Submission
	digest [structs.KeySize]byte
	// hasDigest is false for keys that are known from start records only.
	hasDigest  bool
	repeatable bool
	// journaled is true once the key is in the store.
	journaled bool
	// awaitingJournal is true while the job may not start because its key is not in the store yet.
	awaitingJournal bool
	// taskCount is the number of tasks, 0 if unknown.
	taskCount int
	// recordsComplete means that a task without a start record has certainly not started, so that it may start now.
	recordsComplete bool

	tasks   []task
	results [][]byte
	// nextUnsent is the index at which nextUnsentTask starts its search.
	nextUnsent uint32
	// returned lists the waiting tasks that agents have returned, in order of index.
	returned []uint32

	// The number of tasks in each taskState.
	waiting, sent, recorded, finished int

	// records are the start records found at the takeover. rebuildTasks turns them into tasks.
	records []record

	kind       *placement.Kind
	entry      *fairqueue.Entry[*job]
	waiters    []WaiterID
	admittedAt time.Duration
	// due is the deadline of a live job and the end of the retention of a recovered one.
	due       time.Duration
	heapIndex int
	// deferredUntil is the time until which an urgent job may wait for a faster server, 0 if it does not wait for
	// one.
	deferredUntil time.Duration

	endedAt     time.Duration
	answer      *structs.Answer
	resultBytes int
	// resultsDropped means that the job completed and its results are no longer kept; answer is nil then.
	resultsDropped bool

	previous, next *job
}

// record is one start record of an earlier epoch.
type record struct {
	agent *agent
	index uint32
	state structs.RecordState
	// epoch and attempt identify the start.
	epoch   structs.Epoch
	attempt uint64
}

// started returns the number of tasks that have started or may have started.
func (j *job) started() int { return j.sent + j.recorded + j.finished }

func (j *job) priority() structs.Priority {
	if j.sub == nil {
		return structs.Routine
	}
	return j.sub.Priority
}

func (j *job) status(now time.Duration) structs.JobStatus {
	status := structs.JobStatus{
		Job:      j.id,
		Tasks:    j.taskCount,
		Queued:   j.waiting,
		Running:  j.sent,
		Finished: j.finished + j.recorded,
		Age:      now - j.admittedAt,
	}
	if j.sub != nil {
		status.Team, status.Priority = j.sub.Team, j.sub.Priority
	}
	if j.answer != nil {
		status.Outcome = j.answer.Outcome
	} else if j.resultsDropped {
		status.Outcome = structs.OutcomeComplete
	}
	return status
}

// jobList is a linked list of the jobs that have not ended, in the order of admission.
type jobList struct {
	first, last *job
	length      int
}

func (l *jobList) add(j *job) {
	j.previous = l.last
	if l.last != nil {
		l.last.next = j
	} else {
		l.first = j
	}
	l.last = j
	l.length++
}

func (l *jobList) remove(j *job) {
	if j.previous != nil {
		j.previous.next = j.next
	} else {
		l.first = j.next
	}
	if j.next != nil {
		j.next.previous = j.previous
	} else {
		l.last = j.previous
	}
	j.previous, j.next = nil, nil
	l.length--
}

// timerHeap orders the jobs that have not ended by due time.
type timerHeap []*job

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, k int) bool {
	if h[i].due != h[k].due {
		return h[i].due < h[k].due
	}
	return h[i].sequence < h[k].sequence
}
func (h timerHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// addJob numbers a job and adds it to the known jobs and to those that have not ended.
func (p *Pool) addJob(j *job, due time.Duration) {
	if p.jobs[j.id.Key] != nil {
		panic("dispatch: job " + j.id.String() + " admitted twice")
	}
	p.sequence++
	j.sequence = p.sequence
	j.admittedAt = p.now
	j.due = due
	p.jobs[j.id.Key] = j
	p.openJobs.add(j)
	heap.Push(&p.timers, j)
}

func (p *Pool) setDue(j *job, due time.Duration) {
	j.due = due
	heap.Fix(&p.timers, j.heapIndex)
}

// removeOpen removes a job from the list and the timers of the jobs that have not ended.
func (p *Pool) removeOpen(j *job) {
	p.openJobs.remove(j)
	heap.Remove(&p.timers, j.heapIndex)
}

// endedJobs holds the ended jobs in the order in which they ended. Repeatable and other jobs have different
// retention. withResults holds the jobs of both whose results are kept, and bytes is the size of these results.
type endedJobs struct {
	repeatable, nonRepeatable, withResults jobFIFO
	bytes                                  int
}

// jobFIFO is a first-in first-out queue of jobs.
type jobFIFO struct {
	jobs []*job
	head int
}

func (f *jobFIFO) push(j *job) { f.jobs = append(f.jobs, j) }

func (f *jobFIFO) peek() *job {
	if f.head == len(f.jobs) {
		return nil
	}
	return f.jobs[f.head]
}

func (f *jobFIFO) pop() {
	f.jobs[f.head] = nil
	f.head++
	if 2*f.head > len(f.jobs) {
		f.jobs = append([]*job(nil), f.jobs[f.head:]...)
		f.head = 0
	}
}

// retain starts the retention of an ended job, and drops the oldest results while there are more than
// MaxRetainedResultBytes.
func (p *Pool) retain(j *job) {
	j.endedAt = p.now
	if j.repeatable {
		p.ended.repeatable.push(j)
	} else {
		p.ended.nonRepeatable.push(j)
	}
	if j.resultBytes == 0 {
		return
	}
	p.ended.withResults.push(j)
	p.ended.bytes += j.resultBytes
	for p.ended.bytes > MaxRetainedResultBytes {
		p.dropResults(p.ended.withResults.peek())
		p.ended.withResults.pop()
	}
}

// dropResults drops the results of an ended job. Its key and the fact that it completed are kept.
func (p *Pool) dropResults(j *job) {
	if j.resultsDropped || j.answer == nil {
		return
	}
	p.ended.bytes -= j.resultBytes
	j.answer = nil
	j.resultsDropped = true
}

// keyRetention is how long the key of an ended job stays known. It is longer than the agents keep start records: if a
// key were reused while an agent still has records of it, the agent would take the new start for a duplicate message
// and answer with the old result.
func (p *Pool) keyRetention() time.Duration {
	return p.options.Retention + max(p.config.Limits.MaxDeadline, structs.DefaultMaxDeadline) + recordMargin
}

// forgetExpired drops results after Retention, keys of repeatable jobs after keyRetention and the other keys after
// Options.NonRepeatableRetention.
func (p *Pool) forgetExpired() {
	p.forgetEnded(&p.ended.repeatable, p.keyRetention())
	p.forgetEnded(&p.ended.nonRepeatable, p.options.NonRepeatableRetention)
	for j := p.ended.withResults.peek(); j != nil && p.now >= j.endedAt+p.options.Retention; j = p.ended.withResults.peek() {
		p.dropResults(j)
		p.ended.withResults.pop()
	}
}

func (p *Pool) forgetEnded(f *jobFIFO, retention time.Duration) {
	for j := f.peek(); j != nil && p.now >= j.endedAt+retention; j = f.peek() {
		delete(p.jobs, j.id.Key)
		f.pop()
	}
}
