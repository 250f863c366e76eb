package query

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

// TestParseBuildsTheCommand guards against commands that are parsed as another command.
func TestParseBuildsTheCommand(t *testing.T) {
	cases := map[string]Command{
		"zones":                  {Plain: "zones"},
		"help zone":              {Help: &Help{Keyword: "help", Topic: "zone"}},
		"servers in catania":     {Servers: &ServerList{Keyword: "servers", Zone: "catania"}},
		"jobs lending":           {Jobs: &JobList{Keyword: "jobs", Service: "lending"}},
		"history before 12":      {History: &History{Keyword: "history", Before: "12"}},
		"zone catania out":       {Zone: &Zone{Name: "catania", State: "out"}},
		"zone out in":            {Zone: &Zone{Name: "out", State: "in"}},
		"  server  m-1   drain ": {Server: &Server{Name: "m-1", Verb: "drain"}},
		"service a remove":       {Service: &Service{Name: "a", Remove: true}},
		"service a create pools 2 zones x,y": {Service: &Service{Name: "a", Create: &Create{Keyword: "create",
			Settings: []Assignment{{"pools", "2"}, {"zones", "x,y"}}}}},
		"team a set weight 2": {Team: &Team{Name: "a", Change: &Change{Keyword: "set", Settings: []Assignment{{"weight", "2"}}}}},
		"set max_tasks 10":    {Set: &Change{Keyword: "set", Settings: []Assignment{{"max_tasks", "10"}}}},
		"cancel job l.0.ff":   {Cancel: "l.0.ff"},
		"why queue lending":   {Why: &Why{Queue: "lending"}},
		"gateway g1 gone":     {Gateway: &GatewayGone{Name: "g1"}},
	}
	for line, want := range cases {
		got, err := Parse(line)
		require.NoError(t, err, line)
		require.Equal(t, want, *got, line)
	}
}

// TestSyntaxErrorsSuggestTheNearestWord guards against syntax errors that do not help to find a typo.
func TestSyntaxErrorsSuggestTheNearestWord(t *testing.T) {
	cases := map[string]string{
		"":                       "the command is empty; try help",
		"zoens":                  `there is no command "zoens" (did you mean "zones"?); help lists the commands`,
		"zone catania oot":       `"oot" cannot follow "zone catania": want out or in or create or set (did you mean "out"?)`,
		"zone catania":           `"zone catania" is incomplete: next comes out or in or create or set`,
		"zone catania out now":   `"zone catania out" is a whole command; leave out "now"`,
		"why job":                `"why job" is incomplete: next comes a job`,
		"cancel jbo x":           `"jbo" cannot follow "cancel": want job (did you mean "job"?)`,
		"team a set weight":      `"team a set weight" is incomplete: next comes a value`,
		"team a set":             `"team a set" is incomplete: next comes a field (weight, max_running, max_queued, max_priority)`,
		strings.Repeat("a", 5e3): "the command is longer than 4096 bytes",
	}
	for line, want := range cases {
		_, err := Parse(line)
		var problem *structs.Problem
		require.ErrorAs(t, err, &problem, line)
		require.Equal(t, want, problem.Detail, line)
		require.Equal(t, structs.OutcomeNotRun, problem.Outcome)
	}
}

// checkAgreement requires that the grammar and the table of usages either both accept a line or both reject it.
func checkAgreement(t require.TestingT, line string) {
	_, err := Parse(line)
	next, ok := expect(strings.Fields(line))
	require.Equal(t, ok && next.complete, err == nil, "%q: %v", line, err)
	var problem *structs.Problem
	require.True(t, err == nil || errors.As(err, &problem) && problem.Detail != "")
}

// corpus is the seed corpus of FuzzParse, which also runs in normal tests.
var corpus = []string{
	"zones", "zone a out", "zone a in", "zone a create", "zone a create region r", "zone a set region r state in",
	"server s drain", "server s activate", "servers", "servers in", "servers in a", "service s create pools 2",
	"service s set pools", "service s remove", "service s remove now", "team t create", "team t set weight 1.5",
	"set max_tasks 1", "set", "cancel job x", "cancel", "why job x", "why queue s", "why", "gateway g gone",
	"export", "import", "import x", "help", "help zone", "help zone out", "history", "history before 3", "jobs",
	"jobs a", "jobs a b", "pools", "pools a", "\x00", "zone \xff out", "zone\tone\nout", "\u00a0", "in", "zone in in",
	"zone a out\u2003", "\u0085zones", "zo nes", "set a b c d e",
}

// FuzzParse guards against panics, and against lines that are accepted by only one of the grammar and the table of
// usages, which would give a command a wrong role, completion or explanation.
func FuzzParse(f *testing.F) {
	for _, line := range corpus {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		if len(line) <= MaxLineBytes {
			checkAgreement(t, line)
		}
	})
}

// TestRandomCommands runs the check of FuzzParse on random sequences of words that occur in commands.
func TestRandomCommands(t *testing.T) {
	words := rapid.SampledFrom(append(commandWords(), "in", "out", "create", "set", "remove", "drain", "activate", "job",
		"queue", "before", "gone", "a", "b"))
	rapid.Check(t, func(t *rapid.T) {
		checkAgreement(t, strings.Join(rapid.SliceOfN(words, 0, 6).Draw(t, "words"), " "))
	})
}

// TestComplete guards against completion candidates that do not continue the line.
func TestComplete(t *testing.T) {
	names := func(s symbol) []string {
		return map[symbol][]string{symbolZone: {"catania", "palermo"}, symbolService: {"lending"}}[s]
	}
	cases := map[string][]string{
		"zo":                                    {"zone", "zones"},
		"zone ":                                 {"catania", "palermo"},
		"zone cat":                              {"catania"},
		"zone catania o":                        {"out"},
		"service lending set ta":                {"task_timeout"},
		"service lending set default_priority ": {"routine", "urgent"},
		"service new create zones ":             {"all", "catania", "palermo"},
		"set max_t":                             {"max_tasks"},
		"why ":                                  {"job", "queue"},
		"zone catania out ":                     nil,
		"nonsense ":                             nil,
	}
	for line, want := range cases {
		require.Equal(t, want, complete(line, names), line)
	}
}
