package query

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// slot is one position of a sentence: a literal word in lower case, or a placeholder in upper case.
type slot string

// The placeholders. Fields stand for one or more pairs of field and value; with the suffix "?" also for none.
const (
	slotZone          slot = "ZONE"
	slotServer        slot = "SERVER"
	slotService       slot = "SERVICE"
	slotTeam          slot = "TEAM"
	slotGateway       slot = "GATEWAY"
	slotJob           slot = "JOB"
	slotName          slot = "NAME"
	slotRevision      slot = "REVISION"
	slotWord          slot = "WORD"
	slotZoneFields    slot = "ZONE_FIELDS"
	slotServiceFields slot = "SERVICE_FIELDS"
	slotTeamFields    slot = "TEAM_FIELDS"
	slotLimitFields   slot = "LIMIT_FIELDS"
	optional               = "?"
)

// sentence is one form of a command. The table explains mistakes, completes lines and prints help; a test keeps it
// equal to the grammar.
type sentence struct {
	form string
	role admin.Role
	help string
}

var sentences = []sentence{
	{"zones", admin.RoleView, "list the availability zones"},
	{"servers", admin.RoleView, "list the backend servers"},
	{"servers in ZONE", admin.RoleView, "list the backend servers of a zone"},
	{"services", admin.RoleView, "list the services and their settings"},
	{"teams", admin.RoleView, "list the teams and their quotas"},
	{"limits", admin.RoleView, "list the limits of the whole system"},
	{"jobs", admin.RoleView, "list the jobs"},
	{"jobs SERVICE", admin.RoleView, "list the jobs of a service"},
	{"gateways", admin.RoleView, "list the gateways and the pools that they own"},
	{"pools", admin.RoleView, "list the pools with their queues"},
	{"pools SERVICE", admin.RoleView, "list the pools of a service"},
	{"history", admin.RoleView, "list the last changes, newest first"},
	{"history before REVISION", admin.RoleView, "list older changes"},
	{"why job JOB", admin.RoleView, "say why a job waits or how it ended"},
	{"why queue SERVICE", admin.RoleView, "say why the work of a service waits"},
	{"export", admin.RoleView, "print the configuration as text"},
	{"help", admin.RoleView, "list the commands"},
	{"help WORD", admin.RoleView, "list the commands that begin with a word"},
	{"zone ZONE out", admin.RoleOperate, "start no more tasks in a zone"},
	{"zone ZONE in", admin.RoleOperate, "let a zone work again"},
	{"server SERVER drain", admin.RoleOperate, "give a backend server no new work"},
	{"server SERVER activate", admin.RoleOperate, "let a backend server work again"},
	{"cancel job JOB", admin.RoleOperate, "cancel a job"},
	{"zone NAME create ZONE_FIELDS?", admin.RoleAdministrator, "name a zone before its first server starts"},
	{"zone ZONE set ZONE_FIELDS", admin.RoleAdministrator, "change a zone"},
	{"service NAME create SERVICE_FIELDS?", admin.RoleAdministrator, "create a service"},
	{"service SERVICE set SERVICE_FIELDS", admin.RoleAdministrator, "change a service"},
	{"service SERVICE remove", admin.RoleAdministrator, "remove a service"},
	{"team NAME create TEAM_FIELDS?", admin.RoleAdministrator, "create a team"},
	{"team TEAM set TEAM_FIELDS", admin.RoleAdministrator, "change a team"},
	{"team TEAM remove", admin.RoleAdministrator, "remove a team"},
	{"set LIMIT_FIELDS", admin.RoleAdministrator, "change a limit of the whole system"},
	{"gateway GATEWAY gone", admin.RoleAdministrator, "state that a gateway will never run again"},
	{"import", admin.RoleAdministrator, "replace the configuration by a text (command line: import < file)"},
}

func (s sentence) slots() []slot {
	words := strings.Fields(s.form)
	slots := make([]slot, len(words))
	for i, word := range words {
		slots[i] = slot(word)
	}
	return slots
}

