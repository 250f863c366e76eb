// Command rosedrift-roomagent is the agent on the users' platform. It runs beside one backend server and decides which of
// the tasks that gateways place on the server start there.
package main

import (
	"context"
	"time"

	"rosedrift.example/rosedrift/internal/bootstrap"
	"rosedrift.example/rosedrift/internal/platformagent"
	"rosedrift.example/rosedrift/internal/structs"
)

func main() {
	bootstrap.Main("rosedrift-roomagent", func(ctx context.Context, p bootstrap.Process) error {
		return platformagent.New(platformagent.Options{
			Settings: p.Settings,
			Self:     structs.AgentRef{ID: structs.AgentID(p.Settings.Name), Incarnation: p.Incarnation},
			// The fencing token must be above those of earlier agents beside the same server. These ran one after the
			// other on the same VM, so that the clock orders them. If the clock was set back, the server rejects the token
			// and the agent raises it.
			Token:         uint64(time.Now().UnixMilli()),
			Logger:        p.Logger,
			Metrics:       p.Metrics,
			MetricsListen: p.MetricsListen,
		}).Run(ctx)
	})
}
