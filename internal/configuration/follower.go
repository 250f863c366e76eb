package configuration

import "rosedrift.example/rosedrift/internal/structs"

// Follower decides which document a process applies. It is not safe for concurrent use.
//
// Invariant: the revision of Current only grows, whatever the order in which documents arrive.
type Follower struct{ current *structs.Configuration }

// NewFollower returns a Follower at Default.
func NewFollower() *Follower { return &Follower{current: Default()} }

// Current returns the applied document. It is read only and never nil.
func (f *Follower) Current() *structs.Configuration { return f.current }

// Offer considers a document in the form of Encode from the store, a peer or an agent, and reports whether it is now
// the current one. Lower and equal revisions, as stale reads give them, change nothing and are no error.
//
// Errors: *DecodeError and *ValidationError for a document that no author wrote, and *ForkError for a second document
// of the current revision. After an error the current document stays.
func (f *Follower) Offer(raw []byte) (applied bool, err error) {
	offered, err := Decode(raw)
	if err != nil {
		return false, err
	}
	if offered.Revision < f.current.Revision {
		return false, nil
	}
	if offered.Revision == f.current.Revision {
		return false, f.checkSame(offered)
	}
	if err := joinFaults(Validate(offered), CheckTransition(f.current, offered)); err != nil {
		return false, err
	}
	f.current = offered
	return true, nil
}

func (f *Follower) checkSame(offered *structs.Configuration) error {
	have, got := f.current.Change.ID, offered.Change.ID
	if have == got {
		return nil
	}
	return &ForkError{Revision: offered.Revision, Have: have, Got: got}
}
