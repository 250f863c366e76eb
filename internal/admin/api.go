// Package admin provides the HTTP interface of a gateway for operators: commands, configuration, audit trail, command
// completion and the status page.
package admin

import (
	"context"
	"time"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
)

// QueryTimeout is how long a query to all gateways waits for their answers. Gateways that have not answered by then are
// reported as unresponsive.
const QueryTimeout = 2 * time.Second

// Answers holds the combined answers of the gateways that answered within QueryTimeout.
type Answers[T any] struct {
	Items []T `json:"items"`
	// Unresponsive lists the known gateways that did not answer. Their items are missing.
	Unresponsive []structs.GatewayID `json:"silent,omitempty"`
}

// GatewayInfo describes one gateway.
type GatewayInfo struct {
	Gateway structs.GatewayRef `json:"gateway"`
	Zone    string             `json:"zone"`
	// Revision is the configuration revision that the gateway applies.
	Revision structs.Revision `json:"revision"`
	// Self is true for the gateway that answers the query.
	Self bool `json:"self,omitempty"`
	// Stopping is true during a graceful shutdown.
	Stopping bool `json:"stopping,omitempty"`
	// SinceLastMessage is the time since the gateway's last message, 0 for the answering gateway.
	SinceLastMessage time.Duration `json:"silence_ns"`
	// StoreReachable is false while the gateway's lease renewals fail. It is set only for the answering gateway.
	StoreReachable bool             `json:"store_reachable,omitempty"`
	Pools          []structs.PoolID `json:"pools"`
}

// PoolInfo describes one pool as its owner reports it. A pool without an owner is added by the answering gateway from
// the configuration, with an empty Owner.
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
	Pool structs.PoolID `json:"pool"`
	// Revision is the configuration revision that the agent has acknowledged.
	Revision structs.Revision     `json:"revision"`
	Status   dispatch.AgentStatus `json:"status"`
}

// System is the part of a gateway that this package and package query use. Its methods are safe for concurrent use.
// They return errors of type *structs.Problem; Propose and History also return errors of package configuration.
type System interface {
	// Self returns the name of this gateway.
	Self() structs.GatewayID
	// Config returns the configuration that this gateway applies. It is never nil and must not be changed.
	Config() *structs.Configuration
	// Propose makes a change through configuration.Writer and returns the accepted document. The gateway applies the
	// document before Propose returns.
	Propose(ctx context.Context, proposal configuration.Proposal) (*structs.Configuration, error)
	// InForce returns the state of a revision as this gateway's configuration.InForce tracks it.
	InForce(ctx context.Context, revision structs.Revision) configuration.InForceStatus
	// History returns up to limit audit entries of revisions below before, newest first; 0 starts at the newest.
	History(ctx context.Context, before structs.Revision, limit int) (configuration.HistoryPage, error)
	// Gateways returns the gateways known to this one, including itself and unresponsive ones whose lease has not
	// expired.
	Gateways(ctx context.Context) []GatewayInfo
	// Pools asks all gateways for the pools that they own.
	Pools(ctx context.Context) Answers[PoolInfo]
	// Agents asks all gateways for the agents of their pools.
	Agents(ctx context.Context) Answers[AgentInfo]
	// Jobs asks all gateways for up to limit jobs each, of one service or, if the name is empty, of all services.
	Jobs(ctx context.Context, service string, limit int) Answers[structs.JobStatus]
	// Job returns the status of one job with the owner's Reason. The error has CodeNotFound for an unknown job and
	// CodeUnavailable for a job whose pool has no owner.
	Job(ctx context.Context, job structs.JobID) (structs.JobStatus, error)
	// CancelJob cancels a job and returns its status after that. It returns the same errors as Job.
	CancelJob(ctx context.Context, job structs.JobID) (structs.JobStatus, error)
	// GatewayGone informs all gateways that, according to the operator, a gateway will never run again. The error has
	// CodeConflict if that gateway still sends heartbeats.
	GatewayGone(ctx context.Context, gateway structs.GatewayID) error
}

// Role is the role of an operator. A role includes the rights of the lower ones.
type Role uint8

// The roles. RoleNone has no rights. RoleView may read. RoleOperate may take zones and servers out of use and back, and
// cancel jobs. RoleAdministrator may change services, teams and limits, import a configuration, and declare gateways
// gone.
const (
	RoleNone Role = iota
	RoleView
	RoleOperate
	RoleAdministrator
)

var roleNames = [...]string{"none", "view", "operate", "administrator"}

// String returns the name of the role as used in the key file.
func (r Role) String() string { return roleNames[r] }

// ParseRole parses the name of a role as used in the key file. It rejects "none".
func ParseRole(name string) (Role, bool) {
	for role := RoleView; role <= RoleAdministrator; role++ {
		if roleNames[role] == name {
			return role, true
		}
	}
	return RoleNone, false
}

// Operator is an authenticated operator with its role.
type Operator struct {
	Name string
	Role Role
}

// Request is the body of POST /v1/admin/commands.
type Request struct {
	Command string `json:"command"`
	DryRun  bool   `json:"dry_run,omitempty"`
	// Document is the configuration to import, in the text form.
	Document string `json:"document,omitempty"`
}

// Result is the outcome of a command, which can be printed as a table or as JSON.
type Result struct {
	// Text holds sentences that say what happened and from when it is in force.
	Text []string `json:"text,omitempty"`
	// Columns and Rows are a table.
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Data is the machine-readable form of what a listing shows, or the job that the command is about.
	Data any `json:"data,omitempty"`
	// Notes are sentences about missing or incomplete data, for example about gateways that did not answer.
	Notes []string `json:"notes,omitempty"`
	// Document is the exported configuration in the text form.
	Document string `json:"document,omitempty"`
	// Revision is the revision that the command created, or 0 if it created none.
	Revision structs.Revision `json:"revision,omitempty"`
	// AcceptedAt is when the revision was accepted, by the clock of the gateway that executed the command. It is set if
	// Revision is.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// InForce is the state of the created revision, or nil.
	InForce *configuration.InForceStatus `json:"in_force,omitempty"`
	// Changed is true if the command changed something, even if it created no revision.
	Changed bool `json:"changed,omitempty"`
	// DryRun is true if the command was only checked and would have changed something.
	DryRun bool `json:"dry_run,omitempty"`
}

// Executor executes operators' commands. query.Executor implements it; the interface is declared here because package
// query imports this package.
type Executor interface {
	// Execute executes one command if the operator's role allows it.
	Execute(ctx context.Context, operator Operator, request Request) (*Result, *structs.Problem)
	// Complete returns the candidates for the last word of a partial command line.
	Complete(ctx context.Context, line string) []string
}
