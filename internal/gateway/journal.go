package gateway

import (
	"context"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

type journalDuty struct {
	g *Gateway
}

func newJournalDuty(g *Gateway) *journalDuty { return &journalDuty{g: g} }

func (j *journalDuty) run(context.Context) error { return nil }

func (j *journalDuty) append(r *runner, entries []dispatch.JournalEntry) {
	keys := make([]structs.KeyHash, len(entries))
	for i, e := range entries {
		keys[i] = e.Key
	}
	go r.send(dispatch.Journaled{Keys: keys})
}

func (j *journalDuty) readBack(ctx context.Context, pool structs.PoolID, epoch structs.Epoch) {
	j.g.control.push(ctx, ownership.JournalRead{Pool: pool, Epoch: epoch})
}

func (j *journalDuty) attached(r *runner) {
	go j.g.control.push(j.g.ctx, ownership.BacklogWritten{Pool: r.pool})
}
