package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "rosedrift.example/rosedrift/internal/testseed"
)

const slots = 8

func newIndex(servers int) (*Index, []*Server) {
	x := NewIndex(1)
	list := make([]*Server, servers)
	for i := range list {
		list[i] = x.AddServer(i)
		x.Update(list[i], slots, true, false)
	}
	x.UpdateReserve()
	return x, list
}

// fill reserves slots until no server passes the filter, and returns the number of slots.
func fill(x *Index, k *Kind, filter Filter) int {
	for n := 0; ; n++ {
		s := x.Fastest(k, filter)
		if s == nil {
			return n
		}
		x.Reserve(s)
	}
}

// TestFasterServersArePreferred guards against placement that does not prefer the servers whose tasks run faster.
func TestFasterServersArePreferred(t *testing.T) {
	x, list := newIndex(100)
	k := x.Kind("glaze", time.Hour)
	for round := range 20 {
		for i, s := range list {
			x.Finished(s, k, time.Duration(100+10*((i*37+round*41)%100))*time.Millisecond*time.Duration(1+i%4))
		}
	}
	for range 25 * slots {
		s := x.Fastest(k, AnySlot)
		require.Zero(t, s.Value.(int)%4)
		x.Reserve(s)
	}
	require.NotZero(t, x.Fastest(k, AnySlot).Value.(int)%4)
	require.Equal(t, 3, x.Slowest(k, AnySlot).Value.(int)%4)
}

// TestUrgentReserve guards against long routine tasks on the slots that are reserved for urgent tasks, and against
// slots that stay idle although there are no urgent tasks.
func TestUrgentReserve(t *testing.T) {
	x, _ := newIndex(10)
	x.SetUrgentReserve(0.05)
	x.RecordUrgentDemand(50)
	x.UpdateReserve()
	k := x.Kind("glaze", 0)
	require.Equal(t, 76, fill(x, k, UnreservedSlot))
	require.Equal(t, 4, fill(x, k, AnySlot))

	idle, _ := newIndex(10)
	idle.SetUrgentReserve(0.05)
	idle.UpdateReserve()
	require.Equal(t, 80, fill(idle, idle.Kind("glaze", 0), UnreservedSlot))
}

// TestBreaker guards against more work for a failing server than one probe per second, and against a breaker that opens
// because of a single job whose tasks all fail.
func TestBreaker(t *testing.T) {
	x, list := newIndex(1)
	k := x.Kind("glaze", 0)
	for range 20 {
		x.Failed(list[0], 1)
	}
	require.False(t, list[0].BreakerOpen())
	for job := range uint64(4) {
		x.Failed(list[0], job+2)
	}
	require.True(t, list[0].BreakerOpen())
	probes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		x.Advance(now)
		if s := x.Fastest(k, AnySlot); s != nil {
			x.Reserve(s)
			require.Nil(t, x.Fastest(k, AnySlot), "second probe while the first one runs")
			x.Release(s)
			x.Failed(s, uint64(now)+100)
			probes++
		}
	}
	require.Equal(t, 9, probes)
	x.Advance(10 * time.Second)
	x.Finished(list[0], k, time.Second)
	require.Equal(t, slots, fill(x, k, AnySlot))
}

// TestRamp guards against a returning server that gets its full load at once, or still not after RampTime.
func TestRamp(t *testing.T) {
	x, list := newIndex(1)
	k := x.Kind("glaze", 0)
	x.Update(list[0], slots, false, true)
	require.Nil(t, x.Fastest(k, AnySlot))
	x.Update(list[0], slots, true, true)
	require.Equal(t, slots/2, fill(x, k, AnySlot))
	x.Advance(RampTime / 2)
	require.Equal(t, slots/4, fill(x, k, AnySlot))
	x.Advance(RampTime)
	require.Equal(t, slots/4, fill(x, k, AnySlot))
}

// TestRefusalPause guards against a server that refuses all starts and gets the same tasks again and again.
func TestRefusalPause(t *testing.T) {
	x, list := newIndex(1)
	k := x.Kind("glaze", 0)
	refusals := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		x.Advance(now)
		if x.Fastest(k, AnySlot) != nil {
			x.Refused(list[0])
			refusals++
		}
	}
	require.LessOrEqual(t, refusals, 16)
}

// TestIndexUnderRandomOperations guards against choices of servers that may not get the task, and against a wrong sum
// of slots.
func TestIndexUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, list := newIndex(rapid.IntRange(1, 150).Draw(t, "servers"))
		kinds := []*Kind{x.Kind("a", 0), x.Kind("b", time.Second)}
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "length") {
			i := rapid.IntRange(0, len(list)-1).Draw(t, "server")
			s, k := list[i], kinds[rapid.IntRange(0, 1).Draw(t, "kind")]
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0:
				x.Update(s, rapid.IntRange(0, 9).Draw(t, "slots"), rapid.Bool().Draw(t, "serving"), rapid.Bool().Draw(t, "ramp"))
			case 1:
				x.RemoveServer(s)
				list[i] = x.AddServer(i)
			case 2:
				x.Finished(s, k, time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond)
			case 3:
				x.Failed(s, rapid.Uint64Range(1, 1000).Draw(t, "job"))
			case 4:
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond
				x.Advance(now)
			default:
				filter := Filter(rapid.IntRange(0, 4).Draw(t, "need"))
				s := x.Fastest(k, filter)
				if s == nil {
					continue
				}
				require.True(t, s.serving && !s.removed)
				x.Reserve(s)
				require.LessOrEqual(t, s.inflight, max(s.slots+MaxQueued, 1))
			}
			x.UpdateReserve()
			total := 0
			for _, s := range list {
				total += s.servingSlots
			}
			require.Equal(t, total, x.Slots())
		}
	})
}

// TestSlowdownIsDetected guards against estimates that follow the slowdown of a server only after hundreds of tasks,
// and against estimates that change because of the variance of run times within a kind.
func TestSlowdownIsDetected(t *testing.T) {
	x, list := newIndex(4)
	k := x.Kind("glaze", 0)
	finish := func(s *Server, round, factor int) {
		x.Finished(s, k, time.Duration(50<<(round*7%5)*factor)*time.Millisecond)
	}
	for round := range 300 {
		for _, s := range list {
			finish(s, round, 1)
		}
	}
	x.Advance(time.Second)
	x.UpdateReserve()
	for _, s := range list {
		require.InDelta(t, 1, s.RelativeRunTime(), 0.2)
	}
	for round := range 15 {
		finish(list[0], round, 10)
	}
	require.Greater(t, list[0].RelativeRunTime(), 4.0)
	require.Same(t, list[0], x.Slowest(k, AnySlot))
}

// TestShouldWait guards against urgent tasks on slow servers although a fast one will be free soon, and against waits
// behind a long queue.
func TestShouldWait(t *testing.T) {
	x, list := newIndex(2)
	k := x.Kind("glaze", 0)
	for range 300 {
		x.Finished(list[0], k, 100*time.Millisecond)
		x.Finished(list[1], k, 300*time.Millisecond)
	}
	wait, _ := x.ShouldWait(k, list[1], 1)
	require.True(t, wait)
	wait, expected := x.ShouldWait(k, list[1], 30)
	require.False(t, wait)
	require.InDelta(t, 300, expected.Milliseconds(), 30)
	wait, _ = x.ShouldWait(k, list[0], 1)
	require.False(t, wait)
}
