package supervisor

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

const (
	// crashRetention is how long a crash is reported to gateways that link later. Callers submit a job again within
	// seconds.
	crashRetention = time.Minute
	// maxNotices bounds the notices that are kept.
	maxNotices = 64
)

// notice is a message for all gateways, also for those that link later. A newer notice replaces one with the same key.
type notice struct {
	key string
	// number orders the notices by their creation.
	number  uint64
	at      time.Duration
	typ     structs.MessageType
	message func(age time.Duration) any
}

// addNotice stores a notice, in place of an earlier one with the same key. It is sent with the next messages.
func (s *Supervisor) addNotice(n notice) {
	s.notices = slices.DeleteFunc(s.notices, func(other notice) bool { return other.key == n.key })
	if len(s.notices) >= maxNotices {
		s.notices = s.notices[1:]
	}
	s.lastNotice++
	n.number = s.lastNotice
	s.notices = append(s.notices, n)
}

// sendNotices sends a gateway the notices that it has not got on this link.
func (s *Supervisor) sendNotices(g *gateway) {
	for _, n := range s.notices {
		if n.number > g.lastNotice && s.now-n.at < crashRetention {
			s.send(g, n.typ, n.message(s.now-n.at))
		}
	}
	g.lastNotice = s.lastNotice
}

// recordCrash reports that the server's process has ended with its runs, unless the server had announced its end or the
// crash of this incarnation is reported already. A server that is merely silent has not crashed.
func (s *Supervisor) recordCrash() {
	if s.server == nil || s.server.Draining || s.crashReported || len(s.activeRuns) == 0 {
		return
	}
	s.crashReported = true
	report := structs.CrashReport{Server: s.server.ID, StartTime: s.server.StartTime}
	var runs []string
	for _, run := range s.sortedActiveRuns() {
		age := s.now - run.startedAt
		runs = append(runs, fmt.Sprintf("%s run %d age %v", run.Task, run.Run, age.Round(time.Millisecond)))
		if run.job != "" {
			report.Runs = append(report.Runs, structs.CrashedRun{Job: run.job, Step: run.step, Index: run.index, Run: run.Run, Age: age})
		}
	}
	s.log(LogEntry{Message: MessageCrashed, Detail: fmt.Sprintf("%s started at %d, runs %d: %s",
		s.server.ID, s.server.StartTime, len(runs), strings.Join(runs, ", "))})
	if len(report.Runs) > 0 {
		s.addCrashNotice(report)
	}
}

// withdrawCrash withdraws the report of a crash: the same incarnation has answered a request that was sent later.
func (s *Supervisor) withdrawCrash() {
	if !s.crashReported {
		return
	}
	s.crashReported = false
	s.log(LogEntry{Message: "server has not crashed", Detail: s.server.ID})
	s.addCrashNotice(structs.CrashReport{Server: s.server.ID, StartTime: s.server.StartTime})
}

func (s *Supervisor) addCrashNotice(report structs.CrashReport) {
	s.addNotice(notice{
		key: "crash/" + report.Server + "/" + strconv.FormatInt(report.StartTime, 10), at: s.now, typ: structs.TypeCrashReport,
		message: func(age time.Duration) any {
			aged := report
			aged.Age = age
			return &aged
		},
	})
}

// RelayQuarantine passes the state of a quarantine from one gateway on to the others, unless it is out of date.
func (s *Supervisor) RelayQuarantine(now time.Duration, in *structs.Quarantine) {
	s.advance(now)
	if in.Version <= s.quarantineVersions[in.Route] {
		return
	}
	s.quarantineVersions[in.Route] = in.Version
	state := *in
	s.addNotice(notice{
		key: "quarantine/" + in.Route, at: s.now, typ: structs.TypeQuarantine,
		message: func(age time.Duration) any {
			aged := state
			aged.Age += age
			return &aged
		},
	})
}
