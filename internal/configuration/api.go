// Package configuration manages the configuration document, which operators change while the system runs: validation,
// changes under compare-and-swap with an audit entry, the choice of the document that a process applies, and the
// tracking of when a revision is in force, that is, when no live process acts on an older one.
//
// Writer is the only part that calls the store. Follower, InForce and the functions on documents are pure.
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
	// UnresponsiveAfter is the time without a message after which a process counts as unresponsive. By then it starts
	// no task on its own, so a revision can be in force without its acknowledgement.
	UnresponsiveAfter = structs.AgentContactTimeout
	// ChangeTimeout bounds a change, from reading the document to finding out whether a write with a lost answer took
	// effect.
	ChangeTimeout = 3 * time.Second
	// InForceLimit is the guaranteed time from the acceptance of a revision until it is in force everywhere.
	InForceLimit = 4 * time.Second
)

// Proposal is a change that an operator asks for.
type Proposal struct {
	// Operator and Command are stored in the audit entry. If this change wins a conflict, they are reported to the
	// operator of the other change.
	Operator string
	Command  string
	// Base is the revision that the change is based on; the change is refused if the document has another one. Nil
	// applies the change to any revision.
	Base *structs.Revision
	// Apply changes the document in place. It must not keep a reference to the document and may be called more than
	// once. If it returns an error, the change is refused.
	Apply func(document *structs.Configuration) error
}

// MemberKind is the kind of a process that acknowledges revisions.
type MemberKind string

// The kinds of members.
const (
	MemberGateway MemberKind = "gateway"
	MemberAgent   MemberKind = "agent"
)

// MemberState says whether a process has acknowledged a given revision.
type MemberState string

// The states of members. An unresponsive process does not keep a revision from being in force: it starts no task until
// it is in contact with a gateway again, and then it receives the current document first.
const (
	MemberAcknowledged MemberState = "acknowledged"
	MemberWaiting      MemberState = "waiting"
	MemberUnresponsive MemberState = "silent"
)

// MemberStatus is the state of one process with respect to one revision.
type MemberStatus struct {
	Kind MemberKind `json:"kind"`
	Name string     `json:"name"`
	// Revision is the revision that the process has acknowledged.
	Revision structs.Revision `json:"revision"`
	State    MemberState      `json:"state"`
	// SinceLastMessage is the time since the last message of the process.
	SinceLastMessage time.Duration `json:"silence_ns"`
}

// InForceStatus says whether one revision is in force, with the state of each member.
type InForceStatus struct {
	Revision structs.Revision `json:"revision"`
	// InForce is true if no member is in MemberWaiting.
	InForce bool           `json:"in_force"`
	Members []MemberStatus `json:"members"`
}

// Waiting returns the responsive members that have not acknowledged the revision.
func (s InForceStatus) Waiting() []MemberStatus { return s.filter(MemberWaiting) }

// Unresponsive returns the unresponsive members that have not acknowledged the revision.
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

// AuditState says whether the change of an audit entry was accepted.
type AuditState string

// The audit states. An undecided entry is usually newer than the document that was read: its change is in progress or
// was abandoned, or the store returned stale data.
const (
	AuditAccepted    AuditState = "accepted"
	AuditNotAccepted AuditState = "not accepted"
	AuditUndecided   AuditState = "undecided"
)

// AuditEntry is the stored record of a proposed change. It is written before the document, under the key
// audit/<revision, 20 digits>/<change id>. The key contains the change id because two writers that race for a revision
// must not overwrite each other's entry.
type AuditEntry struct {
	Revision structs.Revision `json:"revision"`
	Change   structs.Change   `json:"change"`
	// Parent is the change id of the document on which the change is based, which has the preceding revision. It proves
	// that the parent change was accepted.
	Parent string `json:"parent"`
	// Diff lists the changed settings, in at most MaxAuditDiffBytes.
	Diff []string `json:"diff"`
	// Cut is the number of lines that were left out of Diff.
	Cut int `json:"cut,omitempty"`
}

// HistoryEntry is an audit entry with its state.
type HistoryEntry struct {
	AuditEntry
	State AuditState `json:"state"`
}

// HistoryPage is one page of the history, newest entry first.
type HistoryPage struct {
	Entries []HistoryEntry `json:"entries"`
	// Next is the value of the parameter before that gets the next, older page. It is 0 on the last page.
	Next structs.Revision `json:"next,omitempty"`
}
