// Package settings reads the settings of a process from flags and environment variables, checks all of them and
// reports every fault at once.
//
// A settings struct embeds Common and describes each field by tags: `arg` and `help` as in go-arg, `min`, `max` and
// `unit` for Int and Duration, `check` (name, hostport, loopback, port, url, file, word:a|b) for strings, `required` and
// `secret`.
package settings

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/alexflint/go-arg"

	"rosedrift.example/rosedrift/internal/structs"
)

// Common holds the settings that every process has.
type Common struct {
	LogLevel      string `arg:"--log-level,env:ROSEDRIFT_LOG_LEVEL" default:"info" check:"word:debug|info|warn|error" help:"lowest level of log lines: debug, info, warn or error"`
	LogFormat     string `arg:"--log-format,env:ROSEDRIFT_LOG_FORMAT" default:"logfmt" check:"word:logfmt|json" help:"format of log lines: logfmt or json"`
	PprofListen   string `arg:"--pprof-listen,env:ROSEDRIFT_PPROF_LISTEN" check:"loopback" help:"loopback address (host:port) that serves profiles of the process; empty serves none"`
	Check         bool   `arg:"--check" help:"check the settings and exit"`
	PrintSettings bool   `arg:"--print-settings" help:"print the settings in force, secrets masked, and exit"`
}

func (c *Common) common() *Common { return c }

// Validator adds checks that concern several fields. It returns one fault per entry.
type Validator interface{ Validate() []Violation }

// Violation is one wrong setting.
type Violation struct {
	// Flag is the flag, Env the environment variable.
	Flag   string
	Env    string
	Reason string
}

// ValidationError is the error that lists every wrong setting.
type ValidationError []Violation

// Error implements error.
func (f ValidationError) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("%d wrong settings:", len(f)))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("  %s (%s): %s", fault.Flag, fault.Env, fault.Reason))
	}
	return strings.Join(lines, "\n")
}

// ErrDone reports that the process has done what it was asked for (help, check, printing) and exits with status 0.
var ErrDone = errors.New("settings: nothing to run")

// withCommon is implemented by every settings struct, which embeds Common.
type withCommon interface{ common() *Common }

// Parse fills into (a pointer to a settings struct) from args, without the program name, and the environment, and
// checks it. It prints help or settings to out. The error is ErrDone, Faults or one of go-arg about unknown flags.
func Parse(program string, args []string, out io.Writer, into withCommon) error {
	parser, err := arg.NewParser(arg.Config{Program: program}, into)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", program, err)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return ErrDone
	} else if err != nil {
		return fmt.Errorf("%w (see %s --help)", err, program)
	}
	if into.common().PrintSettings {
		Print(out, into)
	}
	if faults := Check(into); len(faults) > 0 {
		return faults
	}
	if into.common().Check {
		_, _ = fmt.Fprintln(out, "settings are valid")
	}
	if into.common().Check || into.common().PrintSettings {
		return ErrDone
	}
	return nil
}

// Main parses the process's own arguments and ends the process on faults (status 2) and when nothing is to run.
func Main(program string, into withCommon) {
	err := Parse(program, os.Args[1:], os.Stdout, into)
	if errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, program+": "+err.Error())
		os.Exit(2)
	}
}

// Check returns the faults of all fields in the order of the struct, then those of Validate.
func Check(into any) ValidationError {
	var faults ValidationError
	eachField(into, func(field reflect.StructField, value reflect.Value) {
		why := checkField(field, value.Interface())
		if why == "" {
			return
		}
		faults = append(faults, Violation{Flag: flagOf(field), Env: envOf(field), Reason: why})
	})
	if v, ok := into.(Validator); ok {
		faults = append(faults, v.Validate()...)
	}
	return faults
}

// masked replaces secret values in printed settings.
const masked = "********"

// Print writes one line per setting: environment variable, value.
func Print(out io.Writer, into any) {
	eachField(into, func(field reflect.StructField, value reflect.Value) {
		name := envOf(field)
		if name == "" {
			return
		}
		text := fmt.Sprint(value.Interface())
		if i, ok := value.Interface().(Int); ok {
			text = strconv.FormatInt(i.Value, 10)
		}
		if list, ok := value.Interface().([]string); ok {
			text = strings.Join(list, ",")
		}
		if field.Tag.Get("secret") != "" && text != "" {
			text = masked
		}
		_, _ = fmt.Fprintf(out, "%s=%s\n", name, text)
	})
}

func eachField(into any, visit func(reflect.StructField, reflect.Value)) {
	value := reflect.Indirect(reflect.ValueOf(into))
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			eachField(value.Field(i).Addr().Interface(), visit)
			continue
		}
		if field.Tag.Get("arg") != "" {
			visit(field, value.Field(i))
		}
	}
}

func checkField(field reflect.StructField, value any) string {
	low, high, unit := field.Tag.Get("min"), field.Tag.Get("max"), field.Tag.Get("unit")
	switch v := value.(type) {
	case Duration:
		return v.fault(low, high)
	case Int:
		return v.fault(low, high, unit)
	case string:
		return checkText(field, v)
	case []string:
		return checkList(field, v)
	}
	return ""
}

func checkList(field reflect.StructField, list []string) string {
	if len(list) == 0 && field.Tag.Get("required") != "" {
		return "is required"
	}
	for _, text := range list {
		if why := checkText(field, text); why != "" {
			return why
		}
	}
	return ""
}

func checkText(field reflect.StructField, text string) string {
	if text == "" {
		if field.Tag.Get("required") != "" {
			return "is required"
		}
		return ""
	}
	rule, words, _ := strings.Cut(field.Tag.Get("check"), ":")
	switch rule {
	case "name":
		return checkName(text)
	case "hostport":
		return checkHostPort(text)
	case "loopback":
		return checkLoopback(text)
	case "url":
		return checkURL(text)
	case "file":
		return checkFile(text)
	case "word":
		return checkWord(text, strings.Split(words, "|"))
	}
	return ""
}

func checkName(text string) string {
	if structs.ValidName(text) {
		return ""
	}
	return fmt.Sprintf("%q is no name (1 to %d lower-case letters, digits and hyphens)", text, structs.MaxNameLength)
}

func checkHostPort(text string) string {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Sprintf("%q is no address (want host:port)", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q has no valid port (0 to 65535)", text)
	}
	return ""
}

func checkLoopback(text string) string {
	if why := checkHostPort(text); why != "" {
		return why
	}
	if !IsLoopback(text) {
		return fmt.Sprintf("%q is no loopback address", text)
	}
	return ""
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is no URL (want http://host:port or https://host:port)", text)
	}
	return ""
}

func checkFile(text string) string {
	info, err := os.Stat(text)
	if err != nil {
		return fmt.Sprintf("cannot read the file: %v", err)
	}
	if info.IsDir() {
		return fmt.Sprintf("%q is a directory, want a file", text)
	}
	return ""
}

func checkWord(text string, words []string) string {
	for _, word := range words {
		if text == word {
			return ""
		}
	}
	return fmt.Sprintf("%q is not one of %s", text, strings.Join(words, ", "))
}

func flagOf(field reflect.StructField) string { return argPart(field, "--", "--") }

func envOf(field reflect.StructField) string { return argPart(field, "env:", "") }

func argPart(field reflect.StructField, prefix, with string) string {
	for _, part := range strings.Split(field.Tag.Get("arg"), ",") {
		if name, ok := strings.CutPrefix(part, prefix); ok {
			return with + name
		}
	}
	return ""
}
