package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/schedule"
)

// quarantines lists the queues in quarantine of the users' platform, or lifts one: quarantines [lift QUEUE].
func (s session) quarantines(ctx context.Context) int {
	const liftWords = 3
	switch {
	case len(s.Words) == 1:
		return s.listQuarantines(ctx)
	case len(s.Words) == liftWords && s.Words[1] == "lift":
		return s.liftQuarantine(ctx, s.Words[2])
	}
	return s.fail(exitUsage, "the commands are \"quarantines\" and \"quarantines lift QUEUE\"")
}

func (s session) listQuarantines(ctx context.Context) int {
	status, raw, err := s.client.plainCall(ctx, http.MethodGet, schedule.QuarantinesPath, nil)
	var states []schedule.QuarantineState
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(raw, &states)
	}
	if err != nil || status != http.StatusOK {
		return s.fail(exitUnreachable, fmt.Sprintf("%s gives no list of quarantines (status %d): is it the metrics address of a gateway? %v",
			s.client.base, status, err))
	}
	if s.JSON {
		s.printJSON(states)
		return exitDone
	}
	if len(states) == 0 {
		s.println("No queue is in quarantine.")
	}
	for _, q := range states {
		s.println(printable(fmt.Sprintf("Queue %s of service %s: last crash %s ago, ends in about %s.", q.Route, q.Service,
			q.LastCrash.Round(time.Second), q.EndsIn.Round(time.Second))))
		s.println(printable("  because: " + q.Evidence))
		names := make([]string, 0, len(q.Servers))
		for _, id := range q.Servers {
			names = append(names, string(id))
		}
		s.println(printable("  servers set apart: " + strings.Join(names, ", ")))
	}
	return exitDone
}

func (s session) liftQuarantine(ctx context.Context, queue string) int {
	if s.DryRun {
		s.println("It would end the quarantine of queue " + printable(queue) + " at all gateways. Nothing is changed.")
		return exitDone
	}
	if !s.Yes {
		_, _ = fmt.Fprintf(s.err, "Tasks of queue %s may crash servers of other queues again. Go on? [y/N] ", printable(queue))
		answer, _ := bufio.NewReader(s.in).ReadString('\n')
		if word := strings.ToLower(strings.TrimSpace(answer)); word != "y" && word != "yes" {
			return s.fail(exitRefused, "not confirmed; nothing is changed (--yes skips the question)")
		}
	}
	status, raw, err := s.client.plainCall(ctx, http.MethodDelete, schedule.QuarantinesPath+"/"+url.PathEscape(queue), nil)
	switch {
	case err != nil:
		return s.fail(exitUnknown, err.Error()+"; the change may have happened: list the quarantines")
	case status == http.StatusNoContent:
		s.println("The quarantine of queue " + printable(queue) + " has ended; one more crash begins it again.")
		return exitDone
	case status == http.StatusNotFound:
		return s.fail(exitRefused, "queue "+printable(queue)+" is not in quarantine; nothing is changed")
	}
	return s.fail(exitRefused, fmt.Sprintf("refused with status %d: %s", status, printable(strings.TrimSpace(string(raw)))))
}

// plainCall sends a request to a gateway of the users' platform. body is JSON, or empty.
func (c *client) plainCall(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	const maxAnswerBytes = 4 << 20
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read or is of no use
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, raw, err
}
