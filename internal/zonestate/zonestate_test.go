package zonestate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOldZoneStateIsIgnored guards against a zone that is used again, or counts as confirmed, because of a state that is older
// than the known one.
func TestOldZoneStateIsIgnored(t *testing.T) {
	const now = 10 * time.Second
	v := NewView()
	require.False(t, v.Known())
	require.Equal(t, MaxAge, v.Age(now))
	require.True(t, v.Apply([]string{"z"}, 7, Unconfirmed))
	require.Equal(t, MaxAge, v.Age(now), "nobody has confirmed it")
	require.False(t, v.Apply(nil, 6, now), "an older state, although it arrives later")
	require.True(t, v.IsOut("z"))
	require.Equal(t, MaxAge, v.Age(now))
	require.False(t, v.Apply([]string{"z"}, 5, now-time.Second), "the same zones are a confirmation")
	require.EqualValues(t, 7, v.Revision())
	require.Equal(t, time.Second, v.Age(now))
	require.False(t, v.Apply([]string{"z"}, 9, now-2*time.Second))
	require.Equal(t, time.Second, v.Age(now), "an earlier confirmation")
	require.True(t, v.Apply(nil, 10, now))
	require.False(t, v.IsOut("z"))
}

// fleet simulates agents whose gateways have lost the store, in steps of a millisecond.
type fleet struct {
	views   []View
	readers []Reader
	// learned is when each agent has learned that a zone is out, 0 if it has not.
	learned []time.Duration
	reads   []time.Duration
}

// run lets the agents read. read returns the duration and the success of a read that begins at a time. The gateways pass on
// what an agent has read within 5 ms. Zone "z" is out from the given time on.
func (f *fleet) run(agents int, length, outAt time.Duration, read func(agent int, at time.Duration) (time.Duration, bool)) {
	const relay = 5 * time.Millisecond
	f.views, f.readers, f.learned = make([]View, agents), make([]Reader, agents), make([]time.Duration, agents)
	for i := range agents {
		f.views[i], f.readers[i] = NewView(), NewReader(0, fmt.Sprintf("agent-%d", i))
		f.views[i].Apply(nil, 1, 0)
	}
	events := map[time.Duration][]func(){}
	for now := time.Duration(0); now < length; now += time.Millisecond {
		for _, event := range events[now] {
			event()
		}
		delete(events, now)
		for i := range agents {
			if now < f.readers[i].NextRead(&f.views[i]) {
				continue
			}
			f.readers[i].Begin()
			f.reads = append(f.reads, now)
			duration, ok := read(i, now)
			requestedAt := now
			events[now+duration] = append(events[now+duration], func() {
				f.readers[i].End(requestedAt+duration, ok)
				if !ok {
					return
				}
				f.apply(i, requestedAt, outAt, requestedAt+duration)
				events[requestedAt+duration+relay] = append(events[requestedAt+duration+relay], func() {
					for other := range agents {
						f.apply(other, requestedAt, outAt, requestedAt+duration+relay)
					}
				})
			})
		}
	}
}

// apply gives an agent the state that the store had at a time.
func (f *fleet) apply(agent int, asOf, outAt, now time.Duration) {
	zones, revision := []string(nil), uint64(1)
	if asOf >= outAt {
		zones, revision = []string{"z"}, 2
	}
	if f.views[agent].Apply(zones, revision, asOf) && f.learned[agent] == 0 {
		f.learned[agent] = now
	}
}

// highestRate returns the most reads within a second.
func (f *fleet) highestRate() int {
	highest := 0
	for first, last := 0, 0; last < len(f.reads); last++ {
		for f.reads[last]-f.reads[first] >= time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// TestAgentsLearnOfAZoneInTime guards against agents that start tasks in a zone later than 5 s after it was taken out of service
// while all gateways are cut off from the store, and against a fleet that reads the store more often than one agent after the
// other needs. One read in ten gets no answer.
func TestAgentsLearnOfAZoneInTime(t *testing.T) {
	const length, limit = 20 * time.Second, 5 * time.Second
	for _, agents := range []int{1, 11, 160, 1100} {
		for outAt := 500 * time.Millisecond; outAt < 6*time.Second; outAt += 700 * time.Millisecond {
			f := &fleet{}
			f.run(agents, length, outAt, func(_ int, at time.Duration) (time.Duration, bool) {
				if len(f.reads)%10 == 3 {
					return 600 * time.Millisecond, false
				}
				return 4 * time.Millisecond, true
			})
			for i, learned := range f.learned {
				require.NotZero(t, learned, "agent %d of %d", i, agents)
				require.Less(t, learned-outAt, limit, "agent %d of %d, out at %v", i, agents, outAt)
			}
			require.LessOrEqual(t, f.highestRate(), 30, "%d agents", agents)
		}
	}
}

// TestReadsAreBoundedDuringAnOutage guards against a fleet that exceeds the rate of calls that the platform allows, 2,000 a
// second, when the store fails for all processes at once and when it is back.
func TestReadsAreBoundedDuringAnOutage(t *testing.T) {
	const agents, outage = 1100, 12 * time.Second
	for _, duration := range []time.Duration{4 * time.Millisecond, 600 * time.Millisecond} {
		f := &fleet{}
		f.run(agents, 16*time.Second, time.Hour, func(_ int, at time.Duration) (time.Duration, bool) {
			if at < outage {
				return duration, false
			}
			return 4 * time.Millisecond, true
		})
		require.LessOrEqual(t, f.highestRate(), 1900, "failed after %v", duration)
		late := 0
		for _, at := range f.reads {
			if at >= 6*time.Second && at < outage {
				late++
			}
		}
		require.LessOrEqual(t, late, agents*(6/2+1), "a call in 2 s and agent")
	}
}
