// Command rosedrift-entry is the gateway on the users' platform. It accepts callers' jobs and places their tasks on
// backend servers.
package main

import (
	"context"

	"rosedrift.example/rosedrift/internal/bootstrap"
	"rosedrift.example/rosedrift/internal/platformgateway"
	"rosedrift.example/rosedrift/internal/structs"
)

func main() {
	bootstrap.Main("rosedrift-entry", func(ctx context.Context, p bootstrap.Process) error {
		return platformgateway.New(platformgateway.Options{
			Settings:      p.Settings,
			Self:          structs.GatewayRef{ID: structs.GatewayID(p.Settings.Name), Incarnation: p.Incarnation},
			Logger:        p.Logger,
			Metrics:       p.Metrics,
			MetricsListen: p.MetricsListen,
			EarlyRefusal:  p.EarlyRefusal,
		}).Run(ctx)
	})
}