func (s slot) isLiteral() bool { return strings.ToLower(string(s)) == string(s) }

func (s slot) isFields() bool { return strings.Contains(string(s), "_FIELDS") }

func (s slot) base() slot { return slot(strings.TrimSuffix(string(s), optional)) }

// text returns the slot as help prints it.
func (s slot) text() string {
	switch {
	case s.isFields() && strings.HasSuffix(string(s), optional):
		return "[FIELD VALUE]..."
	case s.isFields():
		return "FIELD VALUE..."
	}
	return string(s)
}

// expectation is what may follow the first words of a line.
type expectation struct {
	// slots are the possible next positions, each with the number of words that a fields slot has taken.
	slots []slot
	taken []int
	// complete is true if the words are a whole sentence.
	complete bool
}

// expect matches words against all sentences. ok is false if no sentence begins with them.
func expect(words []string) (expectation, bool) {
	var result expectation
	ok := false
	for _, s := range sentences {
		next, taken, complete, matches := match(s.slots(), words)
		if !matches {
			continue
		}
		ok = true
		result.complete = result.complete || complete
		if next != "" {
			result.slots = append(result.slots, next)
			result.taken = append(result.taken, taken)
		}
	}
	return result, ok
}

// match returns the slot that follows the words in one sentence.
func match(slots []slot, words []string) (next slot, taken int, complete, ok bool) {
	for i, s := range slots {
		if s.isFields() {
			taken = len(words) - i
			complete = taken%2 == 0 && (taken > 0 || strings.HasSuffix(string(s), optional))
			return s.base(), taken, complete, true
		}
		if i == len(words) {
			return s, 0, false, true
		}
		if s.isLiteral() && string(s) != words[i] {
			return "", 0, false, false
		}
	}
	return "", 0, true, len(words) == len(slots)
}

// explain says which word of a line that does not parse is wrong, and what is valid there.
func explain(words []string) *structs.Problem {
	if len(words) == 0 {
		return badRequest("the command is empty; try help")
	}
	for i := range words {
		if _, ok := expect(words[:i+1]); ok {
			continue
		}
		before, _ := expect(words[:i])
		return explainWord(words, i, before)
	}
	next, _ := expect(words)
	return badRequest("%q is incomplete: next comes %s", strings.Join(words, " "), alternatives(next))
}

func explainWord(words []string, at int, before expectation) *structs.Problem {
	so := strings.Join(words[:at], " ")
	if len(before.slots) == 0 {
		return badRequest("%q is a whole command; leave out %q", so, strings.Join(words[at:], " "))
	}
	suggestion := ""
	if near := configuration.Nearest(words[at], before.literals()); near != "" {
		suggestion = fmt.Sprintf(" (did you mean %q?)", near)
	}
	if at == 0 {
		return badRequest("there is no command %q%s; help lists the commands", words[0], suggestion)
	}
	return badRequest("%q cannot follow %q: want %s%s", words[at], so, alternatives(before), suggestion)
}

func (e expectation) literals() []string {
	var words []string
	for _, s := range e.slots {
		if s.isLiteral() {
			words = append(words, string(s))
		}
	}
	return words
}

// alternatives lists the possible next words once each.
func alternatives(e expectation) string {
	var words []string
	for i, s := range e.slots {
		word := strings.ToLower(string(s))
		switch {
		case s.isFields() && e.taken[i]%2 == 1:
			word = "a value"
		case s.isFields():
			word = "a field (" + strings.Join(fieldNames(s), ", ") + ")"
		case !s.isLiteral():
			word = "a " + word
		}
		if !slices.Contains(words, word) {
			words = append(words, word)
		}
	}
	return strings.Join(words, " or ")
}

func fieldNames(s slot) []string {
	switch s {
	case slotZoneFields:
		return configuration.FieldNames(configuration.ZoneFields())
	case slotServiceFields:
		return configuration.FieldNames(configuration.ServiceFields())
	case slotTeamFields:
		return configuration.FieldNames(configuration.TeamFields())
	default:
		return configuration.FieldNames(configuration.LimitFields())
	}
}

