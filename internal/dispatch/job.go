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
	// jobBodiless is a job of an earlier owner whose submission this owner has not seen.
	jobRecovered jobState = iota
	// jobLive has its submission and has not ended.
	jobLive
	// jobEnded has an answer.
	jobEnded
)

type taskState uint8

const (
	taskWaiting taskState = iota
	// taskSent is at an agent and may have started.
	taskSent
	// taskRecorded has ended at an agent, which holds the result.
	taskRecorded
	// taskFinished has its result here.
	taskFinished
)

// task is one task of a live job. agent and position are set while the task is sent or recorded.
type task struct {
	agent    *agent
	position int32
	state    taskState
	// resent is set once the task has been returned by an agent.
	wasReturned bool
	// epoch and attempt name the last start of the task. Invariant: a sent task goes back to the queue only by a
	// refusal or withdrawal of this very start.
	epoch   structs.Epoch
	attempt uint64
}

// job is one submission.
type job struct {
	id       structs.JobID
	sequence uint64
	state    jobState
	// sub has no payloads once the job has ended. It is nil in state jobBodiless.
	sub    *structs.Submission
	digest [structs.KeySize]byte
	// hasDigest is false for keys known from start records alone.
	hasDigest  bool
	repeatable bool
	// journaled says that the key is in the store, inQueueHold that the job waits for that.
	journaled       bool
	awaitingJournal bool
	// count is the number of tasks, 0 if unknown.
	taskCount int
	// proven says that tasks without a start record have not started, so that they may start.
	recordsComplete bool

	tasks      []task
	results    [][]byte
	nextUnsent uint32
	returned   []uint32

	waiting, sent, recorded, finished int

	// records are the start records found at a takeover until they are needed.
	records []record

	kind       *placement.Kind
	entry      *fairqueue.Entry[*job]
	waiters    []WaiterID
	admittedAt time.Duration
	// due is the deadline of a live job and the end of retention of a bodiless one.
	due       time.Duration
	heapIndex int
	// deferredUntil bounds the wait for a faster server, 0 if the job does not wait for one.
	deferredUntil time.Duration

	endedAt        time.Duration
	answer         *structs.Answer
	resultBytes    int
	resultsDropped bool

	previous, next *job
}

// record is one start record of an earlier epoch.
type record struct {
	agent *agent
	index uint32
	state structs.RecordState
	// epoch and attempt name the start.
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

// jobList holds the jobs that have not ended in the order of admission.
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

// addJob makes a key known.
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

// unlist takes a job from the list and the timers of jobs that have not ended.
func (p *Pool) removeOpen(j *job) {
	p.openJobs.remove(j)
	heap.Remove(&p.timers, j.heapIndex)
}

// endedJobs keeps ended jobs for their retention period and bounds the bytes of their results.
type endedJobs struct {
	repeatable, nonRepeatable, withResults jobFIFO
	bytes                                  int
}

// jobRing is a first-in first-out queue of jobs.
type jobFIFO struct {
	jobs []*job
	head int
}

func (r *jobFIFO) push(j *job) { r.jobs = append(r.jobs, j) }

func (r *jobFIFO) peek() *job {
	if r.head == len(r.jobs) {
		return nil
	}
	return r.jobs[r.head]
}

func (r *jobFIFO) pop() {
	r.jobs[r.head] = nil
	r.head++
	if 2*r.head > len(r.jobs) {
		r.jobs = append([]*job(nil), r.jobs[r.head:]...)
		r.head = 0
	}
}

// retain keeps an ended job and drops the oldest results beyond the bound.
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

// dropResults forgets the results of an ended job but not that it completed.
func (p *Pool) dropResults(j *job) {
	if j.resultsDropped || j.answer == nil {
		return
	}
	p.ended.bytes -= j.resultBytes
	j.answer = nil
	j.resultsDropped = true
}

// keyRetention is how long the key of an ended job stays known. It outlasts the agents' start records: an agent takes
// a start with the key and index of a record for a repeated message and answers with the old result.
func (p *Pool) keyRetention() time.Duration {
	return p.options.Retention + max(p.config.Limits.MaxDeadline, structs.DefaultMaxDeadline) + recordMargin
}

// forget ends the retention of jobs whose time has come. Results go after Retention, keys after keyRetention.
func (p *Pool) forgetExpired() {
	p.forgetEnded(&p.ended.repeatable, p.keyRetention())
	p.forgetEnded(&p.ended.nonRepeatable, p.options.RetentionOnce)
	for j := p.ended.withResults.peek(); j != nil && p.now >= j.endedAt+p.options.Retention; j = p.ended.withResults.peek() {
		p.dropResults(j)
		p.ended.withResults.pop()
	}
}

func (p *Pool) forgetEnded(r *jobFIFO, retention time.Duration) {
	for j := r.peek(); j != nil && p.now >= j.endedAt+retention; j = r.peek() {
		delete(p.jobs, j.id.Key)
		r.pop()
	}
}
