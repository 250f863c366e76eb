package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"rosedrift.example/rosedrift/internal/admin"
)

// printTable prints the rows of a result in aligned columns.
func (s session) printTable(result *admin.Result) {
	if len(result.Columns) == 0 {
		return
	}
	if len(result.Rows) == 0 {
		s.println("(none)")
		return
	}
	const padding = 2
	writer := tabwriter.NewWriter(s.out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(result.Columns, "\t")))
	for _, row := range result.Rows {
		_, _ = fmt.Fprintln(writer, printable(strings.Join(row, "\t")))
	}
	_ = writer.Flush()
}

func (s session) printLines(lines []string) {
	for _, line := range lines {
		s.println(printable(line))
	}
}

// printable replaces control characters, because reasons and commands come from other people and processes.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' || r == 0x7f {
			return '?'
		}
		return r
	}, text)
}
