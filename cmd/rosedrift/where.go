package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/platform"
)

const commandWhere = "where"

// jobOptions describe the job of the command where.
type jobOptions struct {
	Count    int           `arg:"--count" help:"where: number of tasks, 1 if not given"`
	CPU      int64         `arg:"--cpu" help:"where: thousandths of a core that a task needs"`
	Memory   int64         `arg:"--memory" help:"where: MB that a task needs"`
	Rack     string        `arg:"--rack" help:"where: label of the rack that holds the data"`
	Label    string        `arg:"--label" help:"where: label that the server must have"`
	Estimate time.Duration `arg:"--estimate" help:"where: the caller's estimate of the run time of a task, for example 60ms"`
	File     string        `arg:"--file" help:"where: file with the job as callers send it, - for standard input; replaces the other options of the job"`
}

// maxWhereRows bounds the rows of a table of the command where.
const maxWhereRows = 20

// where prints where a job would be placed now: where QUEUE. It changes nothing.
func (s session) where(ctx context.Context) int {
	const words = 2
	if len(s.Words) != words {
		return s.fail(exitUsage, "the command is \"where QUEUE\" with a job as --count, --cpu, --memory, --rack, --label and --estimate, or as --file")
	}
	job, err := s.jobToPlace()
	if err != nil {
		return s.reportError(err)
	}
	preview, err := s.client.where(ctx, schedule.WhereRequest{Queue: s.Words[1], Job: job})
	if err != nil {
		return s.reportError(err)
	}
	if s.JSON {
		s.printJSON(preview)
	} else {
		s.printPreview(preview)
	}
	return exitDone
}

// jobToPlace returns the job as callers send it. It returns a *callError for a malformed job and a file that cannot be read.
func (s session) jobToPlace() (json.RawMessage, error) {
	if s.File == "" {
		return platform.EncodeJob(&structs.JobSpec{Steps: []structs.StepSpec{{
			Count: cmp.Or(s.Count, 1), Need: structs.Resources{CPU: s.CPU, MemoryMB: s.Memory}, Rack: s.Rack, Label: s.Label,
			Estimate: s.Estimate,
		}}}), nil
	}
	if s.jobOptions != (jobOptions{File: s.File}) {
		return nil, &callError{code: exitUsage, text: "--file holds the whole job; the other options of the job cannot be given with it"}
	}
	source := s.in
	if s.File != "-" {
		file, err := os.Open(s.File)
		if err != nil {
			return nil, &callError{code: exitUsage, text: err.Error()}
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	raw, err := io.ReadAll(io.LimitReader(source, admin.MaxRequestBytes))
	if err != nil {
		return nil, &callError{code: exitUsage, text: err.Error()}
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return nil, &callError{code: exitUsage, text: "the file " + s.File + " holds no job: " + err.Error()}
	}
	return raw, nil
}

// where asks a gateway where a job would be placed now.
func (c *client) where(ctx context.Context, request schedule.WhereRequest) (*schedule.Preview, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &callError{code: exitUsage, text: err.Error()}
	}
	status, raw, err := c.plainCall(ctx, http.MethodPost, schedule.WherePath, body)
	if err != nil {
		return nil, &callError{code: exitUnreachable, text: fmt.Sprintf("no gateway within reach at %s: %v", c.base, err)}
	}
	if status == http.StatusOK {
		preview := &schedule.Preview{}
		if err := json.Unmarshal(raw, preview); err != nil {
			return nil, &callError{code: exitUnreachable, text: fmt.Sprintf("the answer of %s is not from a gateway: %v", c.base, err)}
		}
		return preview, nil
	}
	failure := &callError{code: exitUnreachable}
	if json.Unmarshal(raw, &failure.body) != nil || failure.body.Code == "" {
		failure.text = fmt.Sprintf("%s does not say where jobs are placed (status %d): is it the metrics address of a gateway of this version?",
			c.base, status)
		return nil, failure
	}
	failure.text = failure.body.Detail
	switch status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		failure.code = exitUsage
	case http.StatusNotFound, http.StatusUnprocessableEntity:
		failure.code = exitRefused
	}
	return nil, failure
}

// printPreview prints a preview as text and tables.
func (s session) printPreview(p *schedule.Preview) {
	s.println(printable(fmt.Sprintf("Queue %s of service %s at gateway %s in zone %s: %s", p.Queue, p.Service, p.Gateway, p.Zone,
		outcomeText(p))))
	s.println("Objective: an answer within " + roundTime(p.Objective) + ". Nothing is submitted.")
	s.printLines(p.Notes)
	for i := range p.Steps {
		s.printStep(&p.Steps[i])
	}
	if p.LaterSteps > 0 {
		s.println("", fmt.Sprintf("Steps that wait for others, or are not shown: %d.", p.LaterSteps))
	}
}

