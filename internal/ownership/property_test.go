package ownership

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"iter"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

// stepsPerCheck is the number of disturbances and submissions of one run.
const stepsPerCheck = 300

func compareKeys(a, b structs.KeyHash) int { return bytes.Compare(a[:], b[:]) }

func mapKeys[V any](m map[structs.KeyHash]V) iter.Seq[structs.KeyHash] {
	return func(yield func(structs.KeyHash) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// disturb performs one drawn step. calm is the share of faults, in percent, that are left out.
func (w *world) disturb(t *rapid.T, calm int) {
	step := rapid.IntRange(0, 99).Draw(t, "step")
	if w.now-w.lastAccept > time.Minute {
		w.rescue()
	}
	if step >= 50 && w.random.IntN(100) < calm {
		step = w.random.IntN(50)
	}
	switch {
	case step < 35:
		for range 1 + w.random.IntN(8) {
			w.submitSome()
		}
	case step < 50:
		w.advance(w.upTo(4 * time.Second))
	case step < 75:
		w.faultOfParts(step)
	default:
		w.faultOfWhole(step)
	}
	w.advance(w.upTo(100 * time.Millisecond))
}

// rescue ends the faults and restarts all gateways as an operator may, so that a roster whose majority has restarted
// does not end the work of a run.
func (w *world) rescue() {
	w.note("rescue")
	w.cut = map[string]bool{}
	w.store.outage, w.store.slow, w.store.stale = false, false, false
	for _, g := range w.gateways {
		g.restart()
	}
	w.advance(8 * time.Second)
	for _, g := range w.gateways {
		w.stateGone(g)
	}
	w.advance(4 * time.Second)
	w.lastAccept = w.now
}

func (w *world) upTo(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// faultOfParts cuts connections, pauses processes or disturbs the store.
func (w *world) faultOfParts(step int) {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	a := w.agents[w.random.IntN(len(w.agents))]
	switch {
	case step < 52:
		w.detachOwner()
	case step < 53:
		w.toggleCut(string(g.id), string(a.id))
	case step < 55:
		w.toggleCut(string(g.id), "store")
	case step < 60:
		w.partition()
	case step < 67:
		w.cut = map[string]bool{}
		w.store.slow, w.store.stale = false, false
	case step < 69:
		w.note("%s pauses", g.ref)
		g.paused = w.now + w.upTo(8*time.Second)
	case step < 71:
		a.paused = w.now + w.upTo(6*time.Second)
	default:
		w.store.outage = !w.store.outage
		w.store.stale = true
		w.note("outage %t", w.store.outage)
	}
}

// faultOfWhole loses answers, restarts or stops processes, hands over or lets much time pass.
func (w *world) faultOfWhole(step int) {
	g := w.gateways[w.random.IntN(len(w.gateways))]
	a := w.agents[w.random.IntN(len(w.agents))]
	switch {
	case step < 78:
		w.store.loseNext += w.random.IntN(4)
	case step < 80:
		w.store.slow = !w.store.slow
	case step < 83:
		w.note("%s restarts", g.ref)
		g.restart()
	case step < 85:
		w.note("%s restarts", a.ref)
		a.restart()
	case step < 87:
		g.release(w.gateways[w.random.IntN(len(w.gateways))])
	case step < 88:
		g.down = true
		w.note("%s is down", g.ref)
	case step < 92:
		w.stateGone(g)
	case step < 94 && w.random.IntN(40) == 0:
		w.advance(TakeoverWithoutMajority + w.upTo(10*time.Second))
	default:
		w.advance(w.upTo(300 * time.Millisecond))
	}
}

// toggleCut cuts or heals one direction.
func (w *world) toggleCut(a, b string) {
	if w.random.IntN(2) == 0 {
		a, b = b, a
	}
	w.cut[a+">"+b] = !w.cut[a+">"+b]
	w.note("cut %s>%s %t", a, b, w.cut[a+">"+b])
}

// partition splits gateways, agents and the store into two sides that lose each other in one or both directions.
func (w *world) partition() {
	sides := [2][]string{}
	names := []string{"store"}
	for _, g := range w.gateways {
		names = append(names, string(g.id))
	}
	for _, a := range w.agents {
		names = append(names, string(a.id))
	}
	for _, name := range names {
		side := w.random.IntN(2)
		sides[side] = append(sides[side], name)
	}
	way := w.random.IntN(3)
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			w.cut[a+">"+b] = way != 0
			w.cut[b+">"+a] = way != 1
		}
	}
	w.note("partition %v, way %d", sides, way)
}

// detachOwner cuts the owner from the store and the other gateways from one agent, so that a takeover competes with a
// detached owner that can still reach an agent which has not promised. Work goes on meanwhile.
func (w *world) detachOwner() {
	w.cut = map[string]bool{}
	w.store.outage, w.store.slow = false, false
	w.advance(5 * time.Second)
	a := w.agents[w.random.IntN(len(w.agents))]
	for _, g := range w.gateways {
		other := string(a.id)
		if g.ref == w.store.record.Owner {
			other = "store"
		}
		w.cut[string(g.id)+">"+other] = true
		w.cut[other+">"+string(g.id)] = true
	}
	w.note("detach %s, hide %s", w.store.record.Owner, a.ref)
	for range 40 {
		w.submitSome()
		w.submitSome()
		w.advance(w.upTo(300 * time.Millisecond))
	}
}

// stateGone states to all gateways that one is gone, if that is true of all incarnations that were owners. A gateway
// that is down starts again afterwards.
func (w *world) stateGone(g *fakeGateway) {
	owners := append(slices.Clone(w.store.record.Previous), w.store.record.Owner)
	if !g.down && slices.Contains(owners, g.ref) {
		return
	}
	w.note("%s is stated gone", g.ref)
	for _, other := range w.gateways {
		other.receive(other.ref.Incarnation, func() { other.step(GatewayGone{Gateway: g.id}) })
	}
	if g.down {
		g.restart()
	}
}

// submitSome submits a new key, a new ticket of one of the gateways or an earlier key again, to all gateways.
func (w *world) submitSome() {
	if w.random.IntN(3) > 0 && len(w.order) > 0 {
		w.submit(w.order[max(0, len(w.order)-1-w.random.IntN(20))])
		return
	}
	key := structs.KeyHash{}
	binary.BigEndian.PutUint32(key[:], uint32(len(w.keys)))
	if w.random.IntN(2) == 0 {
		g := w.gateways[w.random.IntN(len(w.gateways))]
		epoch, _, _ := g.m.Mode(testPool, g.now())
		binary.BigEndian.PutUint32(key[8:], uint32(epoch))
	}
	w.keys[key] = w.now
	w.order = append(w.order, key)
	w.submit(key)
}

func (w *world) submit(key structs.KeyHash) {
	if w.now-w.keys[key] > keyLifetime-time.Minute {
		return
	}
	for _, g := range w.gateways {
		g.receive(g.ref.Incarnation, func() { g.submit(key) })
	}
}

// heal ends all faults and checks that the pool is served again.
func (w *world) heal() {
	w.cut = map[string]bool{}
	w.delayed = 0
	w.store.outage, w.store.slow, w.store.stale, w.store.loseNext = false, false, false, 0
	for _, g := range w.gateways {
		if g.down {
			g.restart()
		}
		g.paused = 0
	}
	w.advance(45 * time.Second)
	if !w.served() {
		// A majority of the roster may have restarted together with the owner.
		w.counts["waited for the waiver"]++
	}
	for end := w.now + TakeoverWithoutMajority + 45*time.Second; !w.served() && w.now < end; {
		w.advance(10 * time.Second)
	}
	if !w.served() {
		w.fail("the pool is not served after the end of all faults")
	}
}

func (w *world) served() bool {
	for _, g := range w.gateways {
		if _, mode, ok := g.m.Mode(testPool, g.now()); ok && mode == dispatch.Attached {
			for _, agent := range w.agents {
				if !g.eligible[agent.ref] {
					return false
				}
			}
			return !g.m.DetachedFlag(testPool) && g.m.HasMajority(testPool, g.now())
		}
	}
	return false
}

// TestOwnershipUnderFaults guards against two gateways starting tasks of one pool at the same time, a key that runs
// twice after takeovers, an accepted key that looks unstarted to a later owner, and a pool that nobody serves after
// the end of the faults. All are stated in terms of the starts that agents accepted.
func TestOwnershipUnderFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "gateways"),
			rapid.IntRange(1, 5).Draw(t, "agents"))
		w.counts = counts
		w.fail = func(format string, args ...any) {
			if os.Getenv("OWNERSHIP_TRACE") != "" {
				fmt.Println(strings.Join(w.log, "\n"))
			}
			t.Fatalf(format, args...)
		}
		calm := rapid.IntRange(0, 90).Draw(t, "calm")
		for range stepsPerCheck {
			w.disturb(t, calm)
		}
		w.heal()
	})
	t.Log(counts)
}
