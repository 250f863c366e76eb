// Command rosedrift-roomagent is the agent on the users' platform: it runs beside one backend server and decides which
// of the gateways' tasks start there.
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
			// Agents beside one server run one after the other on one VM, so the time orders them; the agent raises the
			// token if the clock was set back.
			Token:         uint64(time.Now().UnixMilli()),
			Logger:        p.Logger,
			Metrics:       p.Metrics,
			MetricsListen: p.MetricsListen,
		}).Run(ctx)
	})
}
