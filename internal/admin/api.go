// Package admin is the operators' HTTP interface of a gateway: commands, configuration, audit trail, completion and
// the status page.
package admin

import (
	"context"
	"time"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// QueryTimeout is how long a fan-out waits for the gateways' answers before it names them as silent.
const QueryTimeout = 2 * time.Second

// Answers holds the answers of all gateways that answered within QueryTimeout.
type Answers[T any] struct {
	Items []T `json:"items"`
	// Unresponsive lists the gateways that are known but did not answer; their items are missing.
	Unresponsive []structs.GatewayID `json:"silent,omitempty"`
}

// GatewayInfo describes one gateway.
type GatewayInfo struct {
	Gateway  structs.GatewayRef `json:"gateway"`
	Zone     string             `json:"zone"`
	Revision structs.Revision   `json:"revision"`
	// Self is true for the gateway that answers the query.
	Self bool `json:"self,omitempty"`
	// Stopping is true during a planned stop.
	Stopping bool `json:"stopping,omitempty"`
	// SinceLastMessage is the time since the gateway's last message, 0 for the answering gateway.
	SinceLastMessage time.Duration `json:"silence_ns"`
	// StoreReachable is false while the gateway's lease renewals fail. It is known of the answering gateway only.
	StoreReachable bool             `json:"store_reachable,omitempty"`
	Pools          []structs.PoolID `json:"pools"`
}

// PoolInfo describes one pool as its owner reports it. A pool that nobody owns has an empty Owner; the answering
// gateway adds it from the configuration.
type PoolInfo struct {
	Pool  structs.PoolID     `json:"pool"`
	Owner structs.GatewayRef `json:"owner"`
	Epoch structs.Epoch      `json:"epoch"`
	Mode  dispatch.Mode      `json:"mode"`
	// Roster is the number of agents in the stored roster.
	Roster int            `json:"roster"`
	Stats  dispatch.Stats `json:"stats"`
}

// AgentInfo describes one agent as the owner of its pool reports it.
type AgentInfo struct {
	Pool     structs.PoolID       `json:"pool"`
	Revision structs.Revision     `json:"revision"`
	Status   dispatch.AgentStatus `json:"status"`
}

// System is what the admin side needs of a gateway. Methods are safe for concurrent use. Errors are of type
// *structs.Problem, or errors of package configuration for Propose and History.
type System interface {
	// Self returns the name of this gateway.
	Self() structs.GatewayID
	// Config returns the configuration that this gateway applies. It is read only and never nil.
	Config() *structs.Configuration
	// Propose makes a change through configuration.Author and returns the accepted document. The gateway applies the
	// document before it returns.
	Propose(ctx context.Context, proposal configuration.Proposal) (*structs.Configuration, error)
	// InForce returns the state of a revision as this gateway sees it, from configuration.InForce.
	InForce(ctx context.Context, revision structs.Revision) configuration.InForceStatus
	// History returns up to limit audit entries of revisions below before, newest first; 0 starts at the newest.
	History(ctx context.Context, before structs.Revision, limit int) (configuration.HistoryPage, error)
	// Gateways returns the gateways known to this one, including itself, also silent ones with a live lease.
	Gateways(ctx context.Context) []GatewayInfo
	// Pools asks all gateways for the pools that they own.
	Pools(ctx context.Context) Answers[PoolInfo]
	// Agents asks all gateways for the agents of their pools.
	Agents(ctx context.Context) Answers[AgentInfo]
	// Jobs asks all gateways for up to limit jobs each, of one service or, with an empty name, of all.
	Jobs(ctx context.Context, service string, limit int) Answers[structs.JobStatus]
	// Job returns the status of one job with the owner's Reason. An unknown job is CodeNotFound, a pool without an
	// owner is CodeUnavailable.
	Job(ctx context.Context, job structs.JobID) (structs.JobStatus, error)
	// CancelJob cancels a job and returns its status after that. Errors as for Job.
	CancelJob(ctx context.Context, job structs.JobID) (structs.JobStatus, error)
	// GatewayGone passes on, to all gateways, the operator's statement that a gateway will never run again. A gateway
	// that still sends heartbeats is refused with CodeConflict.
	GatewayGone(ctx context.Context, gateway structs.GatewayID) error
}

// Role orders the rights of an operator. A role includes the lower ones.
type Role uint8

// The roles: RoleView reads, RoleOperate takes zones and servers out and in and cancels jobs, RoleAdministrator
// changes services, teams and limits, imports, and declares gateways gone.
const (
	RoleNone Role = iota
	RoleView
	RoleOperate
	RoleAdministrator
)

var roleNames = [...]string{"none", "view", "operate", "administrator"}

// String returns the word used in the key file.
func (r Role) String() string { return roleNames[r] }

// ParseRole parses the word used in the key file.
func ParseRole(word string) (Role, bool) {
	for role := RoleView; role <= RoleAdministrator; role++ {
		if roleNames[role] == word {
			return role, true
		}
	}
	return RoleNone, false
}

// Operator is an authenticated operator.
type Operator struct {
	Name string
	Role Role
}

// Request is the body of POST /v1/admin/commands.
type Request struct {
	Command string `json:"command"`
	DryRun  bool   `json:"dry_run,omitempty"`
	// Document is the text of an import.
	Document string `json:"document,omitempty"`
}

// Result is the outcome of a command in a form that prints as a table or as JSON.
type Result struct {
	// Text says in sentences what happened and from when it is in force.
	Text []string `json:"text,omitempty"`
	// Columns and Rows hold a table.
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Data is the machine-readable content of a listing.
	Data any `json:"data,omitempty"`
	// Notes are sentences about missing or limited data, for example gateways that did not answer.
	Notes []string `json:"notes,omitempty"`
	// Document is the text of an export.
	Document string `json:"document,omitempty"`
	// Revision is the revision that the command created, 0 if it changed nothing.
	Revision structs.Revision `json:"revision,omitempty"`
	// AcceptedAt is the accepting gateway's time, set with Revision.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// InForce is set if the command created a revision.
	InForce *configuration.InForceStatus `json:"in_force,omitempty"`
	// Changed is true if the command changed something, also if that is no revision.
	Changed bool `json:"changed,omitempty"`
	// DryRun is true if the command would have changed something and was not executed.
	DryRun bool `json:"dry_run,omitempty"`
}

// Executor runs operators' commands; query.Executor implements it. The interface is here because package query
// imports this one.
type Executor interface {
	// Execute runs one command. It checks the caller's role.
	Execute(ctx context.Context, caller Operator, request Request) (*Result, *structs.Problem)
	// Complete returns the candidates for the last word of a partial line.
	Complete(ctx context.Context, line string) []string
}
