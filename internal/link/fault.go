package link

import (
	"sync"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Rule is an injected fault of one direction of a link.
type Rule struct {
	// Cut discards every message, as a one-way network partition does. The peer falls silent.
	Cut bool
	// Drop discards the message types for which it returns true. It is called by several goroutines.
	Drop func(structs.MessageType) bool
	// Delay postpones every message; the order is kept.
	Delay time.Duration
}

func (r *Rule) discards(typ structs.MessageType) bool {
	return r.Cut || r.Drop != nil && r.Drop(typ)
}

// Fault injects faults into the links that share it. The zero value injects none. It is for tests and experiments.
type Fault struct {
	mu  sync.RWMutex
	in  Rule
	out Rule
}

// SetIn replaces the rule of received messages.
func (f *Fault) SetIn(rule Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.in = rule
}

// SetOut replaces the rule of sent messages.
func (f *Fault) SetOut(rule Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = rule
}

func (f *Fault) rules() (in, out Rule) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.in, f.out
}

// filterIn removes the received envelopes that the rule discards.
func (f *Fault) filterIn(envelopes []structs.Envelope) []structs.Envelope {
	rule, _ := f.rules()
	kept := envelopes[:0]
	for _, e := range envelopes {
		if !rule.discards(e.Type) {
			kept = append(kept, e)
		}
	}
	return kept
}

// delayLength bounds the batches on a delay line.
const delayLength = 4096

type delayed[T any] struct {
	due  time.Time
	item T
}

// delayLine passes items to a function in order, each after its delay, in one goroutine.
type delayLine[T any] struct {
	items chan delayed[T]
	done  chan struct{}
}

func newDelayLine[T any](deliver func(T)) *delayLine[T] {
	line := &delayLine[T]{items: make(chan delayed[T], delayLength), done: make(chan struct{})}
	go func() {
		defer close(line.done)
		for d := range line.items {
			time.Sleep(time.Until(d.due))
			deliver(d.item)
		}
	}()
	return line
}

func (line *delayLine[T]) put(delay time.Duration, item T) {
	line.items <- delayed[T]{due: time.Now().Add(delay), item: item}
}

// finish waits until every item has been delivered.
func (line *delayLine[T]) finish() {
	close(line.items)
	<-line.done
}
