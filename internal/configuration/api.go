// Package configuration holds the operations on the operators' document: validation, changes under compare-and-swap
// with an audit entry, the decision which document a process applies, and the tracking of when a revision is in
// force.
//
// Document operations, Follower and InForce are pure. Author is the only part that calls the store.
package configuration

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Key is the store key of the configuration document, encoded as JSON by Encode.
const Key = "config"

// AuditPrefix is the prefix of the audit entries in the store.
const AuditPrefix = "audit/"

// Timing of changes.
const (
	// UnresponsiveAfter is the silence after which a process starts nothing by itself, so that a revision can be in force
	// without its acknowledgement.
	UnresponsiveAfter = structs.AgentContactTimeout
	// ChangeTimeout bounds a change, from reading the document to the resolution of a lost answer.
	ChangeTimeout = 3 * time.Second
	// InForceLimit is the promised time from acceptance to being in force everywhere.
	InForceLimit = 4 * time.Second
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	// Operator and Command are kept in the audit entry and told to the loser of a conflict.
	Operator string
	Command  string
	// Base is the revision that the operator has seen; the change is refused if the document has another one. Nil
	// means that the change fits any revision.
	Base *structs.Revision
	// Apply changes the document in place. It must not keep a reference and may be called more than once. Its error
	// refuses the change.
	Apply func(document *structs.Configuration) error
}

// MemberKind is the role of a process that acknowledges revisions.
type MemberKind string

// The roles.
const (
	MemberGateway MemberKind = "gateway"
	MemberAgent   MemberKind = "agent"
)

// MemberState says what is known of a process and one revision.
type MemberState string

// The states. A silent process counts as in force: it starts nothing until it hears a gateway again, and then it
// gets the current document first.
const (
	MemberAcknowledged MemberState = "acknowledged"
	MemberWaiting      MemberState = "waiting"
	MemberUnresponsive MemberState = "silent"
)

// MemberStatus is the state of one process for one revision.
type MemberStatus struct {
	Kind     MemberKind       `json:"kind"`
	Name     string           `json:"name"`
	Revision structs.Revision `json:"revision"`
	State    MemberState      `json:"state"`
	// SinceLastMessage is the time since the last message of the process.
	SinceLastMessage time.Duration `json:"silence_ns"`
}

// InForceStatus is the state of one revision.
type InForceStatus struct {
	Revision structs.Revision `json:"revision"`
	// InForce is true if no member is in MemberWaiting.
	InForce bool           `json:"in_force"`
	Members []MemberStatus `json:"members"`
}

// Waiting returns the members that have not acknowledged and are not silent.
func (s InForceStatus) Waiting() []MemberStatus { return s.filter(MemberWaiting) }

// Unresponsive returns the members that have not acknowledged and are silent.
func (s InForceStatus) Unresponsive() []MemberStatus { return s.filter(MemberUnresponsive) }

func (s InForceStatus) filter(state MemberState) []MemberStatus {
	var found []MemberStatus
	for _, member := range s.Members {
		if member.State == state {
			found = append(found, member)
		}
	}
	return found
}

// AuditState says whether an audit entry became part of the configuration.
type AuditState string

// The audit states. An undecided entry is newer than the document that was read: its change is under way or was given
// up, or the store answered with an old state.
const (
	AuditAccepted    AuditState = "accepted"
	AuditNotAccepted AuditState = "not accepted"
	AuditUndecided   AuditState = "undecided"
)

// AuditEntry is the stored record of a proposed change. It is written before the document, at the key
// audit/<revision, 20 digits>/<change id>: two authors racing for a revision must not overwrite each other's entry.
type AuditEntry struct {
	Revision structs.Revision `json:"revision"`
	Change   structs.Change   `json:"change"`
	// Parent is the change id of the document that the author read, which had the revision before. It proves that
	// this parent was accepted.
	Parent string `json:"parent"`
	// Diff lists the changed settings, cut to MaxAuditDiffBytes.
	Diff []string `json:"diff"`
	// Cut is the number of diff lines left out.
	Cut int `json:"cut,omitempty"`
}

// HistoryEntry is an audit entry with its state.
type HistoryEntry struct {
	AuditEntry
	State AuditState `json:"state"`
}

// HistoryPage is a part of the history, newest first.
type HistoryPage struct {
	Entries []HistoryEntry `json:"entries"`
	// Next is the value of before for the next, older page, 0 at the end.
	Next structs.Revision `json:"next,omitempty"`
}

// Functions and methods for the gateway and the agent:
//
//	Encode(document *structs.Configuration) ([]byte, error)      // the form in the store and in ConfigDocument
//	Decode(raw []byte) (*structs.Configuration, error)
//	Default() *structs.Configuration                             // revision 0, before the first change
//
//	NewAuthor(store store.Store, options AuthorOptions) *Author
//	AuthorOptions{Majority func(document *structs.Configuration) []structs.PoolID} // the pools without a majority
//	(a *Author) Propose(ctx context.Context, p Proposal) (*structs.Configuration, error) // errors: see Problem
//	(a *Author) History(ctx context.Context, before structs.Revision, limit int) (HistoryPage, error)
//	Problem(err error) *structs.Problem                          // translates the errors of this package
//
//	NewFollower() *Follower
//	(f *Follower) Offer(raw []byte) (applied bool, err error)    // from the store, a peer or an agent
//	(f *Follower) Current() *structs.Configuration               // read only, never nil
//
//	NewInForce() *InForce                                        // not safe for concurrent use
//	(i *InForce) SawAgent(now time.Duration, agent structs.AgentRef, revision structs.Revision)
//	(i *InForce) SawGateway(now time.Duration, gateway structs.GatewayRef, own, agents structs.Revision)
//	(i *InForce) Left(kind MemberKind, name string)              // gone for good: stopped, or lost for LostAfter
//	(i *InForce) Agents(now time.Duration) structs.Revision      // the value of PeerHeartbeat.InForce
//	(i *InForce) Status(now time.Duration, revision structs.Revision) ForceStatus
