package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// memberPrefix is the store prefix of the running gateways' member keys. Each key is bound to the lease of its gateway.
const memberPrefix = "members/"

// renewalTimeout limits one renewal, so that after a lost reply there is time for another renewal within
// ownership.LeaseValidity.
const renewalTimeout = 900 * time.Millisecond

// renewalPause is the pause after a failed renewal.
const renewalPause = 100 * time.Millisecond

// member is the value of a member key.
type member struct {
	Gateway structs.GatewayRef `json:"gateway"`
	Zone    string             `json:"zone"`
	// Links is the address (host:port) for links from agents and gateways, API that of the caller API.
	Links string `json:"links"`
	API   string `json:"api"`
}

// renewLease is the loop that maintains this gateway's lease and member key in the store.
func (g *Gateway) renewLease(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := g.now()
		err := g.renewOnce(ctx)
		if err != nil {
			g.renewalFailed(ctx, err)
			ctxtime.Sleep(ctx, renewalPause)
			continue
		}
		if !g.storeReachable() {
			_ = level.Info(g.logger).Log("msg", "store lease active")
		}
		g.lastRenewal.Store(int64(sentAt))
		g.health.MarkReady("starting")
		g.pools.push(ctx, ownership.LeaseRenewed{SentAt: sentAt})
		ctxtime.Sleep(ctx, max(0, ownership.LeaseRenewal-(g.now()-sentAt)))
	}
	return nil
}

// renewOnce extends the lease. Without a lease it acquires a new one and registers the gateway under it. A lease is
// used only after its member key is written, since other gateways see only the key.
func (g *Gateway) renewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	if lease := g.lease.Load(); lease != 0 {
		return g.options.Store.KeepAlive(ctx, store.LeaseID(lease))
	}
	lease, err := g.options.Store.GrantLease(ctx, ownership.LeaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(member{
		Gateway: g.self, Zone: g.options.Zone, Links: g.options.Advertise, API: g.options.Listener.Addr().String(),
	})
	if err != nil {
		return err
	}
	if err := g.register(ctx, value, lease); err != nil {
		return err
	}
	g.lease.Store(uint64(lease))
	return nil
}

// register writes the member key under a new lease. The write expects the version just read: otherwise an earlier
// attempt whose reply was lost could take effect later and bind the key to an older lease. The key would then be
// deleted with that lease while the gateway relies on the new one.
func (g *Gateway) register(ctx context.Context, value []byte, lease store.LeaseID) error {
	key := memberPrefix + string(g.self.ID)
	entry, err := g.options.Store.Get(ctx, key)
	if err != nil && !store.IsKind(err, store.KindNotFound) {
		return err
	}
	_, err = g.options.Store.Put(ctx, key, value, entry.Version, lease)
	return err
}

// renewalFailed logs a failed renewal, and gives up a lease that the store no longer has.
func (g *Gateway) renewalFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if g.lease.Load() != 0 && store.IsKind(err, store.KindNotFound) {
		g.lease.Store(0)
		_ = level.Warn(g.logger).Log("msg", "store lease expired, another gateway may own the pools now")
		g.pools.push(ctx, ownership.LeaseExpired{})
		return
	}
	logger := level.Debug(g.logger)
	if g.storeReachable() {
		logger = level.Warn(g.logger)
	}
	_ = logger.Log("msg", "lease renewal failed", "err", err)
}

// storeReachable reports whether a renewal has succeeded within ownership.LeaseValidity.
func (g *Gateway) storeReachable() bool {
	last := time.Duration(g.lastRenewal.Load())
	return last > 0 && g.now()-last < ownership.LeaseValidity
}
