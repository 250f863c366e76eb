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

// execute runs a command at the gateway. It asks for confirmation where the command needs it, waits until a change is in
// force, and prints the result.
func (s session) execute(ctx context.Context, line, document string, command *query.Command) int {
	request := admin.Request{Command: line, Document: document, DryRun: s.DryRun && !command.ReadOnly()}
	if command.NeedsConfirmation() && !s.Yes && !s.DryRun {
		if code := s.confirm(ctx, request); code != exitDone {
			return code
		}
	}
	result, err := s.client.execute(ctx, request)
	if err != nil {
		return s.reportFailure(err, command)
	}
	code, sentences := exitDone, []string(nil)
	if result.Revision > 0 {
		code, sentences = s.awaitInForce(ctx, result)
	}
	s.printResult(result, sentences)
	return code
}

// confirm prints the result of a dry run and asks whether to go on. It returns exitDone after a yes.
func (s session) confirm(ctx context.Context, request admin.Request) int {
	request.DryRun = true
	preview, err := s.client.execute(ctx, request)
	if err != nil {
		// The request was a dry run, so nothing is changed even if the answer was lost.
		var failure *callError
		if errors.As(err, &failure) && failure.code == exitUnknown {
			return s.fail(exitUnreachable, failure.text+"; nothing is changed")
		}
		return s.reportError(err)
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
	return s.fail(exitRefused, "not confirmed; nothing is changed (--yes skips the question)")
}

// reportFailure prints the error of a command that was sent to the gateway, and returns its exit code. If no answer of a
// gateway came back, a command that changes something may have done so.
func (s session) reportFailure(err error, command *query.Command) int {
	var failure *callError
	if errors.As(err, &failure) && failure.code == exitUnknown && failure.body.Code == "" {
		if command.ReadOnly() || s.DryRun {
			return s.fail(exitUnreachable, failure.text)
		}
		failure.text += "; the change may have happened: look at the history"
	}
	return s.reportError(err)
}

// reportError prints an error and returns its exit code.
func (s session) reportError(err error) int {
	code := exitUsage
	var failure *callError
	var problem *structs.Problem
	body := admin.ProblemBody{Detail: err.Error()}
	switch {
	case errors.As(err, &failure):
		code, body = failure.code, failure.body
	case errors.As(err, &problem):
		body = admin.ProblemBody{Detail: problem.Detail, Code: problem.Code, Outcome: problem.Outcome.String()}
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

// awaitInForce waits until the revision of the result is in force or the timeout ends. It returns the exit code and the
// sentences that say which.
func (s session) awaitInForce(ctx context.Context, result *admin.Result) (int, []string) {
	deadline := time.Now().Add(s.Timeout)
	for {
		answer, err := s.client.inForce(ctx, result.Revision, min(time.Until(deadline), admin.MaxInForceWait))
		if err != nil {
			return exitNotInForce, []string{"The change is accepted, but whether it is in force is unknown: " + err.Error() + "."}
		}
		result.InForce = &answer.InForceStatus
		if answer.InForce {
			return exitDone, inForceText(result, answer)
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return exitNotInForce, notInForceText(s.Timeout, answer.InForceStatus)
		}
	}
}

// inForceText says when the change came into force, and which unresponsive members have yet to receive it.
func inForceText(result *admin.Result, answer *admin.InForceResponse) []string {
	after := max(0, answer.At.Sub(result.AcceptedAt)).Round(100 * time.Millisecond)
	text := []string{fmt.Sprintf("In force everywhere since %s, %s after it was accepted.", answer.At.UTC().Format(time.TimeOnly+" MST"), after)}
	if unresponsive := answer.Unresponsive(); len(unresponsive) > 0 {
		text = append(text, "Silent, so that they start nothing until they have it: "+describeMembers(unresponsive)+".")
	}
	return text
}

// notInForceText names the members that have not acknowledged the change.
func notInForceText(timeout time.Duration, status configuration.InForceStatus) []string {
	return []string{
		fmt.Sprintf("Not yet in force after %s. The change stays accepted and comes into force without another command.", timeout),
		"No acknowledgement from " + describeMembers(status.Waiting()) + ".",
	}
}

// maxNamed bounds the members named in one sentence.
const maxNamed = 10

// describeMembers lists up to maxNamed members with their revisions and the number of the others.
func describeMembers(list []configuration.MemberStatus) string {
	var names []string
	for _, member := range list[:min(len(list), maxNamed)] {
		names = append(names, fmt.Sprintf("%s %s (has revision %d, last contact %s ago)", member.Kind, member.Name,
			member.Revision, member.SinceLastMessage.Round(100*time.Millisecond)))
	}
	if more := len(list) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}

// printResult prints the result as JSON or as text, with the sentences after the text of the result.
func (s session) printResult(result *admin.Result, sentences []string) {
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
