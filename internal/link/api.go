// Package link connects rosedrift processes by WebSocket connections that carry batches of CBOR envelopes.
//
// Urgent envelopes are written at once and before waiting ones; the others collect until BatchDelay after the batch
// before or up to BatchBytes. Both directions pass through bounded queues; one goroutine reads and one writes.
package link

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Batching and bounds of a link.
const (
	BatchDelay = time.Millisecond
	BatchBytes = 32 << 10
	// MaxMessageBytes bounds one received WebSocket message.
	MaxMessageBytes = 64 << 20
	// QueueLength bounds the envelopes that wait for writing, per class.
	QueueLength = 65_536
	// QueueBytes bounds the encoded bytes that wait for writing, per class.
	QueueBytes = 64 << 20
	// WriteTimeout closes a link whose peer does not read.
	WriteTimeout = 3 * time.Second
)

// Paths of the gateways' link listener. The shared key of rosedrift processes, if one is set, is sent as
// "Authorization: Bearer KEY".
const (
	PathAgent = "/v1/link/agent"
	PathPeer  = "/v1/link/peer"
)

// Class orders envelopes in the writer.
type Class uint8

// The classes: control (heartbeats, fences, configuration), urgent tasks, bulk.
const (
	Control Class = iota
	Urgent
	Bulk
	classes = 3
)

// Handler receives the envelopes of a link in order, in the link's reading goroutine. Closed is called once, last.
type Handler interface {
	Receive(l *Link, envelopes []structs.Envelope)
	Closed(l *Link, err error)
}
