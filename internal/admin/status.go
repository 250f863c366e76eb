package admin

import (
	"bytes"
	_ "embed" // The page is part of the binary.
	"html/template"
	"net/http"
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
	Result  *Result
	Problem *structs.Problem
}

// status renders the read-only page. A section that fails says so, and the others are still shown.
func (h *Handler) status(w http.ResponseWriter, r *http.Request, caller Caller) *structs.Problem {
	view := statusView{Gateway: h.System.Self(), Revision: h.System.Config().Revision,
		At: time.Now().UTC().Format(time.DateTime)}
	for _, section := range statusSections {
		result, problem := h.Executor.Execute(r.Context(), caller, Request{Command: section.command})
		view.Sections = append(view.Sections, statusSection{section.title, result, problem})
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
