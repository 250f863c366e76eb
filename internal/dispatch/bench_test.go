package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// BenchmarkStep measures the cost per task in the state machine: its share of the submission, its start and its end.
// All slots are busy and jobs wait in the queue.
func BenchmarkStep(b *testing.B) {
	for _, agents := range []int{11, 110, 1100} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) { benchmarkStep(b, agents) })
	}
}

func benchmarkStep(b *testing.B, agents int) {
	const tasksPerJob = 100
	p := newTestPool(agents)
	p.options.Retention = time.Second
	var running []Action
	now, jobs := time.Duration(0), 0
	submit := func() {
		sub := submission("job-"+strconv.Itoa(jobs), 0)
		sub.Payloads = make([][]byte, tasksPerJob)
		sub.Priority = structs.Priority(jobs % 2)
		sub.Kind = "kind-" + strconv.Itoa(jobs%5)
		sub.Team = "team-" + strconv.Itoa(jobs%82)
		jobs++
		running = append(running, p.Step(now, Submit{Submission: sub, Waiter: WaiterID(jobs)})...)
	}
	for range agents {
		submit()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		action := running[0]
		running = running[1:]
		start, ok := action.(SendStart)
		if !ok {
			continue
		}
		for _, task := range start.Start.Tasks {
			now += 100 * time.Millisecond / time.Duration(8*agents)
			end := newEvent(task.Task, structs.TaskFinished, "")
			end.RunTime = time.Duration(50+done%200) * time.Millisecond
			running = append(running, p.Step(now, Events{Agent: start.Agent, Events: []structs.TaskEvent{end}})...)
			done++
			if done%tasksPerJob == 0 {
				submit()
			}
		}
	}
}
