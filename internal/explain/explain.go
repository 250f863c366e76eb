// Package explain tells from the logs of gateways and agents on the users' platform what happened to a job and why.
package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"rosedrift.example/rosedrift/internal/schedule"
)

// ErrJobNotFound says that no line names the job.
var ErrJobNotFound = errors.New("no line names the job: look for it at all gateways, and for dropped lines")

// Event is one line about a job.
type Event struct {
	At time.Time
	// Process is what stands before the fields of the line, for example a VM's name; it may be empty.
	Process string
	Message string
	Fields  map[string]string
}

// Read returns the lines about a job, ordered by their time. Clocks of VMs may differ. Lines that are not logfmt are skipped.
func Read(logs io.Reader, job string) ([]Event, error) {
	var events []Event
	raw, err := io.ReadAll(logs)
	if err != nil {
		return nil, fmt.Errorf("explain: reading the logs: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		if !strings.Contains(line, job) {
			continue
		}
		if event, ok := parse(line); ok && event.concerns(job) {
			events = append(events, event)
		}
	}
	if len(events) == 0 {
		return nil, ErrJobNotFound
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events, nil
}

func parse(line string) (Event, bool) {
	before, fields, found := strings.Cut(line, "level=")
	if !found {
		return Event{}, false
	}
	event := Event{Process: strings.TrimSpace(before), Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader("level=" + fields))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			event.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	var err error
	event.At, err = time.Parse(time.RFC3339Nano, event.Fields["ts"])
	event.Message = event.Fields["msg"]
	return event, err == nil && decoder.Err() == nil && event.Message != ""
}

// concerns reports whether the line is about the job: gateways name the job, agents its tasks.
func (e Event) concerns(job string) bool {
	id, _, _ := strings.Cut(e.Fields["task"], ".")
	return e.Fields["job"] == job || id == job
}

func (e Event) duration(field string) time.Duration {
	d, err := time.ParseDuration(e.Fields[field])
	if err != nil {
		return 0 // lines of agents and of other events have no such field
	}
	return d
}

func (e Event) number(field string) int {
	n, err := strconv.Atoi(e.Fields[field])
	if err != nil {
		return 0 // as for duration
	}
	return n
}

// Cause says in one sentence for each end of the job why it came to it.
func Cause(events []Event) []string {
	var causes []string
	from := 0
	for i, e := range events {
		if e.Message == schedule.MessageEnded {
			causes = append(causes, cause(events[from:i], e))
			from = i + 1
		}
	}
	if len(causes) == 0 {
		return []string{"No end of the job is in the logs: it runs, its gateway was lost, or lines are missing."}
	}
	return causes
}

func cause(events []Event, end Event) string {
	outcome, reason := end.Fields["outcome"], end.Fields["reason"]
	switch outcome {
	case schedule.OutcomeRefused.String():
		return refusal(end, reason)
	case schedule.OutcomeLost.String(), schedule.OutcomeFailed.String():
		text := fmt.Sprintf("Given up after %d of %d tasks: %s.", end.number("done"), end.number("tasks"), reason)
		if reason == schedule.ReasonCallerLeft {
			text = fmt.Sprintf("The caller left after %v, with %d of %d tasks done.", end.duration("age"), end.number("done"), end.number("tasks"))
		}
		return text + returned(events)
	}
	if end.duration("age") <= end.duration("objective") {
		return "Completed in time." + returned(events)
	}
	text := fmt.Sprintf("Completed late, after %v in place of %v.", end.duration("age"), end.duration("objective"))
	if wait := firstPlacement(events); wait > end.duration("objective")/4 {
		text += fmt.Sprintf(" It waited %v for its first server.", wait)
	}
	if back := returned(events); back != "" {
		return text + back
	}
	return text + " No task came back: its tasks waited at their servers or ran longer than the expected " + end.Fields["expected"] + "."
}

func refusal(end Event, reason string) string {
	text := "Refused, not run: "
	switch {
	case end.number("servers") == 0:
		return text + "no server took work; look at the links of the agents."
	case reason == schedule.ReasonNoResources:
		return text + fmt.Sprintf("%d servers took work, but none had room for its priority within %v, and tasks of %v could not be in time "+
			"later.", end.number("servers"), end.duration("age"), end.duration("expected"))
	case reason == schedule.ReasonDeadline:
		return text + "the time that its caller gave had passed."
	}
	return text + reason + "."
}

func firstPlacement(events []Event) time.Duration {
	for _, e := range events {
		if e.Message == schedule.MessagePlaced {
			return e.duration("age")
		}
	}
	return 0
}

// returned says which servers gave tasks back and why.
func returned(events []Event) string {
	count := map[string]int{}
	for _, e := range events {
		kind, _, _ := strings.Cut(e.Fields["detail"], " ")
		switch e.Message {
		case schedule.MessageReturned:
			count[kind+" at "+cmp.Or(e.Fields["server"], e.Fields["agent"])]++
		case schedule.MessageMoved:
			count["moved off "+e.Fields["agent"]]++
		}
	}
	if len(count) == 0 {
		return ""
	}
	var parts []string
	for what, n := range count {
		parts = append(parts, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(parts)
	return " Tasks came back: " + strings.Join(parts, ", ") + "."
}

// Line returns an event as text, with its time after the first one.
func (e Event) Line(first time.Time) string {
	text := fmt.Sprintf("%9.3fs %s %s", e.At.Sub(first).Seconds(), cmp.Or(e.Process, "-"), e.Message)
	for _, field := range []string{"agent", "server", "task", "run", "tasks", "expected", "detail", "outcome", "reason", "age"} {
		if value := e.Fields[field]; value != "" {
			text += " " + field + "=" + value
		}
	}
	return text
}
