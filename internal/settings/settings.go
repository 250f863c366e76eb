// Package settings reads the settings of a process from flags and environment variables. It validates all of them and
// reports every invalid one at once.
//
// A settings struct embeds Common and describes each field by tags: `arg` and `help` as in go-arg; `min`, `max` and
// `unit` for Int and Duration; `check` (name, hostport, loopback, url, file, word:a|b) for strings; `required` for
// strings and lists that must not be empty; and `secret` for values that are masked when they are printed.
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

// Common holds the settings that all processes have.
type Common struct {
	LogLevel      string `arg:"--log-level,env:ROSEDRIFT_LOG_LEVEL" default:"info" check:"word:debug|info|warn|error" help:"lowest level of log lines: debug, info, warn or error"`
	LogFormat     string `arg:"--log-format,env:ROSEDRIFT_LOG_FORMAT" default:"logfmt" check:"word:logfmt|json" help:"format of log lines: logfmt or json"`
	PprofListen   string `arg:"--pprof-listen,env:ROSEDRIFT_PPROF_LISTEN" check:"loopback" help:"loopback address (host:port) that serves profiles of the process; empty serves none"`
	Check         bool   `arg:"--check" help:"check the settings and exit"`
	PrintSettings bool   `arg:"--print-settings" help:"print the settings in force, secrets masked, and exit"`
}

func (c *Common) common() *Common { return c }

// Validator is implemented by settings structs with constraints across several fields. Validate returns the violations
// of these constraints.
type Validator interface{ Validate() []Violation }

// Violation describes one invalid setting.
type Violation struct {
	// Flag is the flag of the setting, Env its environment variable.
	Flag   string
	Env    string
	Reason string
}

// ValidationError is the error that lists all invalid settings.
type ValidationError []Violation

// Error implements error.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e)+1)
	lines = append(lines, fmt.Sprintf("%d invalid settings:", len(e)))
	for _, violation := range e {
		lines = append(lines, fmt.Sprintf("  %s (%s): %s", violation.Flag, violation.Env, violation.Reason))
	}
	return strings.Join(lines, "\n")
}

// ErrDone is returned by Parse when the process was only asked to print its help or settings or to check them. The
// process then exits with status 0.
var ErrDone = errors.New("settings: nothing to run")

// settingsStruct is implemented by every settings struct, since it embeds Common.
type settingsStruct interface{ common() *Common }

// Parse reads and validates settings from the environment and from args, which do not include the program name. into is
// a pointer to the settings struct. Parse prints help or settings to out if args ask for it. The error is ErrDone, a
// ValidationError, or an error of go-arg, for example about an unknown flag.
func Parse(program string, args []string, out io.Writer, into settingsStruct) error {
	parser, err := arg.NewParser(arg.Config{Program: program}, into)
	if err != nil {
		return fmt.Errorf("settings struct of %s: %w", program, err)
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
	if violations := Check(into); len(violations) > 0 {
		return violations
	}
	if into.common().Check {
		_, _ = fmt.Fprintln(out, "settings are valid")
	}
	if into.common().Check || into.common().PrintSettings {
		return ErrDone
	}
	return nil
}

// Main calls Parse with the arguments of the process. It exits with status 2 on an error, and with status 0 if only
// help, settings or a check were asked for.
func Main(program string, into settingsStruct) {
	err := Parse(program, os.Args[1:], os.Stdout, into)
	if errors.Is(err, ErrDone) {
		os.Exit(0)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, program+": "+err.Error())
		os.Exit(2)
	}
}

// Check returns the violations of all fields in the order of the struct, followed by those that Validate returns.
func Check(into any) ValidationError {
	var violations ValidationError
	forEachField(into, func(field reflect.StructField, value reflect.Value) {
		reason := checkField(field, value.Interface())
		if reason == "" {
			return
		}
		violations = append(violations, Violation{Flag: flagName(field), Env: envName(field), Reason: reason})
	})
	if v, ok := into.(Validator); ok {
		violations = append(violations, v.Validate()...)
	}
	return violations
}

// maskedValue is printed in place of a secret.
const maskedValue = "********"

// Print writes a line NAME=VALUE for each setting that has an environment variable, with the variable as its name.
func Print(out io.Writer, into any) {
	forEachField(into, func(field reflect.StructField, value reflect.Value) {
		name := envName(field)
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
			text = maskedValue
		}
		_, _ = fmt.Fprintf(out, "%s=%s\n", name, text)
	})
}

// forEachField calls visit for each field with an `arg` tag, also for those of embedded structs.
func forEachField(into any, visit func(reflect.StructField, reflect.Value)) {
	value := reflect.Indirect(reflect.ValueOf(into))
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if field.Anonymous {
			forEachField(value.Field(i).Addr().Interface(), visit)
			continue
		}
		if field.Tag.Get("arg") != "" {
			visit(field, value.Field(i))
		}
	}
}

// checkField returns why a value is invalid. Like all functions check..., it returns an empty string for a valid value.
func checkField(field reflect.StructField, value any) string {
	low, high, unit := field.Tag.Get("min"), field.Tag.Get("max"), field.Tag.Get("unit")
	switch v := value.(type) {
	case Duration:
		return v.violation(low, high)
	case Int:
		return v.violation(low, high, unit)
	case string:
		return checkString(field, v)
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
		if reason := checkString(field, text); reason != "" {
			return reason
		}
	}
	return ""
}

func checkString(field reflect.StructField, text string) string {
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
	return fmt.Sprintf("%q is not a valid name (1 to %d lower-case letters, digits and hyphens)", text, structs.MaxNameLength)
}

func checkHostPort(text string) string {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Sprintf("%q is not an address of the form host:port", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Sprintf("%q has no valid port (0 to 65535)", text)
	}
	return ""
}

func checkLoopback(text string) string {
	if reason := checkHostPort(text); reason != "" {
		return reason
	}
	if !IsLoopback(text) {
		return fmt.Sprintf("%q is not a loopback address", text)
	}
	return ""
}

func checkURL(text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Sprintf("%q is not a URL of the form http://host:port or https://host:port", text)
	}
	return ""
}

func checkFile(text string) string {
	info, err := os.Stat(text)
	if err != nil {
		return fmt.Sprintf("cannot access the file: %v", err)
	}
	if info.IsDir() {
		return fmt.Sprintf("%q is a directory, not a file", text)
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

func flagName(field reflect.StructField) string { return argTagPart(field, "--", "--") }

func envName(field reflect.StructField) string { return argTagPart(field, "env:", "") }

// argTagPart returns the first part of a field's `arg` tag that begins with prefix, with prefix replaced by newPrefix.
// It returns an empty string if there is none.
func argTagPart(field reflect.StructField, prefix, newPrefix string) string {
	for _, part := range strings.Split(field.Tag.Get("arg"), ",") {
		if name, ok := strings.CutPrefix(part, prefix); ok {
			return newPrefix + name
		}
	}
	return ""
}
