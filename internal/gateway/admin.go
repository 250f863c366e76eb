package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/structs"
)

var _ admin.System = (*Gateway)(nil)

// The queries that a gateway answers about its pools. Arguments follow after a space, as JSON except for queryGone.
const (
	queryPools  = "pools"
	queryAgents = "agents"
	queryJobs   = "jobs"
	queryGone   = "gone"
)

// jobsArguments are the arguments of queryJobs.
type jobsArguments struct {
	Service string `json:"service"`
	Limit   int    `json:"limit"`
}

// maxJobsPerQuery limits the jobs in one gateway's answer to a query.
const maxJobsPerQuery = 10_000

// answerQuery answers a query of another gateway.
func (g *Gateway) answerQuery(ctx context.Context, f *structs.Forward) *structs.ForwardReply {
	ctx, cancel := context.WithTimeout(ctx, admin.QueryTimeout)
	defer cancel()
	items, problem := g.localQuery(ctx, f.Query)
	if problem != nil {
		return &structs.ForwardReply{ID: f.ID, Problem: problem}
	}
	data, err := json.Marshal(items)
	if err != nil {
		return &structs.ForwardReply{ID: f.ID, Problem: refusal(structs.CodeInternal, err.Error())}
	}
	return &structs.ForwardReply{ID: f.ID, Data: data}
}

// localQuery answers a query about the pools that this gateway owns.
func (g *Gateway) localQuery(ctx context.Context, query string) (any, *structs.Problem) {
	verb, arguments, _ := strings.Cut(query, " ")
	switch verb {
	case queryPools:
		return g.localPools(ctx), nil
	case queryAgents:
		return g.localAgents(ctx), nil
	case queryJobs:
		var a jobsArguments
		if err := json.Unmarshal([]byte(arguments), &a); err != nil {
			return nil, refusal(structs.CodeBadRequest, err.Error())
		}
		return g.localJobs(ctx, a), nil
	case queryGone:
		g.pools.push(ctx, ownership.GatewayGone{Gateway: structs.GatewayID(arguments)})
		return []string{}, nil
	}
	return nil, refusal(structs.CodeBadRequest, fmt.Sprintf("unknown query %.32q", verb))
}

// collectFromPools calls a function in the runner of each owned pool and collects the results. It skips runners that
// have ended, and returns what it has when the context ends.
func collectFromPools[T any](ctx context.Context, g *Gateway, query func(r *poolRunner) []T) []T {
	items := []T{}
	for _, r := range g.pools.all() {
		result := make(chan []T, 1)
		r.send(runnerCall(func(r *poolRunner) { result <- query(r) }))
		select {
		case part := <-result:
			items = append(items, part...)
		case <-r.done:
		case <-ctx.Done():
			return items
		}
	}
	return items
}

func (g *Gateway) localPools(ctx context.Context) []admin.PoolInfo {
	return collectFromPools(ctx, g, func(r *poolRunner) []admin.PoolInfo {
		epoch, mode, _ := g.pools.mode(r.pool)
		return []admin.PoolInfo{{
			Pool: r.pool, Owner: g.self, Epoch: epoch, Mode: mode, Roster: r.rosterSize(), Stats: r.machine.Stats(),
		}}
	})
}

// rosterSize counts the agents that the ownership machine has reported as eligible.
func (r *poolRunner) rosterSize() int {
	count := 0
	for _, a := range r.agents {
		if a.eligible {
			count++
		}
	}
	return count
}

func (g *Gateway) localAgents(ctx context.Context) []admin.AgentInfo {
	revisions := g.config.agentRevisions()
	return collectFromPools(ctx, g, func(r *poolRunner) []admin.AgentInfo {
		var list []admin.AgentInfo
		for _, status := range r.machine.Agents() {
			list = append(list, admin.AgentInfo{
				Pool: r.pool, Revision: revisions[string(status.Agent.ID)], Status: status,
			})
		}
		return list
	})
}

