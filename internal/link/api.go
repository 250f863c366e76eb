// Package link connects rosedrift processes by WebSocket connections that carry batches of CBOR envelopes.
//
// Control and urgent envelopes are written at once and before bulk ones. Bulk envelopes are collected into a batch
// until BatchDelay has passed since the previous batch or BatchBytes are queued. Envelopes wait for writing in bounded
// queues. One goroutine reads, another writes.
package link

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Batching parameters and limits of a link.
const (
	// BatchDelay is the minimum time between a batch and the next one that holds only bulk envelopes and is not full.
	BatchDelay = time.Millisecond
	// BatchBytes is the encoded size at which a batch is full. A larger envelope is sent as a batch of its own.
	BatchBytes = 32 << 10
	// MaxMessageBytes limits the size of a received WebSocket message.
	MaxMessageBytes = 64 << 20
	// QueueLength limits the number of envelopes that wait for writing, per class.
	QueueLength = 65_536
	// QueueBytes limits the encoded bytes that wait for writing, per class.
	QueueBytes = 64 << 20
	// WriteTimeout is how long a write may block, because the peer does not read, before the link is closed.
	WriteTimeout = 3 * time.Second
)

// URL paths of a gateway's link listener, for agents and for other gateways. The shared key of rosedrift processes, if
// one is set, is sent in the header "Authorization: Bearer KEY".
const (
	PathAgent = "/v1/link/agent"
	PathPeer  = "/v1/link/peer"
)

// Class is the priority class of an envelope. Lower classes are written first.
type Class uint8

// The classes: control messages (heartbeats, fences, configuration), urgent tasks, and everything else.
const (
	Control Class = iota
	Urgent
	Bulk
	classes = 3
)

// Handler receives the envelopes of a link in order. Its methods are called one at a time by the link's reading
// goroutine; if Options.Fault is set, Receive is called by the goroutine that delays messages. Closed is called once,
// as the last call.
type Handler interface {
	Receive(l *Link, envelopes []structs.Envelope)
	Closed(l *Link, err error)
}
