package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Limits of the tickets held for submissions without a key.
const (
	// ticketBatch is the number of tickets that one request fetches.
	ticketBatch = 256
	// ticketLifetime is how long a fetched ticket is used. The pool refuses tickets older than the retention period.
	ticketLifetime = time.Minute
	// fetchRetryPause is how long the failure of a fetch is also returned to other requests.
	fetchRetryPause = 500 * time.Millisecond
)

// ticketCache holds tickets of each pool for submissions without a key, so that such a submission does not need its own
// request to the owner.
type ticketCache struct {
	g *Gateway

	mu      sync.Mutex
	byPool  map[structs.PoolID]*poolTickets
	fetches map[structs.PoolID]*sync.Mutex
}

// poolTickets are the tickets of one pool from the last fetch.
type poolTickets struct {
	epoch     structs.Epoch
	fetchedAt time.Duration
	tickets   []string
	// problem is the result of the last fetch, nil if it returned tickets.
	problem *structs.Problem
}

func newTicketCache(g *Gateway) *ticketCache {
	return &ticketCache{g: g, byPool: map[structs.PoolID]*poolTickets{}, fetches: map[structs.PoolID]*sync.Mutex{}}
}

// take returns a ticket of a randomly chosen pool of the service.
func (c *ticketCache) take(ctx context.Context, service string, pools uint16) (string, *structs.Problem) {
	pool := randomPool(service, pools)
	if ticket, ok := c.takeHeld(pool); ok {
		return ticket, nil
	}
	fetch := c.fetchLock(pool)
	fetch.Lock()
	defer fetch.Unlock()
	if ticket, ok := c.takeHeld(pool); ok {
		return ticket, nil
	}
	if problem := c.recentProblem(pool); problem != nil {
		return "", problem
	}
	tickets, problem := c.g.fetchTickets(ctx, pool, ticketBatch)
	if problem != nil {
		c.store(pool, &poolTickets{problem: problem})
		return "", problem
	}
	parsed, _ := structs.ParseTicket(tickets[0])
	c.store(pool, &poolTickets{epoch: parsed.Epoch, tickets: tickets[1:]})
	return tickets[0], nil
}

// recentProblem returns the problem of a fetch that has failed within fetchRetryPause. Requests that have waited for
// that fetch must not start a fetch each.
func (c *ticketCache) recentProblem(pool structs.PoolID) *structs.Problem {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held := c.byPool[pool]; held != nil && c.g.now()-held.fetchedAt < fetchRetryPause {
		return held.problem
	}
	return nil
}

// fetchLock returns the lock that allows one fetch at a time for a pool.
func (c *ticketCache) fetchLock(pool structs.PoolID) *sync.Mutex {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetches[pool] == nil {
		c.fetches[pool] = &sync.Mutex{}
	}
	return c.fetches[pool]
}

// takeHeld returns a held ticket of the pool's current epoch.
func (c *ticketCache) takeHeld(pool structs.PoolID) (string, bool) {
	_, epoch, _ := c.g.pools.owner(pool)
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.byPool[pool]
	if held == nil || held.epoch != epoch || c.g.now()-held.fetchedAt > ticketLifetime || len(held.tickets) == 0 {
		return "", false
	}
	last := len(held.tickets) - 1
	ticket := held.tickets[last]
	held.tickets = held.tickets[:last]
	return ticket, true
}

func (c *ticketCache) store(pool structs.PoolID, held *poolTickets) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held.fetchedAt = c.g.now()
	c.byPool[pool] = held
}

// randomPool distributes tickets evenly over the pools of a service.
func randomPool(service string, pools uint16) structs.PoolID {
	return structs.PoolID{Service: service, Index: uint16(rand.IntN(int(max(pools, 1))))}
}

// fetchTickets requests tickets from the owner of a pool. Problems have outcome not_run, since issuing a ticket starts
// nothing.
func (g *Gateway) fetchTickets(ctx context.Context, pool structs.PoolID, count int) ([]string, *structs.Problem) {
	reply, problem := g.askOwner(ctx, structs.Forward{Kind: structs.ForwardTickets, Pool: pool, Count: count})
	if problem != nil {
		p := *problem
		p.Outcome = structs.OutcomeNotRun
		return nil, &p
	}
	if len(reply.Tickets) == 0 {
		return nil, refusal(structs.CodeInternal, "the owner of the pool issued no ticket")
	}
	return reply.Tickets, nil
}