// fieldWords returns the fixed values of a field.
func fieldWords(s slot, name string) []string {
	switch s {
	case slotZoneFields:
		return wordsOf(configuration.ZoneFields(), name)
	case slotServiceFields:
		return wordsOf(configuration.ServiceFields(), name)
	case slotTeamFields:
		return wordsOf(configuration.TeamFields(), name)
	default:
		return nil
	}
}

func wordsOf[T any](fields []configuration.Field[T], name string) []string {
	for _, field := range fields {
		if field.Name == name {
			return field.Words
		}
	}
	return nil
}

// RoleOf returns the role that a line needs. A line that is no sentence needs the highest.
func RoleOf(line string) admin.Role {
	words := strings.Fields(line)
	for _, s := range sentences {
		if _, _, complete, ok := match(s.slots(), words); ok && complete {
			return s.role
		}
	}
	return admin.RoleAdministrator
}

// complete returns the sorted candidates for the last word of a partial line. names gives the known names of a
// placeholder.
func complete(line string, names func(slot) []string) []string {
	words := strings.Fields(line)
	partial := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		partial = words[len(words)-1]
		words = words[:len(words)-1]
	}
	next, _ := expect(words)
	var found []string
	for i, s := range next.slots {
		for _, word := range candidates(s, next.taken[i], words, names) {
			if strings.HasPrefix(word, partial) {
				found = append(found, word)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// CompleteOffline returns the candidates that need no gateway: all but the names of zones, servers and the like.
func CompleteOffline(line string) []string {
	return complete(line, func(slot) []string { return nil })
}

func candidates(s slot, taken int, words []string, names func(slot) []string) []string {
	switch {
	case s.isLiteral():
		return []string{string(s)}
	case !s.isFields():
		return names(s)
	case taken%2 == 0:
		return fieldNames(s)
	}
	field := words[len(words)-1]
	values := slices.Clone(fieldWords(s, field))
	if field == "zones" {
		values = append(values, names(slotZone)...)
	}
	return values
}

// helpTable lists the sentences that begin with a word, or all.
func helpTable(topic string) (*admin.Result, *structs.Problem) {
	list := newTable("command", "needs", "does")
	var firsts []string
	for _, s := range sentences {
		words := make([]string, 0, len(s.slots()))
		for _, slot := range s.slots() {
			words = append(words, slot.text())
		}
		firsts = append(firsts, words[0])
		if topic == "" || words[0] == topic {
			list.add(strings.Join(words, " "), s.role.String(), s.help)
		}
	}
	if len(list.rows) == 0 {
		return nil, unknownName("command", topic, firsts)
	}
	result := list.result()
	result.Notes = append(result.Notes, fieldHelp(topic)...)
	return result, nil
}

func fieldHelp(topic string) []string {
	switch topic {
	case "zone":
		return fieldLines(configuration.ZoneFields())
	case "service":
		return fieldLines(configuration.ServiceFields())
	case "team":
		return fieldLines(configuration.TeamFields())
	case "set":
		return fieldLines(configuration.LimitFields())
	}
	return nil
}

func fieldLines[T any](fields []configuration.Field[T]) []string {
	lines := make([]string, len(fields))
	for i, field := range fields {
		lines[i] = field.Name + ": " + field.Want
	}
	return lines
}

func badRequest(format string, args ...any) *structs.Problem {
	return refusal(structs.CodeBadRequest, http.StatusBadRequest, format, args...)
}

func refusal(code structs.Code, status int, format string, args ...any) *structs.Problem {
	return &structs.Problem{Code: code, Status: status, Outcome: structs.OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
}

// unknownName refuses a name and suggests the nearest known one.
func unknownName(kind, name string, known []string) *structs.Problem {
	detail := fmt.Sprintf("there is no %s %q", kind, name)
	if near := configuration.Nearest(name, known); near != "" {
		detail += fmt.Sprintf(" (did you mean %q?)", near)
	}
	return refusal(structs.CodeNotFound, http.StatusNotFound, "%s", detail)
}
