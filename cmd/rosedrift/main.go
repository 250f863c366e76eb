// Command rosedrift is the operators' command line: rosedrift [FLAGS] COMMAND. COMMAND is a short sentence such as "zone
// catania out", which a gateway carries out. "rosedrift help" lists the commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"rosedrift.example/rosedrift/internal/query"
)

// The exit codes.
const (
	// exitDone: the command is done, and its change, if any, is in force.
	exitDone = 0
	// exitRefused: the command was refused or not confirmed; nothing is changed.
	exitRefused = 1
	// exitUsage: the command or a flag is not understood; nothing is changed.
	exitUsage = 2
	// exitUnknown: the answer was lost; the change may have happened.
	exitUnknown = 3
	// exitNotInForce: the change is accepted but was not in force within the timeout.
	exitNotInForce = 4
	// exitUnreachable: the gateway cannot be reached or does not answer a command that changes nothing; nothing is
	// changed.
	exitUnreachable = 5
)

type options struct {
	Gateway string        `arg:"--gateway,env:ROSEDRIFT_GATEWAY" default:"http://127.0.0.1:7400" help:"URL of a gateway or of the load balancer"`
	Key     string        `arg:"--key,env:ROSEDRIFT_KEY" help:"operator key; better given by the environment, where other users do not see it"`
	JSON    bool          `arg:"--json" help:"print JSON instead of text"`
	DryRun  bool          `arg:"--dry-run" help:"say what would happen and change nothing"`
	Yes     bool          `arg:"--yes,-y" help:"do not ask for confirmation"`
	Watch   bool          `arg:"--watch" help:"repeat a listing every 2 s until interrupted"`
	Timeout time.Duration `arg:"--timeout" default:"10s" help:"longest wait until a change is in force"`
	jobOptions
	Words []string `arg:"positional" placeholder:"COMMAND" help:"a sentence, for example: zone catania out"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "Operates rosedrift. \"rosedrift help\" lists the commands, \"rosedrift completion bash\" prints completion for bash. " +
		"\"rosedrift why job ID logs\" explains a job of the users' platform from log lines on standard input, \"rosedrift quarantines\" " +
		"lists its queues in quarantine, \"rosedrift quarantines lift QUEUE\" ends one, and \"rosedrift where QUEUE\" shows where a job " +
		"would be placed now; --gateway is then a gateway's metrics address."
}

// Epilogue implements arg.Epilogued.
func (options) Epilogue() string {
	return "Exit codes: 0 done and in force, 1 refused, 2 not understood, 3 the change may have happened, " +
		"4 accepted but not yet in force, 5 gateway not reachable."
}

// terminal holds the standard streams of a command.
type terminal struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], terminal{os.Stdin, os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, term terminal) int {
	opts := options{}
	parser, err := arg.NewParser(arg.Config{Program: "rosedrift"}, &opts)
	if err != nil {
		return term.fail(exitUsage, err.Error())
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(term.out)
		return exitDone
	}
	if err != nil {
		return term.fail(exitUsage, err.Error())
	}
	if len(opts.Words) == 0 {
		parser.WriteHelp(term.err)
		return exitUsage
	}
	s := session{options: opts, terminal: term, client: newClient(opts)}
	return s.runCommand(ctx)
}

// fail prints an error and returns the exit code.
func (t terminal) fail(code int, text string) int {
	_, _ = fmt.Fprintln(t.err, "rosedrift: "+text)
	return code
}

func (t terminal) println(lines ...string) {
	for _, line := range lines {
		_, _ = fmt.Fprintln(t.out, line)
	}
}

// session holds the options, the streams and the client of one command.
type session struct {
	options
	terminal
	client *client
}

// runCommand carries out the commands that need no gateway or prepare a request themselves, and sends all others to the
// gateway.
func (s session) runCommand(ctx context.Context) int {
	if s.Words[0] != commandWhere && s.jobOptions != (jobOptions{}) {
		return s.fail(exitUsage, "a job is described only for the command where")
	}
	switch s.Words[0] {
	case "completion":
		return s.printCompletion()
	case "complete":
		return s.printCandidates(ctx, strings.Join(s.Words[1:], " "))
	case "key":
		return s.createKey()
	case "import":
		return s.importFile(ctx)
	case "quarantines":
		return s.quarantines(ctx)
	case commandWhere:
		return s.where(ctx)
	}
	if s.isWhyLogs() {
		return s.whyLogs()
	}
	line := strings.Join(s.Words, " ")
	command, err := query.Parse(line)
	if err != nil {
		return s.reportError(err)
	}
	if s.Watch {
		return s.watch(ctx, line, command)
	}
	return s.execute(ctx, line, "", command)
}
