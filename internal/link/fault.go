package link

import (
	"sync"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Rule describes the faults that are injected into one direction of a link.
type Rule struct {
	// Cut discards every message, as a network partition in one direction does.
	Cut bool
	// Drop returns true for the types of messages to discard. It is called by several goroutines; nil discards none.
	Drop func(structs.MessageType) bool
	// Delay postpones every message. The order of messages is kept.
	Delay time.Duration
}

func (r *Rule) discards(typ structs.MessageType) bool {
	return r.Cut || r.Drop != nil && r.Drop(typ)
}

// Fault injects faults into the links that share it, for tests and experiments. The zero value injects none.
type Fault struct {
	mu  sync.RWMutex
	in  Rule
	out Rule
}

// SetIn replaces the rule for received messages.
func (f *Fault) SetIn(rule Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.in = rule
}

// SetOut replaces the rule for sent messages.
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

// filterIn removes, in place, the envelopes that the rule for received messages discards.
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

// delayLineLength is the number of batches that a delay line holds before put blocks.
const delayLineLength = 4096

type delayedItem[T any] struct {
	due  time.Time
	item T
}

// delayLine passes items to a function in the order of arrival, each after its delay. The function is called in one
// goroutine.
type delayLine[T any] struct {
	items chan delayedItem[T]
	done  chan struct{}
}

func newDelayLine[T any](deliver func(T)) *delayLine[T] {
	line := &delayLine[T]{items: make(chan delayedItem[T], delayLineLength), done: make(chan struct{})}
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
	line.items <- delayedItem[T]{due: time.Now().Add(delay), item: item}
}

// drain waits until every item has been delivered, and ends the goroutine. put must not be called afterwards.
func (line *delayLine[T]) drain() {
	close(line.items)
	<-line.done
}
