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

// stepsPerCheck is the number of random steps (submissions, waits and faults) of one run.
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

// performStep performs one random step. calm is the share of faults, in percent, that are replaced by submissions and
// waits.
func (sim *simulation) performStep(t *rapid.T, calm int) {
	step := rapid.IntRange(0, 99).Draw(t, "step")
	if sim.now-sim.lastAcceptAt > time.Minute {
		sim.rescue()
	}
	if step >= 50 && sim.random.IntN(100) < calm {
		step = sim.random.IntN(50)
	}
	switch {
	case step < 35:
		for range 1 + sim.random.IntN(8) {
			sim.submitRandom()
		}
	case step < 50:
		sim.advance(sim.randomDuration(4 * time.Second))
	case step < 75:
		sim.injectConnectionFault(step)
	default:
		sim.injectProcessFault(step)
	}
	sim.advance(sim.randomDuration(100 * time.Millisecond))
}

// rescue ends the faults and restarts all gateways, as an operator may do. It is called when no start has been accepted
// for a while, for example because a majority of the roster has restarted. Otherwise the rest of the run would test
// nothing.
func (sim *simulation) rescue() {
	sim.trace("rescue")
	sim.cut = map[string]bool{}
	sim.store.outage, sim.store.slow, sim.store.stale = false, false, false
	for _, g := range sim.gateways {
		g.restart()
	}
	sim.advance(8 * time.Second)
	for _, g := range sim.gateways {
		sim.declareGone(g)
	}
	sim.advance(4 * time.Second)
	sim.lastAcceptAt = sim.now
}

func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

// injectConnectionFault cuts or heals connections, pauses processes, or begins or ends an outage of the store.
func (sim *simulation) injectConnectionFault(step int) {
	g := sim.gateways[sim.random.IntN(len(sim.gateways))]
	a := sim.agents[sim.random.IntN(len(sim.agents))]
	switch {
	case step < 52:
		sim.detachOwner()
	case step < 53:
		sim.toggleCut(string(g.id), string(a.id))
	case step < 55:
		sim.toggleCut(string(g.id), "store")
	case step < 60:
		sim.partition()
	case step < 67:
		sim.cut = map[string]bool{}
		sim.store.slow, sim.store.stale = false, false
	case step < 69:
		sim.trace("%s pauses", g.ref)
		g.pausedUntil = sim.now + sim.randomDuration(8*time.Second)
	case step < 71:
		a.pausedUntil = sim.now + sim.randomDuration(6*time.Second)
	default:
		sim.store.outage = !sim.store.outage
		sim.store.stale = true
		sim.trace("outage %t", sim.store.outage)
	}
}

// injectProcessFault loses answers of the store or slows it down, restarts or stops processes, hands the pool over, or
// lets much time pass.
func (sim *simulation) injectProcessFault(step int) {
	g := sim.gateways[sim.random.IntN(len(sim.gateways))]
	a := sim.agents[sim.random.IntN(len(sim.agents))]
	switch {
	case step < 78:
		sim.store.loseNext += sim.random.IntN(4)
	case step < 80:
		sim.store.slow = !sim.store.slow
	case step < 83:
		sim.trace("%s restarts", g.ref)
		g.restart()
	case step < 85:
		sim.trace("%s restarts", a.ref)
		a.restart()
	case step < 87:
		g.handOver(sim.gateways[sim.random.IntN(len(sim.gateways))])
	case step < 88:
		g.down = true
		sim.trace("%s is down", g.ref)
	case step < 92:
		sim.declareGone(g)
	case step < 94 && sim.random.IntN(40) == 0:
		sim.advance(TakeoverWithoutMajority + sim.randomDuration(10*time.Second))
	default:
		sim.advance(sim.randomDuration(300 * time.Millisecond))
	}
}

// toggleCut cuts or heals one direction of the connection between a and b.
func (sim *simulation) toggleCut(a, b string) {
	if sim.random.IntN(2) == 0 {
		a, b = b, a
	}
	sim.cut[a+">"+b] = !sim.cut[a+">"+b]
	sim.trace("cut %s>%s %t", a, b, sim.cut[a+">"+b])
}

// partition splits gateways, agents and the store into two sides and cuts the connections between them in one or both
// directions.
func (sim *simulation) partition() {
	sides := [2][]string{}
	names := []string{"store"}
	for _, g := range sim.gateways {
		names = append(names, string(g.id))
	}
	for _, a := range sim.agents {
		names = append(names, string(a.id))
	}
	for _, name := range names {
		side := sim.random.IntN(2)
		sides[side] = append(sides[side], name)
	}
	direction := sim.random.IntN(3)
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			sim.cut[a+">"+b] = direction != 0
			sim.cut[b+">"+a] = direction != 1
		}
	}
	sim.trace("partition %v, direction %d", sides, direction)
}