func (g *Gateway) localJobs(ctx context.Context, a jobsArguments) []structs.JobStatus {
	limit := min(max(a.Limit, 1), maxJobsPerQuery)
	jobs := collectFromPools(ctx, g, func(r *poolRunner) []structs.JobStatus {
		if a.Service != "" && a.Service != r.pool.Service {
			return nil
		}
		return r.machine.Jobs(g.now(), limit)
	})
	return jobs[:min(len(jobs), limit)]
}

// agentRevisions returns the configuration revision that each agent has acknowledged.
func (c *config) agentRevisions() map[string]structs.Revision {
	revisions := map[string]structs.Revision{}
	for _, m := range c.status(c.revision()).Members {
		if m.Kind == configuration.MemberAgent {
			revisions[m.Name] = m.Revision
		}
	}
	return revisions
}

// queryAll queries all gateways and collects their items. It lists the gateways that do not answer.
func queryAll[T any](ctx context.Context, g *Gateway, query string) admin.Answers[T] {
	ctx, cancel := context.WithTimeout(ctx, admin.QueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := admin.Answers[T]{Items: []T{}}
	for id, out := range g.peers.outbounds() {
		group.Go(func() {
			items, ok := queryPeer[T](ctx, out, query)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				answers.Unresponsive = append(answers.Unresponsive, id)
			}
			answers.Items = append(answers.Items, items...)
		})
	}
	own, problem := g.localQuery(ctx, query)
	group.Wait()
	if items, ok := own.([]T); ok && problem == nil {
		answers.Items = append(answers.Items, items...)
	}
	slices.Sort(answers.Unresponsive)
	return answers
}

// queryPeer queries one gateway, and returns false if it does not answer.
func queryPeer[T any](ctx context.Context, out *outbound, query string) ([]T, bool) {
	if out == nil {
		return nil, false
	}
	reply, err := out.call(ctx, structs.Forward{Kind: structs.ForwardQuery, Query: query})
	if err != nil || reply.Problem != nil {
		return nil, false
	}
	var items []T
	if err := json.Unmarshal(reply.Data, &items); err != nil {
		return nil, false
	}
	return items, true
}

// outbounds returns the dialed links to the known gateways; the link of an unreachable gateway is nil.
func (p *peers) outbounds() map[structs.GatewayID]*outbound {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make(map[structs.GatewayID]*outbound, len(p.byID))
	for id, known := range p.byID {
		links[id] = known.outbound
	}
	return links
}

// Self implements admin.System.
func (g *Gateway) Self() structs.GatewayID { return g.self.ID }

// Propose implements admin.System.
func (g *Gateway) Propose(
	ctx context.Context, proposal configuration.Proposal,
) (*structs.Configuration, error) {
	document, err := g.config.writer.Propose(ctx, proposal)
	if err != nil {
		return nil, err
	}
	raw, err := configuration.Encode(document)
	if err != nil {
		return nil, err
	}
	g.config.offer(ctx, raw)
	return document, nil
}

// InForce implements admin.System.
func (g *Gateway) InForce(_ context.Context, revision structs.Revision) configuration.InForceStatus {
	return g.config.status(revision)
}

// History implements admin.System.
func (g *Gateway) History(
	ctx context.Context, before structs.Revision, limit int,
) (configuration.HistoryPage, error) {
	return g.config.writer.History(ctx, before, limit)
}

// Gateways implements admin.System.
func (g *Gateway) Gateways(context.Context) []admin.GatewayInfo {
	own := admin.GatewayInfo{
		Gateway: g.self, Zone: g.options.Zone, Revision: g.config.revision(), Self: true,
		Stopping: g.stopping.Load(), StoreReachable: g.storeReachable(), Pools: poolIDs(g.pools.ownedPools()),
	}
	list := append(g.peers.infos(), own)
	slices.SortFunc(list, func(a, b admin.GatewayInfo) int {
		return strings.Compare(string(a.Gateway.ID), string(b.Gateway.ID))
	})
	return list
}

