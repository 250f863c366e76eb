package configuration

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

var (
	names      = rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,8}`).Filter(func(s string) bool { return s != wordAll && s != wordNone })
	priorities = rapid.SampledFrom(priorityWords)
	durations  = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(int64(minDuration), int64(structs.DefaultMaxDeadline)).Draw(t, "duration"))
	})
)

// validDocuments generates documents that Validate accepts, in the form that Import returns: an empty list is nil.
var validDocuments = rapid.Custom(func(t *rapid.T) *structs.Configuration {
	document := Default()
	document.Revision = structs.Revision(rapid.Uint64Range(1, 1<<40).Draw(t, "revision"))
	maxDeadline := durations.Draw(t, "max deadline")
	document.Limits = structs.Limits{
		MaxTasks:        rapid.IntRange(1, MaxTasksLimit).Draw(t, "max tasks"),
		MaxBodyBytes:    rapid.Int64Range(1, MaxBodyLimit).Draw(t, "max body"),
		MaxResultBytes:  rapid.Int64Range(1, MaxResultLimit).Draw(t, "max result"),
		MaxDeadline:     maxDeadline,
		DefaultDeadline: min(maxDeadline, durations.Draw(t, "default deadline")),
	}
	document.Zones = rapid.MapOfN(names, rapid.Custom(drawZone), 0, 4).Draw(t, "zones")
	document.Services = rapid.MapOfN(names, rapid.Custom(drawService), 0, 4).Draw(t, "services")
	document.Teams = rapid.MapOfN(names, rapid.Custom(drawTeam), 0, 4).Draw(t, "teams")
	document.Servers = rapid.MapOfN(names, rapid.Just(structs.ServerConfig{State: structs.ServerDraining}), 0, 4).Draw(t, "servers")
	document.Retired = rapid.MapOfN(names, rapid.Uint16Range(1, MaxPools), 0, 2).Draw(t, "retired")
	return document
})

func drawZone(t *rapid.T) structs.ZoneConfig {
	return structs.ZoneConfig{
		State:  rapid.SampledFrom([]structs.ZoneState{structs.ZoneIn, structs.ZoneOut}).Draw(t, "state"),
		Region: rapid.OneOf(names, rapid.Just("")).Draw(t, "region"),
	}
}

func drawService(t *rapid.T) structs.ServiceConfig {
	zones := rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string]).Draw(t, "zones")
	if len(zones) == 0 {
		zones = nil
	}
	return structs.ServiceConfig{
		Pools: rapid.Uint16Range(1, MaxPools).Draw(t, "pools"), Zones: zones,
		DefaultPriority: priorities.Draw(t, "priority"), TaskTimeout: durations.Draw(t, "timeout"),
		UrgentReserve:  rapid.Float64Range(0, MaxUrgentReserve).Draw(t, "reserve"),
		MaxQueuedTasks: rapid.IntRange(1, MaxQueuedTasksLimit).Draw(t, "queued"),
	}
}

func drawTeam(t *rapid.T) structs.TeamConfig {
	return structs.TeamConfig{
		Weight:     rapid.Float64Range(MinTeamWeight, MaxTeamWeight).Draw(t, "weight"),
		MaxRunning: rapid.IntRange(0, 5000).Draw(t, "running"), MaxQueued: rapid.IntRange(0, 5000).Draw(t, "queued"),
		MaxPriority: priorities.Draw(t, "priority"),
	}
}

// TestTextRoundTrip guards against settings that an export or an encoding loses, or that are read back with another
// value.
func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := validDocuments.Draw(t, "document")
		require.NoError(t, Validate(document))
		imported, err := Import(Export(document))
		require.NoError(t, err)
		require.Equal(t, document, imported)
		raw, err := Encode(document)
		require.NoError(t, err)
		decoded, err := Decode(raw)
		require.NoError(t, err)
		require.Equal(t, document, decoded)
	})
}

// TestDiffFindsEveryChange guards against changes that are missing from the audit entry, and against a clone that
// shares memory with its original.
func TestDiffFindsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := validDocuments.Draw(t, "before"), validDocuments.Draw(t, "after")
		require.Empty(t, Diff(before, Clone(before)))
		after.Revision = before.Revision
		same := Export(before) == Export(after)
		require.Equal(t, same, len(Diff(before, after)) == 0)
		copied := Clone(before)
		for name, service := range copied.Services {
			service.Zones = append(service.Zones, "new")
			copied.Services[name] = service
			require.NotEmpty(t, Diff(before, copied))
		}
	})
}

// TestValidateReportsAllViolations guards against validation that stops at the first violation, and against accepting
// NaN, which compares false with every bound.
func TestValidateReportsAllViolations(t *testing.T) {
	document := Default()
	document.Limits.MaxTasks = 0
	document.Limits.MaxDeadline = time.Hour
	document.Zones["Catania"] = structs.ZoneConfig{State: "off"}
	document.Services["lending"] = structs.ServiceConfig{Pools: 0, UrgentReserve: math.NaN(), Zones: []string{"a", "a"}}
	document.Teams["baker"] = structs.TeamConfig{Weight: math.Inf(1), MaxRunning: -1, MaxPriority: "fast"}
	document.Servers["m1"] = structs.ServerConfig{State: structs.ServerActive}
	document.Retired["old"] = 0
	var invalid *ValidationError
	require.ErrorAs(t, Validate(document), &invalid)
	var where []string
	for _, violation := range invalid.Violations {
		where = append(where, violation.Where)
	}
	require.Equal(t, []string{
		"limit max_tasks", "limit max_deadline", "zone Catania", "zone Catania state", "service lending pools",
		"service lending zones", "service lending task_timeout", "service lending urgent_reserve",
		"service lending max_queued_tasks", "team baker weight", "team baker max_running", "team baker max_priority",
		"server m1 state", "retired old pools",
	}, where)
}

// TestPoolsNeverChange guards against a changed number of pools, which would map keys to other pools, also if the
// service is removed and created again.
func TestPoolsNeverChange(t *testing.T) {
	before := Default()
	before.Services["lending"] = structs.ServiceConfig{Pools: 2}
	changed := Clone(before)
	changed.Services["lending"] = structs.ServiceConfig{Pools: 3}
	require.Error(t, CheckTransition(before, changed))
	removed := Clone(before)
	RemoveService(removed, "lending")
	require.NoError(t, CheckTransition(before, removed))
	require.Error(t, CheckTransition(removed, changed))
	require.NoError(t, CheckTransition(removed, before))
	forgotten := Clone(removed)
	delete(forgotten.Retired, "lending")
	require.Error(t, CheckTransition(removed, forgotten))
}

// TestImportReportsLines guards against violations in an import that are reported without their line.
func TestImportReportsLines(t *testing.T) {
	text := "revision 3\nzone catania sate in\nteem a\nservice lending pools\nlimits max_tasks ten\nzone\n" +
		"team a weight 1\nteam a weight 2\n"
	_, err := Import(text)
	var invalid *ValidationError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Violations, 6)
	all := err.Error()
	for _, want := range []string{`line 2: there is no field "sate"`, `did you mean "state"`, `did you mean "team"`, "line 8"} {
		require.Contains(t, all, want)
	}
	_, err = Import("team a weight 1")
	require.ErrorContains(t, err, "revision is missing")
}

// FuzzImport guards against a panic on any text, and against an export that cannot be imported without a difference.
func FuzzImport(f *testing.F) {
	f.Add("revision 1\nzone a state out\n")
	f.Add("limits max_body_bytes 9999999999999999GiB")
	f.Add(strings.Repeat("service s pools 1\n", 3))
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Import(text)
		if err != nil || Validate(document) != nil {
			return
		}
		again, err := Import(Export(document))
		require.NoError(t, err)
		require.Empty(t, Diff(document, again))
	})
}

// TestNearest guards against missing suggestions for typing errors, and against suggestions that differ too much.
func TestNearest(t *testing.T) {
	zones := []string{"catania", "palermo", "siracusa"}
	require.Equal(t, "catania", Nearest("catnaia", zones))
	require.Equal(t, "palermo", Nearest("parlermo", zones))
	require.Empty(t, Nearest("bologna-west", zones))
	require.Empty(t, Nearest("x", zones))
}
