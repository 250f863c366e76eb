package platformgateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/platform"
)

// Times of the gateways' keys in the store.
const (
	// memberTTL is how long the key of a gateway that is gone stays. Agents dial it meanwhile, about once a second.
	memberTTL = 5 * time.Second
	// memberRenew is the time between renewals; two may fail.
	memberRenew = 1500 * time.Millisecond
	// memberRetry is the time until the next attempt after a failed one. Agents find a gateway by its key after all
	// processes were lost at once.
	memberRetry = 200 * time.Millisecond
	// memberRead is the time between reads of the list. A new gateway needs agents before it can serve.
	memberRead = time.Second
)

// members keeps this gateway's key in the store and tells the agents about the other gateways.
type members struct {
	gateway *Gateway

	// mu guards the fields below.
	mu    sync.Mutex
	lease store.LeaseID
}

func (m *members) key() string { return platform.GatewayPrefix + string(m.gateway.options.Self.ID) }

func (m *members) run(ctx context.Context) error {
	var renewAt time.Time
	for {
		pause := memberRead
		if now := time.Now(); !now.Before(renewAt) {
			if m.renew(ctx) {
				renewAt = now.Add(memberRenew)
			} else {
				pause = memberRetry
			}
		}
		if pause == memberRead {
			m.read(ctx)
		}
		if !ctxtime.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// renew keeps the lease alive, or writes the key under a new one. It reports whether the key is there.
func (m *members) renew(ctx context.Context) bool {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != 0 {
		err := m.gateway.store.KeepAlive(ctx, lease)
		if err == nil || !store.IsKind(err, store.KindNotFound) {
			return err == nil
		}
	}
	return m.register(ctx)
}

func (m *members) register(ctx context.Context) bool {
	lease, err := m.gateway.store.GrantLease(ctx, max(memberTTL, m.gateway.options.Settings.MinLeaseTTL))
	if err == nil {
		address := []byte(m.gateway.options.Settings.LinkAddress)
		_, err = m.gateway.store.Put(ctx, m.key(), address, store.AnyVersion, lease)
	}
	if err != nil {
		_ = level.Info(m.gateway.logger).Log("msg", "gateway not registered", "err", err)
		return false
	}
	m.mu.Lock()
	m.lease = lease
	m.mu.Unlock()
	_ = level.Info(m.gateway.logger).Log("msg", "gateway registered", "lease", lease)
	return true
}

// read passes the list of gateways to the agents. Without the store the last list stays. A key that the store has
// dropped is written again.
func (m *members) read(ctx context.Context) {
	entries, _, err := m.gateway.store.ListStale(ctx, platform.GatewayPrefix, "", 0)
	if err != nil {
		return // operator.run reports the loss of the store
	}
	addresses := make([]string, 0, len(entries))
	found := false
	for _, entry := range entries {
		addresses = append(addresses, string(entry.Value))
		found = found || entry.Key == m.key()
	}
	if !found {
		addresses = append(addresses, m.gateway.options.Settings.LinkAddress)
	}
	slices.Sort(addresses)
	m.gateway.loop.Post(func(time.Duration) { m.gateway.scheduler.SetGatewayAddresses(addresses) })
}

// leave ends the lease at a planned stop.
func (m *members) leave() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.gateway.store.Revoke(ctx, lease); err != nil {
		_ = level.Info(m.gateway.logger).Log("msg", "lease not ended, it lapses by itself", "err", err)
	}
}

// leaveTimeout bounds the last call of a planned stop.
const leaveTimeout = 200 * time.Millisecond
