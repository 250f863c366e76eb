// Package query is the operators' language: short sentences such as "zone catania out", the same on the command line
// and in the admin API. It parses them, completes them, explains mistakes with the nearest valid word, and executes
// them against admin.System.
package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"rosedrift.example/rosedrift/internal/structs"
)

// MaxLineBytes bounds a command line.
const MaxLineBytes = 4 << 10

// Command is one parsed sentence. Exactly one field is set.
type Command struct {
	// Plain is a sentence of one word.
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

// Help lists the sentences that begin with a word, or all.
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

// Create gives the first settings of a new object; the others have their defaults.
type Create struct {
	Keyword  string       `parser:"@'create'"`
	Settings []Assignment `parser:"@@*"`
}

// Change gives new settings.
type Change struct {
	Keyword  string       `parser:"@'set'"`
	Settings []Assignment `parser:"@@+"`
}

// Assignment is one setting.
type Assignment struct {
	Field string `parser:"@Word"`
	Value string `parser:"@Word"`
}

// Why asks for the reason why a job or the queue of a service waits.
type Why struct {
	Job   string `parser:"  'job' @Word"`
	Queue string `parser:"| 'queue' @Word"`
}

// GatewayGone is the statement that a gateway will never run again.
type GatewayGone struct {
	Name string `parser:"'gateway' @Word 'gone'"`
}

var parser = participle.MustBuild[Command](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Word", Pattern: `\S+`},
	{Name: "Space", Pattern: `\s+`},
})), participle.Elide("Space"))

// Parse returns the command of a line. A mistake is a *structs.Problem of CodeBadRequest that quotes the word and
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
	return nil, explain(words)
}

// NeedsConfirmation reports whether a command has effects that cannot be taken back or that take capacity away, so
// that the command line asks first.
func (c *Command) NeedsConfirmation() bool {
	switch {
	case c.Zone != nil:
		out := string(structs.ZoneOut)
		return c.Zone.State == out || c.Zone.Change != nil && lastState(c.Zone.Change.Settings) == out
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