// infos describes the known gateways for the admin API.
func (p *peers) infos() []admin.GatewayInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []admin.GatewayInfo
	now := p.g.now()
	for _, known := range p.byID {
		list = append(list, admin.GatewayInfo{
			Gateway: known.ref, Zone: known.zone, Revision: known.revision, Stopping: known.stopping,
			SinceLastMessage: now - known.lastContact, Pools: poolIDs(known.owned),
		})
	}
	return list
}

func poolIDs(owned []structs.OwnedPool) []structs.PoolID {
	pools := make([]structs.PoolID, len(owned))
	for i, o := range owned {
		pools[i] = o.Pool
	}
	return pools
}

// Pools implements admin.System.
func (g *Gateway) Pools(ctx context.Context) admin.Answers[admin.PoolInfo] {
	answers := queryAll[admin.PoolInfo](ctx, g, queryPools)
	owned := map[structs.PoolID]bool{}
	for _, info := range answers.Items {
		owned[info.Pool] = true
	}
	for _, pool := range poolsOf(g.config.current()) {
		if !owned[pool] {
			answers.Items = append(answers.Items, admin.PoolInfo{Pool: pool, Mode: dispatch.Suspended})
		}
	}
	slices.SortFunc(answers.Items, func(a, b admin.PoolInfo) int {
		return strings.Compare(a.Pool.String(), b.Pool.String())
	})
	return answers
}

// Agents implements admin.System.
func (g *Gateway) Agents(ctx context.Context) admin.Answers[admin.AgentInfo] {
	return queryAll[admin.AgentInfo](ctx, g, queryAgents)
}

// Jobs implements admin.System.
func (g *Gateway) Jobs(ctx context.Context, service string, limit int) admin.Answers[structs.JobStatus] {
	arguments, _ := json.Marshal(jobsArguments{Service: service, Limit: limit})
	return queryAll[structs.JobStatus](ctx, g, queryJobs+" "+string(arguments))
}

// Job implements admin.System.
func (g *Gateway) Job(ctx context.Context, job structs.JobID) (structs.JobStatus, error) {
	return g.jobStatus(ctx, structs.Forward{Kind: structs.ForwardStatus, Pool: job.Pool, Job: job})
}

// CancelJob implements admin.System.
func (g *Gateway) CancelJob(ctx context.Context, job structs.JobID) (structs.JobStatus, error) {
	f := structs.Forward{Kind: structs.ForwardCancel, Pool: job.Pool, Job: job, Wait: cancelTimeout}
	if _, err := g.jobStatus(ctx, f); err != nil {
		return structs.JobStatus{}, err
	}
	return g.Job(ctx, job)
}

// jobStatus sends a request about a job to its owner and returns the job's status.
func (g *Gateway) jobStatus(ctx context.Context, f structs.Forward) (structs.JobStatus, error) {
	reply, problem := g.askOwner(ctx, f)
	switch {
	case problem != nil:
		return structs.JobStatus{}, problem
	case reply.Status != nil:
		return *reply.Status, nil
	}
	status := structs.JobStatus{Job: f.Job, Outcome: reply.Answer.Outcome, Tasks: len(reply.Answer.Results)}
	if reply.Answer.Problem != nil {
		status.Reason = reply.Answer.Problem.Detail
	}
	return status, nil
}

// GatewayGone implements admin.System.
func (g *Gateway) GatewayGone(ctx context.Context, gateway structs.GatewayID) error {
	for _, info := range g.Gateways(ctx) {
		if info.Gateway.ID == gateway && (info.Self || info.SinceLastMessage < structs.LostAfter) {
			return refusal(structs.CodeConflict, fmt.Sprintf("gateway %s still sends heartbeats", gateway))
		}
	}
	queryAll[string](ctx, g, queryGone+" "+string(gateway))
	return nil
}
