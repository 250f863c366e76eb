package main

import (
	"rosedrift.example/rosedrift/internal/explain"
)

// isWhyLogs reports whether the command is "why job JOB logs", which needs no gateway.
func (s session) isWhyLogs() bool {
	const words = 4
	return len(s.Words) == words && s.Words[0] == "why" && s.Words[1] == "job" && s.Words[3] == "logs"
}

// whyLogs explains a job of the users' platform from the log lines on standard input.
func (s session) whyLogs() int {
	events, err := explain.Read(s.in, s.Words[2])
	if err != nil {
		return s.fail(exitRefused, err.Error())
	}
	for _, e := range events {
		s.println(e.Line(events[0].At))
	}
	s.println(explain.Cause(events)...)
	return exitDone
}
