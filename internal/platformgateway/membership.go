package platformgateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/platform"
)

// Times of the gateways' registrations in the store.
const (
	// leaseTTL is how long the key of a gateway that has crashed remains. Meanwhile agents dial it about once a
	// second.
	leaseTTL = 5 * time.Second
	// renewInterval is the time between renewals of the lease. Two may fail.
	renewInterval = 1500 * time.Millisecond
	// renewRetryDelay is the time until the next attempt after a failed one. After all processes have crashed at
	// once, agents find a gateway only by its key.
	renewRetryDelay = 200 * time.Millisecond
	// maxMissingReads is the number of consecutive reads without this gateway's key after which it is written again. A
	// read may be seconds old.
	maxMissingReads = 5
	// readInterval is the time between reads of the list of gateways. A new gateway needs agents before it can serve,
	// and they learn of it from the list.
	readInterval = time.Second
	// maxReportedKeys bounds the log lines about entries without an address.
	maxReportedKeys = 64
)

// membership keeps this gateway's key in the store and passes the list of all gateways on to the agents.
type membership struct {
	gateway *Gateway

	// mu guards the fields below.
	mu    sync.Mutex
	lease store.LeaseID
	// missing counts the consecutive reads in which this gateway's key was missing although its lease is renewed. It is
	// used by run only.
	missing int
	// reported holds the keys of invalid entries that were logged, at most maxReportedKeys. It is used by run only.
	reported map[string]bool
}

func (m *membership) key() string { return platform.GatewayPrefix + string(m.gateway.options.Self.ID) }

// run renews the registration and reads the list of gateways until ctx ends.
func (m *membership) run(ctx context.Context) error {
	var renewAt time.Time
	for {
		pause := readInterval
		if now := time.Now(); !now.Before(renewAt) {
			if m.renew(ctx) {
				renewAt = now.Add(renewInterval)
			} else {
				pause = renewRetryDelay
			}
		}
		if pause == readInterval {
			m.read(ctx)
		}
		if !ctxtime.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// renew renews the lease, or writes the key under a new one. It reports whether the key is in the store.
func (m *membership) renew(ctx context.Context) bool {
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

// register writes the key under a new lease.
func (m *membership) register(ctx context.Context) bool {
	lease, err := m.gateway.store.GrantLease(ctx, max(leaseTTL, m.gateway.options.Settings.MinLeaseTTL))
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

// read passes the list of gateways on to the agents. While the store is unavailable, the last list stays in force. If
// this gateway's key is missing in the store, its address is added to the list.
func (m *membership) read(ctx context.Context) {
	list, err := platform.ReadGateways(ctx, m.gateway.store, true)
	if err != nil {
		return // operatorWatcher.run logs that the store is unavailable
	}
	m.reportInvalid(list)
	addresses := slices.Collect(maps.Values(list.Addresses))
	_, found := list.Addresses[m.key()]
	m.missing++
	if found {
		m.missing = 0
	} else {
		addresses = append(addresses, m.gateway.options.Settings.LinkAddress)
	}
	if m.missing >= maxMissingReads {
		_ = level.Warn(m.gateway.logger).Log("msg", "key of this gateway is missing in the store, registering again")
		m.missing = 0
		m.forgetLease()
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	m.gateway.loop.Post(func(time.Duration) { m.gateway.scheduler.SetGatewayAddresses(addresses) })
}

// reportInvalid logs the entries of the list that name no gateway, once for each key.
func (m *membership) reportInvalid(list platform.GatewayList) {
	m.gateway.metrics.invalidGateways.Update(float64(list.InvalidCount))
	for _, key := range list.Invalid {
		if m.reported[key] || len(m.reported) >= maxReportedKeys {
			continue
		}
		m.reported[key] = true
		_ = level.Warn(m.gateway.logger).Log("msg", "entry in the list of gateways has no address, ignored", "key", strconv.QuoteToASCII(key),
			"invalid", list.InvalidCount)
	}
}

// forgetLease makes the next renewal write the key under a new lease.
func (m *membership) forgetLease() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = 0
}

// leave revokes the lease at a graceful shutdown.
func (m *membership) leave() {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := m.gateway.store.Revoke(ctx, lease); err != nil {
		_ = level.Info(m.gateway.logger).Log("msg", "lease not revoked, it will expire", "err", err)
	}
}

// leaveTimeout bounds the last call of a graceful shutdown.
const leaveTimeout = 200 * time.Millisecond