// detachOwner cuts the owner from the store, and the other gateways from one agent. A takeover then competes with a
// detached owner that can still reach an agent which has not promised the new epoch. Keys are submitted meanwhile.
func (sim *simulation) detachOwner() {
	sim.cut = map[string]bool{}
	sim.store.outage, sim.store.slow = false, false
	sim.advance(5 * time.Second)
	a := sim.agents[sim.random.IntN(len(sim.agents))]
	for _, g := range sim.gateways {
		other := string(a.id)
		if g.ref == sim.store.record.Owner {
			other = "store"
		}
		sim.cut[string(g.id)+">"+other] = true
		sim.cut[other+">"+string(g.id)] = true
	}
	sim.trace("detach %s, hide %s", sim.store.record.Owner, a.ref)
	for range 40 {
		sim.submitRandom()
		sim.submitRandom()
		sim.advance(sim.randomDuration(300 * time.Millisecond))
	}
}

// declareGone sends all gateways the operator's statement that g will never run again, unless it would be false: the
// running incarnation of g is the owner or a previous owner. A gateway that is down is then started as a new
// incarnation.
func (sim *simulation) declareGone(g *fakeGateway) {
	owners := append(slices.Clone(sim.store.record.Previous), sim.store.record.Owner)
	if !g.down && slices.Contains(owners, g.ref) {
		return
	}
	sim.trace("%s is declared gone", g.ref)
	for _, other := range sim.gateways {
		other.receive(other.ref.Incarnation, func() { other.step(GatewayGone{Gateway: g.id}) })
	}
	if g.down {
		g.restart()
	}
}

// submitRandom submits a key to all gateways: a new key, a new ticket of one of the gateways, or an earlier key again.
func (sim *simulation) submitRandom() {
	if sim.random.IntN(3) > 0 && len(sim.order) > 0 {
		sim.submit(sim.order[max(0, len(sim.order)-1-sim.random.IntN(20))])
		return
	}
	key := structs.KeyHash{}
	binary.BigEndian.PutUint32(key[:], uint32(len(sim.keys)))
	if sim.random.IntN(2) == 0 {
		g := sim.gateways[sim.random.IntN(len(sim.gateways))]
		epoch, _, _ := g.m.Mode(testPool, g.now())
		binary.BigEndian.PutUint32(key[8:], uint32(epoch))
	}
	sim.keys[key] = sim.now
	sim.order = append(sim.order, key)
	sim.submit(key)
}

func (sim *simulation) submit(key structs.KeyHash) {
	if sim.now-sim.keys[key] > keyLifetime-time.Minute {
		return
	}
	for _, g := range sim.gateways {
		g.receive(g.ref.Incarnation, func() { g.submit(key) })
	}
}

// heal ends all faults and checks that the pool is served again afterwards.
func (sim *simulation) heal() {
	sim.cut = map[string]bool{}
	sim.maxDelay = 0
	sim.store.outage, sim.store.slow, sim.store.stale, sim.store.loseNext = false, false, false, 0
	for _, g := range sim.gateways {
		if g.down {
			g.restart()
		}
		g.pausedUntil = 0
	}
	sim.advance(45 * time.Second)
	if !sim.isServed() {
		// If a majority of the roster has restarted together with the owner, the takeover must wait for
		// TakeoverWithoutMajority.
		sim.counts["waited for the takeover without a majority"]++
	}
	for end := sim.now + TakeoverWithoutMajority + 45*time.Second; !sim.isServed() && sim.now < end; {
		sim.advance(10 * time.Second)
	}
	if !sim.isServed() {
		sim.fail("the pool is not served after the end of all faults")
	}
}

// isServed reports whether a gateway owns the pool in the mode attached, with a majority and all agents eligible.
func (sim *simulation) isServed() bool {
	for _, g := range sim.gateways {
		if _, mode, ok := g.m.Mode(testPool, g.now()); ok && mode == dispatch.Attached {
			for _, agent := range sim.agents {
				if !g.eligible[agent.ref] {
					return false
				}
			}
			return !g.m.DetachedFlag(testPool) && g.m.HasMajority(testPool, g.now())
		}
	}
	return false
}

// TestOwnershipUnderFaults guards against two gateways that start tasks of one pool at the same time, a key that runs
// twice after a takeover, a key whose start was accepted but that a later owner takes for not started, and a pool that
// nobody serves after the end of the faults. The checks look at the starts that agents accept.
func TestOwnershipUnderFaults(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "gateways"),
			rapid.IntRange(1, 5).Draw(t, "agents"))
		sim.counts = counts
		sim.fail = func(format string, args ...any) {
			if os.Getenv("OWNERSHIP_TRACE") != "" {
				fmt.Println(strings.Join(sim.log, "\n"))
			}
			t.Fatalf(format, args...)
		}
		calm := rapid.IntRange(0, 90).Draw(t, "calm")
		for range stepsPerCheck {
			sim.performStep(t, calm)
		}
		sim.heal()
	})
	t.Log(counts)
}
