// Package explain reconstructs what happened to a job, and why, from the logs of the gateways and agents on the
// platform (programs rosedrift-entry and rosedrift-roomagent). It serves the command "rosedrift why job JOB logs".
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

// ErrJobNotFound is returned by Read if no line is about the job.
var ErrJobNotFound = errors.New("no line names the job: look for it at all gateways, and for dropped lines")

// Event is a log line about a job.
type Event struct {
	// At is the timestamp of the line.
	At time.Time
	// Process is the text before the fields of the line, for example the name of a VM. It may be empty.
	Process string
	Message string
	Fields  map[string]string
}

// Read returns the lines about a job, ordered by their timestamps. The order across VMs is only as exact as their
// clocks. Lines that are not in the logfmt format are skipped.
func Read(logs io.Reader, job string) ([]Event, error) {
	var events []Event
	raw, err := io.ReadAll(logs)
	if err != nil {
		return nil, fmt.Errorf("explain: read the logs: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		if !strings.Contains(line, job) {
			continue
		}
		if event, ok := parseLine(line); ok && event.concerns(job) {
			events = append(events, event)
		}
	}
	if len(events) == 0 {
		return nil, ErrJobNotFound
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events, nil
}

// parseLine parses a logfmt line that may have text before its first field, which is "level". It returns false if the
// line is malformed or has no timestamp or message.
func parseLine(line string) (Event, bool) {
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

// concerns reports whether the line is about the job. Lines of gateways have the id of the job, those of agents the ids
// of its tasks, which begin with the id of the job.
func (e Event) concerns(job string) bool {
	id, _, _ := strings.Cut(e.Fields["task"], ".")
	return e.Fields["job"] == job || id == job
}

func (e Event) durationField(field string) time.Duration {
	d, err := time.ParseDuration(e.Fields[field])
	if err != nil {
		return 0 // not all lines have this field
	}
	return d
}

func (e Event) intField(field string) int {
	n, err := strconv.Atoi(e.Fields[field])
	if err != nil {
		return 0 // not all lines have this field
	}
	return n
}

// Cause explains each end of the job in the events. A job that was submitted again can have several ends.
func Cause(events []Event) []string {
	var causes []string
	from := 0
	for i, e := range events {
		if e.Message == schedule.MessageEnded {
			causes = append(causes, endCause(events[from:i], e))
			from = i + 1
		}
	}
	if len(causes) == 0 {
		return []string{"The logs do not contain the end of the job: it still runs, its gateway was lost, or lines are missing."}
	}
	return causes
}

// endCause explains an end of the job. events has the events since the previous end.
func endCause(events []Event, end Event) string {
	outcome, reason := end.Fields["outcome"], end.Fields["reason"]
	switch outcome {
	case schedule.OutcomeRefused.String():
		return refusalCause(end, reason) + rackWait(events)
	case schedule.OutcomeLost.String(), schedule.OutcomeFailed.String():
		text := fmt.Sprintf("Stopped after %d of %d tasks: %s.", end.intField("done"), end.intField("tasks"), reason)
		if reason == schedule.ReasonCallerLeft {
			text = fmt.Sprintf("The caller left after %v, with %d of %d tasks done.", end.durationField("age"), end.intField("done"), end.intField("tasks"))
		}
		return text + crashedServers(events) + returnedTasks(events)
	}
	if end.durationField("age") <= end.durationField("objective") {
		return "Completed in time." + rackWait(events) + returnedTasks(events)
	}
	text := fmt.Sprintf("Completed late, after %v instead of %v.", end.durationField("age"), end.durationField("objective"))
	text += rackWait(events)
	if wait := firstPlacementAge(events); wait > end.durationField("objective")/4 {
		text += fmt.Sprintf(" Its first task was placed after %v.", wait)
	}
	if returned := returnedTasks(events); returned != "" {
		return text + returned
	}
	return text + " No task was returned or moved: tasks waited at their servers or ran longer than the expected " + end.Fields["expected"] + "."
}

// refusalCause explains why a job was refused.
func refusalCause(end Event, reason string) string {
	text := "Refused, not run: "
	switch {
	case end.intField("servers") == 0:
		return text + "no server accepted work; check the links of the agents."
	case reason == schedule.ReasonNoResources:
		return text + fmt.Sprintf(
			"%d servers accepted work, but none had enough free resources for its priority within %v, and tasks of %v could not finish in time "+
				"later.", end.intField("servers"), end.durationField("age"), end.durationField("expected"))
	case reason == schedule.ReasonNoRoomExpected:
		return text + fmt.Sprintf("%d servers accepted work, none had free resources for its priority, and jobs like it or of a higher "+
			"priority were starting too late.", end.intField("servers"))
	case reason == schedule.ReasonDeadline:
		return text + "the deadline of its caller had passed."
	}
	return text + reason + "."
}

// rackWait says for how many tasks and why the job waited for the rack of its data, or returns an empty string.
func rackWait(events []Event) string {
	for _, e := range events {
		if e.Message == schedule.MessageWaitsNear {
			return fmt.Sprintf(" After %v, %d of its tasks waited for a server near their data: %s.", e.durationField("age"), e.intField("tasks"),
				e.Fields["detail"])
		}
	}
	return ""
}

// firstPlacementAge returns the age of the job when its first tasks were placed.
func firstPlacementAge(events []Event) time.Duration {
	for _, e := range events {
		if e.Message == schedule.MessagePlaced {
			return e.durationField("age")
		}
	}
	return 0
}

// crashedServers names the servers that the job is to blame for, or returns an empty string.
func crashedServers(events []Event) string {
	for _, e := range events {
		if e.Message == schedule.MessageGivenUp {
			return " Of the agents' lines \"server crashed\", those of these servers name it: " + e.Fields["detail"] + "."
		}
	}
	return ""
}

// returnedTasks says how many tasks servers returned and why, and how many tasks were moved off a server. It returns an
// empty string if there are none.
func returnedTasks(events []Event) string {
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
	for kind, n := range count {
		parts = append(parts, fmt.Sprintf("%d %s", n, kind))
	}
	slices.Sort(parts)
	return " Returned or moved tasks: " + strings.Join(parts, ", ") + "."
}

// Line returns the event as a line of text, with the time since first.
func (e Event) Line(first time.Time) string {
	text := fmt.Sprintf("%9.3fs %s %s", e.At.Sub(first).Seconds(), cmp.Or(e.Process, "-"), e.Message)
	for _, field := range []string{"agent", "server", "task", "run", "tasks", "expected", "detail", "outcome", "reason", "age"} {
		if value := e.Fields[field]; value != "" {
			text += " " + field + "=" + value
		}
	}
	return text
}
