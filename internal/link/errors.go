package link

import "fmt"

// ErrorKind classifies the errors of a link.
type ErrorKind uint8

// The error kinds.
const (
	// KindClosed means that this side has closed the link or that it has ended.
	KindClosed ErrorKind = iota + 1
	// KindFull means that the queue of the class is full and the message was not accepted.
	KindFull
	// KindDial means that the connection or its upgrade failed.
	KindDial
	// KindPeerClosed means that the peer closed the link or the connection broke.
	KindPeerClosed
	// KindReadTimeout means that the peer sent nothing for the read timeout.
	KindReadTimeout
	// KindWriteTimeout means that the peer did not read for WriteTimeout.
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

// String returns a short description.
func (k ErrorKind) String() string { return kindNames[k] }

// Error is the error of all operations of this package.
type Error struct {
	Kind ErrorKind
	// Peer is the remote address or URL.
	Peer string
	// Err is the cause and may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("link %s: %s", e.Peer, e.Kind)
	}
	return fmt.Sprintf("link %s: %s: %v", e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
