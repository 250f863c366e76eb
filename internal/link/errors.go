package link

import "fmt"

// ErrorKind is the kind of an error of a link.
type ErrorKind uint8

// The error kinds.
const (
	// KindClosed means that this side closed the link, or that a message was sent on a closed link.
	KindClosed ErrorKind = iota + 1
	// KindFull means that the message was not accepted, since the queue of its class is full.
	KindFull
	// KindDial means that the connection or the WebSocket upgrade failed.
	KindDial
	// KindPeerClosed means that the peer closed the link or the connection broke.
	KindPeerClosed
	// KindReadTimeout means that nothing was received from the peer within Options.ReadTimeout.
	KindReadTimeout
	// KindWriteTimeout means that a write was blocked for WriteTimeout because the peer did not read.
	KindWriteTimeout
	// KindProtocol means that a message could not be decoded or encoded.
	KindProtocol
)

var kindNames = map[ErrorKind]string{
	KindClosed:       "link closed",
	KindFull:         "queue full",
	KindDial:         "dial failed",
	KindPeerClosed:   "peer closed",
	KindReadTimeout:  "peer silent",
	KindWriteTimeout: "peer does not read",
	KindProtocol:     "protocol error",
}

// String returns a short description of the kind.
func (k ErrorKind) String() string { return kindNames[k] }

// Error is the type of all errors that this package returns or passes to Handler.Closed.
type Error struct {
	Kind ErrorKind
	// Peer is the remote address or URL.
	Peer string
	// Err is the underlying error and may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("link %s: %s", e.Peer, e.Kind)
	}
	return fmt.Sprintf("link %s: %s: %v", e.Peer, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
