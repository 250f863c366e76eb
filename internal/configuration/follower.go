package configuration

import "rosedrift.example/rosedrift/internal/structs"

// Follower holds the document that a process applies and decides which offered documents replace it. It is not safe for
// concurrent use.
//
// Invariant: the revision of Current never decreases, in whatever order documents arrive.
type Follower struct{ current *structs.Configuration }

// NewFollower returns a Follower that applies Default.
func NewFollower() *Follower { return &Follower{current: Default()} }

// Current returns the applied document, which is never nil. It must not be changed.
func (f *Follower) Current() *structs.Configuration { return f.current }

// Offer decodes a document that came from the store, a peer or an agent, and applies it if its revision is higher than
// the current one. It reports whether the document was applied. Lower and equal revisions are not an error, because
// stale reads return them.
//
// Errors: *DecodeError and *ValidationError for a document that no Writer wrote, and *ForkError for a different
// document of the current revision. After an error the current document stays.
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
	if err := joinViolations(Validate(offered), CheckTransition(f.current, offered)); err != nil {
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
