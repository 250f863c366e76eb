// Package query implements the commands for operators, such as "zone catania out". They are the same on the command
// line and in the admin API. The package parses commands, completes them, explains syntax errors with the nearest valid
// word, and executes commands on an admin.System.
package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"rosedrift.example/rosedrift/internal/structs"
)

// MaxLineBytes limits the length of a command.
const MaxLineBytes = 4 << 10

// Command is a parsed command. Exactly one field is set.
type Command struct {
	// Plain is set for a command that consists of one word.
	Plain   string       `parser:"  @('zones'|'services'|'teams'|'gateways'|'limits'|'export'|'import')"`
	Help    *Help        `parser:"| @@"`
	Servers *ServerList  `parser:"| @@"`
	Pools   *PoolList    `parser:"| @@"`
	Jobs    *JobList     `parser:"| @@"`
	History *History     `parser:"| @@"`
	Zone    *Zone        `parser:"| @@"`
	Server  *Server      `parser:"| @@"`
	Service *Service     `parser:"| @@"`
	Team    *Team        `parser:"| @@"`
	Set     *Change      `parser:"| @@"`
	Cancel  string       `parser:"| 'cancel' 'job' @Word"`
	Why     *Why         `parser:"| 'why' @@"`
	Gateway *GatewayGone `parser:"| @@"`
}

// Help lists the commands that begin with the word Topic, or all commands if it is empty.
type Help struct {
	Keyword string `parser:"@'help'"`
	Topic   string `parser:"@Word?"`
}

// ServerList lists backend servers, of one zone if Zone is set.
type ServerList struct {
	Keyword string `parser:"@'servers'"`
	Zone    string `parser:"('in' @Word)?"`
}

// PoolList lists pools, of one service if Service is set.
type PoolList struct {
	Keyword string `parser:"@'pools'"`
	Service string `parser:"@Word?"`
}

// JobList lists jobs, of one service if Service is set.
type JobList struct {
	Keyword string `parser:"@'jobs'"`
	Service string `parser:"@Word?"`
}

// History lists the audit entries, of revisions below Before if it is set.
type History struct {
	Keyword string `parser:"@'history'"`
	Before  string `parser:"('before' @Word)?"`
}

// Zone changes an availability zone.
type Zone struct {
	Name   string  `parser:"'zone' @Word"`
	State  string  `parser:"( @('in'|'out')"`
	Create *Create `parser:"| @@"`
	Change *Change `parser:"| @@ )"`
}

// Server changes a backend server.
type Server struct {
	Name string `parser:"'server' @Word"`
	Verb string `parser:"@('drain'|'activate')"`
}

// Service changes a service.
type Service struct {
	Name   string  `parser:"'service' @Word"`
	Create *Create `parser:"( @@"`
	Change *Change `parser:"| @@"`
	Remove bool    `parser:"| @'remove' )"`
}

// Team changes a team.
type Team struct {
	Name   string  `parser:"'team' @Word"`
	Create *Create `parser:"( @@"`
	Change *Change `parser:"| @@"`
	Remove bool    `parser:"| @'remove' )"`
}

// Create creates an object with the given settings; the others have their defaults.
type Create struct {
	Keyword  string       `parser:"@'create'"`
	Settings []Assignment `parser:"@@*"`
}

// Change changes settings of an object.
type Change struct {
	Keyword  string       `parser:"@'set'"`
	Settings []Assignment `parser:"@@+"`
}

// Assignment is a field with its new value.
type Assignment struct {
	Field string `parser:"@Word"`
	Value string `parser:"@Word"`
}

// Why asks why a job or the queue of a service waits.
type Why struct {
	Job   string `parser:"  'job' @Word"`
	Queue string `parser:"| 'queue' @Word"`
}

// GatewayGone states that a gateway will never run again.
type GatewayGone struct {
	Name string `parser:"'gateway' @Word 'gone'"`
}

var parser = participle.MustBuild[Command](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `\S+`},
	{Name: "Space", Pattern: `\s+`},
})), participle.Elide("Space"))

// Parse parses a command. A syntax error is a *structs.Problem of CodeBadRequest that quotes the wrong word and
// suggests the nearest valid one.
func Parse(line string) (*Command, error) {
	if len(line) > MaxLineBytes {
		return nil, badRequest("the command is longer than %d bytes", MaxLineBytes)
	}
	words := strings.Fields(line)
	command, err := parser.ParseString("", strings.Join(words, " "))
	if err == nil {
		return command, nil
	}
	return nil, explainSyntaxError(words)
}

// NeedsConfirmation reports whether the effects of a command cannot be undone or take capacity away. The command line
// then asks for a confirmation.
func (c *Command) NeedsConfirmation() bool {
	switch {
	case c.Zone != nil:
		out := string(structs.ZoneOut)
		return c.Zone.State == out || c.Zone.Change != nil && resultingState(c.Zone.Change.Settings) == out
	case c.Service != nil:
		return c.Service.Remove
	case c.Team != nil:
		return c.Team.Remove
	}
	return c.Gateway != nil || c.Plain == wordImport
}

// ReadOnly reports whether the command changes nothing.
func (c *Command) ReadOnly() bool {
	changes := c.Zone != nil || c.Server != nil || c.Service != nil || c.Team != nil || c.Set != nil ||
		c.Cancel != "" || c.Gateway != nil || c.Plain == wordImport
	return !changes
}

// ChangesConfiguration reports whether the command proposes a revision of the configuration.
func (c *Command) ChangesConfiguration() bool {
	return !c.ReadOnly() && c.Cancel == "" && c.Gateway == nil
}

const (
	wordImport = "import"
	wordExport = "export"
)
