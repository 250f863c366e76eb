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

// symbol is an element of a usage: a literal word in lower case, or a placeholder in upper case.
type symbol string

// The placeholders. Those that end in FIELDS stand for one or more pairs of a field and a value or, with the suffix
// "?", for any number of them.
const (
	symbolZone          symbol = "ZONE"
	symbolServer        symbol = "SERVER"
	symbolService       symbol = "SERVICE"
	symbolTeam          symbol = "TEAM"
	symbolGateway       symbol = "GATEWAY"
	symbolJob           symbol = "JOB"
	symbolName          symbol = "NAME"
	symbolRevision      symbol = "REVISION"
	symbolWord          symbol = "WORD"
	symbolZoneFields    symbol = "ZONE_FIELDS"
	symbolServiceFields symbol = "SERVICE_FIELDS"
	symbolTeamFields    symbol = "TEAM_FIELDS"
	symbolLimitFields   symbol = "LIMIT_FIELDS"
	optionalSuffix             = "?"
)

// usage is one form of a command, with the role that it needs and its help text. The table of usages serves to check
// roles, explain syntax errors, complete lines and print help. A test checks that it agrees with the grammar.
type usage struct {
	form string
	role admin.Role
	help string
}

var usages = []usage{
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

func (u usage) symbols() []symbol {
	words := strings.Fields(u.form)
	symbols := make([]symbol, len(words))
	for i, word := range words {
		symbols[i] = symbol(word)
	}
	return symbols
}

func (s symbol) isLiteral() bool { return strings.ToLower(string(s)) == string(s) }

func (s symbol) isFields() bool { return strings.Contains(string(s), "_FIELDS") }

// base returns the symbol without the suffix for an optional one.
func (s symbol) base() symbol { return symbol(strings.TrimSuffix(string(s), optionalSuffix)) }

// text returns the symbol as it is printed by help.
func (s symbol) text() string {
	switch {
	case s.isFields() && strings.HasSuffix(string(s), optionalSuffix):
		return "[FIELD VALUE]..."
	case s.isFields():
		return "FIELD VALUE..."
	}
	return string(s)
}

// expectation describes what may follow the first words of a line.
type expectation struct {
	// symbols are the possible next symbols. consumed has, for each of them, the number of words that a fields symbol has
	// consumed so far.
	symbols  []symbol
	consumed []int
	// complete is true if the words are a complete command.
	complete bool
}

// expect returns what may follow the words. ok is false if no command begins with them.
func expect(words []string) (expectation, bool) {
	var result expectation
	ok := false
	for _, u := range usages {
		next, consumed, complete, matches := match(u.symbols(), words)
		if !matches {
			continue
		}
		ok = true
		result.complete = result.complete || complete
		if next != "" {
			result.symbols = append(result.symbols, next)
			result.consumed = append(result.consumed, consumed)
		}
	}
	return result, ok
}

// match returns the symbol that follows the words in a usage with the given symbols, and how many words a fields symbol
// has consumed. complete is true if the words are a complete command, ok if the usage begins with them. If nothing may
// follow the words, next is empty.
func match(symbols []symbol, words []string) (next symbol, consumed int, complete, ok bool) {
	for i, s := range symbols {
		if s.isFields() {
			consumed = len(words) - i
			complete = consumed%2 == 0 && (consumed > 0 || strings.HasSuffix(string(s), optionalSuffix))
			return s.base(), consumed, complete, true
		}
		if i == len(words) {
			return s, 0, false, true
		}
		if s.isLiteral() && string(s) != words[i] {
			return "", 0, false, false
		}
	}
	return "", 0, true, len(words) == len(symbols)
}

// explainSyntaxError explains which word of a line that does not parse is wrong, and what is valid in its place.
func explainSyntaxError(words []string) *structs.Problem {
	if len(words) == 0 {
		return badRequest("the command is empty; try help")
	}
	for i := range words {
		if _, ok := expect(words[:i+1]); ok {
			continue
		}
		before, _ := expect(words[:i])
		return explainUnexpectedWord(words, i, before)
	}
	next, _ := expect(words)
	return badRequest("%q is incomplete: next comes %s", strings.Join(words, " "), alternatives(next))
}

// explainUnexpectedWord explains why the word at the given index is wrong. before describes what may follow the words
// that precede it.
func explainUnexpectedWord(words []string, at int, before expectation) *structs.Problem {
	prefix := strings.Join(words[:at], " ")
	if len(before.symbols) == 0 {
		return badRequest("%q is a whole command; leave out %q", prefix, strings.Join(words[at:], " "))
	}
	suggestion := ""
	if nearest := configuration.Nearest(words[at], before.literals()); nearest != "" {
		suggestion = fmt.Sprintf(" (did you mean %q?)", nearest)
	}
	if at == 0 {
		return badRequest("there is no command %q%s; help lists the commands", words[0], suggestion)
	}
	return badRequest("%q cannot follow %q: want %s%s", words[at], prefix, alternatives(before), suggestion)
}

func (e expectation) literals() []string {
	var words []string
	for _, s := range e.symbols {
		if s.isLiteral() {
			words = append(words, string(s))
		}
	}
	return words
}

// alternatives describes the possible next words, without duplicates.
func alternatives(e expectation) string {
	var words []string
	for i, s := range e.symbols {
		word := strings.ToLower(string(s))
		switch {
		case s.isFields() && e.consumed[i]%2 == 1:
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

func fieldNames(s symbol) []string {
	switch s {
	case symbolZoneFields:
		return configuration.FieldNames(configuration.ZoneFields())
	case symbolServiceFields:
		return configuration.FieldNames(configuration.ServiceFields())
	case symbolTeamFields:
		return configuration.FieldNames(configuration.TeamFields())
	default:
		return configuration.FieldNames(configuration.LimitFields())
	}
}

// fieldValues returns the fixed words among the valid values of a field.
func fieldValues(s symbol, name string) []string {
	switch s {
	case symbolZoneFields:
		return valuesOf(configuration.ZoneFields(), name)
	case symbolServiceFields:
		return valuesOf(configuration.ServiceFields(), name)
	case symbolTeamFields:
		return valuesOf(configuration.TeamFields(), name)
	default:
		return nil
	}
}

func valuesOf[T any](fields []configuration.Field[T], name string) []string {
	for _, field := range fields {
		if field.Name == name {
			return field.Words
		}
	}
	return nil
}

// RoleOf returns the role that a line needs. For a line that is not a command this is the highest role.
func RoleOf(line string) admin.Role {
	words := strings.Fields(line)
	for _, u := range usages {
		if _, _, complete, ok := match(u.symbols(), words); ok && complete {
			return u.role
		}
	}
	return admin.RoleAdministrator
}

// complete returns the candidates for the last word of a partial line, sorted. names returns the known names for a
// placeholder.
func complete(line string, names func(symbol) []string) []string {
	words := strings.Fields(line)
	partial := ""
	if len(words) > 0 && !strings.HasSuffix(line, " ") {
		partial = words[len(words)-1]
		words = words[:len(words)-1]
	}
	next, _ := expect(words)
	var found []string
	for i, s := range next.symbols {
		for _, word := range candidates(s, next.consumed[i], words, names) {
			if strings.HasPrefix(word, partial) {
				found = append(found, word)
			}
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// CompleteOffline returns the completion candidates that are known without a gateway: all but the names of zones,
// servers and other objects.
func CompleteOffline(line string) []string {
	return complete(line, func(symbol) []string { return nil })
}

// candidates returns the words that a symbol may stand for after the given words of a line.
func candidates(s symbol, consumed int, words []string, names func(symbol) []string) []string {
	switch {
	case s.isLiteral():
		return []string{string(s)}
	case !s.isFields():
		return names(s)
	case consumed%2 == 0:
		return fieldNames(s)
	}
	field := words[len(words)-1]
	values := slices.Clone(fieldValues(s, field))
	if field == "zones" {
		values = append(values, names(symbolZone)...)
	}
	return values
}

// helpTable lists the commands that begin with the word topic, or all commands if it is empty.
func helpTable(topic string) (*admin.Result, *structs.Problem) {
	list := newTable("command", "needs", "does")
	var firstWords []string
	for _, u := range usages {
		words := make([]string, 0, len(u.symbols()))
		for _, s := range u.symbols() {
			words = append(words, s.text())
		}
		firstWords = append(firstWords, words[0])
		if topic == "" || words[0] == topic {
			list.add(strings.Join(words, " "), u.role.String(), u.help)
		}
	}
	if len(list.rows) == 0 {
		return nil, unknownName("command", topic, firstWords)
	}
	result := list.result()
	result.Notes = append(result.Notes, fieldHelp(topic)...)
	return result, nil
}

// fieldHelp describes the fields of the objects that a command changes.
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

// refusal returns a problem for a command that was not executed.
func refusal(code structs.Code, status int, format string, args ...any) *structs.Problem {
	return &structs.Problem{Code: code, Status: status, Outcome: structs.OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
}

// unknownName returns the problem for an unknown name, with the nearest known name as a suggestion.
func unknownName(kind, name string, known []string) *structs.Problem {
	detail := fmt.Sprintf("there is no %s %q", kind, name)
	if nearest := configuration.Nearest(name, known); nearest != "" {
		detail += fmt.Sprintf(" (did you mean %q?)", nearest)
	}
	return refusal(structs.CodeNotFound, http.StatusNotFound, "%s", detail)
}
