package admin

import (
	"bytes"
	_ "embed" // The page is part of the binary.
	"html/template"
	"net/http"
	"regexp"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

//go:embed status.html
var statusSource string

var statusPage = template.Must(template.New("status").Parse(statusSource))

// statusSections are the tables of the status page, each the result of a command.
var statusSections = []struct{ title, command string }{
	{"Availability zones", "zones"},
	{"Backend servers", "servers"},
	{"Queues", "pools"},
	{"Gateways", "gateways"},
	{"Last changes", "history"},
}

type statusView struct {
	Gateway  structs.GatewayID
	Revision structs.Revision
	At       string
	Sections []statusSection
}

type statusSection struct {
	Title   string
	Notes   []string
	Columns []statusColumn
	Rows    [][]statusCell
	Problem *structs.Problem
}

// statusColumn and statusCell are aligned to the right if they hold numbers, so that sizes can be compared.
type statusColumn struct {
	Name   string
	Number bool
}

type statusCell struct {
	Text   string
	Number bool
}

// newSection turns the result of a command into a table. Columns that are empty in every row are left out: optional
// properties that nobody has set.
func newSection(title string, result *Result, problem *structs.Problem) statusSection {
	section := statusSection{Title: title, Problem: problem}
	if result == nil {
		return section
	}
	section.Notes = result.Notes
	section.Rows = make([][]statusCell, len(result.Rows))
	for i, name := range result.Columns {
		column := statusColumn{Name: name, Number: true}
		empty := true
		for _, row := range result.Rows {
			column.Number = column.Number && (row[i] == "" || numeric.MatchString(row[i]))
			empty = empty && row[i] == ""
		}
		if empty {
			continue
		}
		section.Columns = append(section.Columns, column)
		for j, row := range result.Rows {
			section.Rows[j] = append(section.Rows[j], statusCell{Text: row[i], Number: column.Number})
		}
	}
	return section
}

// numeric matches numbers and durations, alone in their cell.
var numeric = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?([a-zµ]+[0-9.]*)*$`)

// status renders the read-only page. A section that fails says so, and the others are still shown.
func (h *Handler) status(w http.ResponseWriter, r *http.Request, caller Operator) *structs.Problem {
	view := statusView{Gateway: h.System.Self(), Revision: h.System.Config().Revision,
		At: time.Now().UTC().Format(time.DateTime)}
	for _, section := range statusSections {
		result, problem := h.Executor.Execute(r.Context(), caller, Request{Command: section.command})
		view.Sections = append(view.Sections, newSection(section.title, result, problem))
	}
	page := bytes.Buffer{}
	if err := statusPage.Execute(&page, view); err != nil {
		return &structs.Problem{Code: structs.CodeInternal, Status: http.StatusInternalServerError,
			Outcome: structs.OutcomeNotRun, Detail: "the page cannot be rendered"}
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_, _ = page.WriteTo(w)
	return nil
}
