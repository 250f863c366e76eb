package main

import (
	"context"
	"io"
	"os"
	"strings"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/query"
)

// importFile sends the text of a file or of standard input as the new configuration.
func (s session) importFile(ctx context.Context) int {
	text, code := s.readImport()
	if code != exitDone {
		return code
	}
	line := s.Words[0]
	command, err := query.Parse(line)
	if err != nil {
		return s.reportError(err)
	}
	return s.execute(ctx, line, text, command)
}

// readImport returns the text to import, or the exit code of a failure.
func (s session) readImport() (string, int) {
	source := s.in
	switch {
	case len(s.Words) > 2:
		return "", s.fail(exitUsage, "import reads one file: import FILE, or import < FILE")
	case len(s.Words) == 2:
		file, err := os.Open(s.Words[1])
		if err != nil {
			return "", s.fail(exitUsage, err.Error())
		}
		defer func() { _ = file.Close() }()
		source = file
	case !s.Yes && !s.DryRun:
		// Standard input holds the text, so that it cannot hold the answer to the question as well.
		return "", s.fail(exitUsage, "import from standard input needs --yes or --dry-run; import FILE asks for confirmation")
	}
	text := strings.Builder{}
	if _, err := io.Copy(&text, io.LimitReader(source, admin.MaxRequestBytes)); err != nil {
		return "", s.fail(exitUsage, err.Error())
	}
	return text.String(), exitDone
}