// outcomeText says what would happen to the job.
func outcomeText(p *schedule.Preview) string {
	switch p.Outcome {
	case schedule.PreviewPlaced:
		return "all tasks that may start get a server."
	case schedule.PreviewPartlyPlaced:
		return "some tasks get a server, the others wait."
	case schedule.PreviewRefused:
		return "the job is refused at once, " + p.Reason + retryText(p.RetryAfter) + "."
	case schedule.PreviewWaits:
		return "the job waits and is refused after " + roundTime(p.RefusedIn) + retryText(p.RetryAfter) + " if no server gets free."
	}
	return string(p.Outcome)
}

func retryText(after time.Duration) string {
	if after == 0 {
		return " (without Retry-After)"
	}
	return " (Retry-After " + roundTime(after) + ")"
}

func roundTime(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

func (s session) printStep(st *schedule.StepPreview) {
	title := fmt.Sprintf("Step %d: %d tasks, expected run time %s", st.Step, len(st.Choices), roundTime(st.ExpectedRunTime))
	if st.Rack != "" {
		title += ", data on rack " + st.Rack
	}
	s.println("", printable(title+"."), "")
	columns := []string{"server", "agent", "zone", "labels", "distance", "wait", "run", "load", "rank"}
	s.printRows("choice", append([]string{"task"}, columns...), choiceRows(st))
	var candidates [][]string
	for i := range st.Candidates {
		candidates = append(candidates, serverRow(st, &st.Candidates[i]))
	}
	s.println("", fmt.Sprintf("Candidates for the first task, the best first: %d.", len(candidates)))
	s.printRows("candidate", columns, candidates)
	if len(st.Excluded) == 0 {
		return
	}
	reasons := map[schedule.Exclusion]int{}
	var excluded [][]string
	for _, e := range st.Excluded {
		reasons[e.Reason]++
		excluded = append(excluded, append(serverNames(e.Server, e.Agent, e.Zone, e.Labels), string(e.Reason), cmp.Or(e.Detail, "-")))
	}
	var counts []string
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		counts = append(counts, fmt.Sprintf("%d %s", reasons[reason], reason))
	}
	s.println("", fmt.Sprintf("Excluded: %d (%s).", len(excluded), strings.Join(counts, ", ")))
	s.printRows("excluded server", []string{"server", "agent", "zone", "labels", "reason", "detail"}, excluded)
}

// printRows prints the first rows of a table, and the number of the others. The columns are aligned by printTable.
func (s session) printRows(kind string, columns []string, rows [][]string) {
	s.printTable(&admin.Result{Columns: columns, Rows: rows[:min(len(rows), maxWhereRows)]})
	if more := len(rows) - maxWhereRows; more > 0 {
		s.println(fmt.Sprintf("(and %d more of kind %s; --json prints all)", more, kind))
	}
}

// choiceRows returns a row for each task. Successive tasks that wait share one.
func choiceRows(st *schedule.StepPreview) [][]string {
	var rows [][]string
	for i := 0; i < len(st.Choices); i++ {
		c := st.Choices[i]
		if c.Server != nil {
			rows = append(rows, append([]string{fmt.Sprint(c.Task)}, serverRow(st, c.Server)...))
			continue
		}
		last := i
		for last+1 < len(st.Choices) && st.Choices[last+1].Server == nil {
			last++
		}
		tasks := fmt.Sprint(c.Task)
		if last > i {
			tasks += fmt.Sprintf("-%d", st.Choices[last].Task)
		}
		rows = append(rows, []string{tasks, "(waits)"})
		i = last
	}
	return rows
}

func serverRow(st *schedule.StepPreview, c *schedule.ServerPreview) []string {
	distance := "-"
	switch {
	case c.OffRack:
		distance = "off rack"
	case st.Rack != "":
		distance = "near"
	}
	return append(serverNames(c.Server, c.Agent, c.Zone, c.Labels), distance, roundTime(c.Wait), roundTime(c.Run),
		fmt.Sprintf("%.0f%%", 100*c.Load), c.Rank)
}

// serverNames returns the first columns of a server. A dash stands for what is not known, so that columns stay aligned.
func serverNames(server string, agent structs.AgentID, zone string, labels []string) []string {
	return []string{cmp.Or(server, "-"), string(agent), cmp.Or(zone, "-"), cmp.Or(strings.Join(labels, ","), "-")}
}
