package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/query"
	"rosedrift.example/rosedrift/internal/structs"
)

// execute runs a command at the gateway: confirmation, command, result, wait until a change is in force.
func (s session) execute(ctx context.Context, line, document string, command *query.Command) int {
	request := admin.Request{Command: line, Document: document, DryRun: s.DryRun && !command.ReadOnly()}
	if command.NeedsConfirmation() && !s.Yes && !s.DryRun {
		if code := s.confirm(ctx, request); code != exitDone {
			return code
		}
	}
	result, err := s.client.execute(ctx, request)
	if err != nil {
		return s.failed(err, command)
	}
	code, sentences := exitDone, []string(nil)
	if result.Revision > 0 {
		code, sentences = s.awaitInForce(ctx, result)
	}
	s.print(result, sentences)
	return code
}

// confirm shows what a dry run says and asks.
func (s session) confirm(ctx context.Context, request admin.Request) int {
	request.DryRun = true
	preview, err := s.client.execute(ctx, request)
	if err != nil {
		// Nothing was asked to change, so a lost answer leaves no doubt.
		var failure *callError
		if errors.As(err, &failure) && failure.code == exitUnknown {
			return s.fail(exitUnreachable, failure.text+"; nothing is changed")
		}
		return s.problem(err)
	}
	for _, sentence := range slices.Concat(preview.Text, preview.Notes) {
		_, _ = fmt.Fprintln(s.err, printable(sentence))
	}
	_, _ = fmt.Fprintf(s.err, "%s: go on? [y/N] ", request.Command)
	answer, _ := bufio.NewReader(s.in).ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return exitDone
	}
	return s.fail(exitRefused, "not confirmed; nothing is changed (--yes does not ask)")
}

// failed reports an error of a command that may change something.
func (s session) failed(err error, command *query.Command) int {
	var failure *callError
	if errors.As(err, &failure) && failure.code == exitUnknown && failure.body.Code == "" {
		if command.ReadOnly() || s.DryRun {
			return s.fail(exitUnreachable, failure.text)
		}
		failure.text += "; the change may have happened: look at the history"
	}
	return s.problem(err)
}

// problem prints an error and returns its exit code.
func (s session) problem(err error) int {
	code := exitUsage
	var failure *callError
	var local *structs.Problem
	body := admin.ProblemBody{Detail: err.Error()}
	switch {
	case errors.As(err, &failure):
		code, body = failure.code, failure.body
	case errors.As(err, &local):
		body = admin.ProblemBody{Detail: local.Detail, Code: local.Code, Outcome: local.Outcome.String()}
	}
	if body.Detail == "" {
		body.Detail = err.Error()
	}
	if s.JSON {
		s.printJSON(body)
		return code
	}
	return s.fail(code, body.Detail)
}

// awaitInForce waits until the revision is in force or the timeout ends, and says which.
func (s session) awaitInForce(ctx context.Context, result *admin.Result) (int, []string) {
	deadline := time.Now().Add(s.Timeout)
	for {
		answer, err := s.client.inForce(ctx, result.Revision, min(time.Until(deadline), admin.MaxInForceWait))
		if err != nil {
			return exitNotInForce, []string{"It is accepted; whether it is in force cannot be told: " + err.Error() + "."}
		}
		result.InForce = &answer.ForceStatus
		if answer.InForce {
			return exitDone, inForceText(result, answer)
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return exitNotInForce, notInForceText(s.Timeout, answer.ForceStatus)
		}
	}
}

func inForceText(result *admin.Result, answer *admin.InForceAnswer) []string {
	after := max(0, answer.At.Sub(result.AcceptedAt)).Round(100 * time.Millisecond)
	text := []string{fmt.Sprintf("In force everywhere since %s, %s after it was accepted.", answer.At.UTC().Format(time.TimeOnly+" MST"), after)}
	if silent := answer.Silent(); len(silent) > 0 {
		text = append(text, "Silent, so that they start nothing until they have it: "+members(silent)+".")
	}
	return text
}

func notInForceText(timeout time.Duration, status configuration.ForceStatus) []string {
	return []string{
		fmt.Sprintf("Not yet in force after %s. It stays accepted and goes on by itself.", timeout),
		"No acknowledgement from " + members(status.Waiting()) + ".",
	}
}

// maxNamed bounds the members named in one sentence.
const maxNamed = 10

func members(list []configuration.MemberStatus) string {
	var names []string
	for _, member := range list[:min(len(list), maxNamed)] {
		names = append(names, fmt.Sprintf("%s %s (has revision %d, last heard %s ago)", member.Kind, member.Name,
			member.Revision, member.Silence.Round(100*time.Millisecond)))
	}
	if more := len(list) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}

func (s session) print(result *admin.Result, sentences []string) {
	result.Text = append(result.Text, sentences...)
	if s.JSON {
		s.printJSON(result)
		return
	}
	if result.Document != "" {
		_, _ = fmt.Fprint(s.out, result.Document)
	}
	s.printLines(result.Text)
	s.printTable(result)
	s.printLines(result.Notes)
}

func (s session) printJSON(value any) {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
