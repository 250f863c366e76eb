package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/structs"
)

// Bounds of the HTTP interface.
const (
	// MaxRequestBytes bounds a request with a command. The largest requests import a configuration, whose text
	// describes at most one stored document.
	MaxRequestBytes = 4 << 20
	// MaxInForceWait bounds the wait of one in-force request. Clients repeat the request to wait longer.
	MaxInForceWait = 10 * time.Second
	// inForcePollInterval is too short for an operator to notice.
	inForcePollInterval = 50 * time.Millisecond
	defaultHistoryPage  = 50
	jsonType            = "application/json"
)

// Authenticator authenticates operators. auth.Keys implements it.
type Authenticator interface {
	// Operator returns the operator who sent the request, or a problem with CodeUnauthorized.
	Operator(r *http.Request) (Operator, *structs.Problem)
}

// Options configures a Handler. All fields are required.
type Options struct {
	System        System
	Executor      Executor
	Authenticator Authenticator
	Logger        log.Logger
}

// Handler serves the HTTP interface for operators.
type Handler struct{ Options }

// NewHandler returns a Handler with the options.
func NewHandler(options Options) *Handler { return &Handler{options} }

// Register adds the routes: /v1/admin/commands, config, audit, complete and in-force, and the status page at /.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/admin/commands", h.requireOperator(h.command))
	mux.HandleFunc("GET /v1/admin/config", h.requireOperator(h.config))
	mux.HandleFunc("GET /v1/admin/audit", h.requireOperator(h.audit))
	mux.HandleFunc("GET /v1/admin/complete", h.requireOperator(h.complete))
	mux.HandleFunc("GET /v1/admin/in-force", h.requireOperator(h.inForce))
	mux.HandleFunc("GET /{$}", h.requireOperator(h.status))
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, operator Operator) *structs.Problem

// requireOperator authenticates the request and requires RoleView. The executor checks the role that a command needs.
func (h *Handler) requireOperator(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, problem := h.Authenticator.Operator(r)
		if problem == nil && operator.Role < RoleView {
			problem = &structs.Problem{Code: structs.CodeForbidden, Status: http.StatusForbidden,
				Outcome: structs.OutcomeNotRun, Detail: "this needs the role " + RoleView.String()}
		}
		if problem == nil {
			problem = next(w, r, operator)
		}
		if problem != nil {
			writeProblem(w, problem)
		}
	}
}

func (h *Handler) command(w http.ResponseWriter, r *http.Request, operator Operator) *structs.Problem {
	request, problem := readRequest(w, r)
	if problem != nil {
		return problem
	}
	result, problem := h.Executor.Execute(r.Context(), operator, request)
	h.logCommand(operator, request, result, problem)
	if problem != nil {
		return problem
	}
	writeJSON(w, result)
	return nil
}

// readRequest decodes a command. It requires the JSON media type to prevent cross-site request forgery: a browser sends
// this type to another site only after a preflight request, so a foreign page cannot use an operator's credentials.
func readRequest(w http.ResponseWriter, r *http.Request) (Request, *structs.Problem) {
	media, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if strings.TrimSpace(media) != jsonType {
		return Request{}, badRequest("the body must have the type " + jsonType)
	}
	request := Request{}
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes)).Decode(&request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return Request{}, &structs.Problem{Code: structs.CodeTooLarge, Status: http.StatusRequestEntityTooLarge,
			Outcome: structs.OutcomeNotRun, Detail: "the request is larger than " + strconv.Itoa(MaxRequestBytes) + " bytes"}
	case err != nil:
		return Request{}, badRequest("the body is not JSON with a command")
	}
	return request, nil
}

func (h *Handler) logCommand(operator Operator, request Request, result *Result, problem *structs.Problem) {
	logger := log.With(h.Logger, "operator", operator.Name, "command", request.Command, "dry_run", request.DryRun)
	switch {
	case problem != nil:
		_ = level.Info(logger).Log("msg", "command refused", "code", problem.Code, "outcome", problem.Outcome)
	case result.Changed:
		_ = level.Info(logger).Log("msg", "command made a change", "revision", result.Revision)
	default:
		_ = level.Debug(logger).Log("msg", "command finished")
	}
}

func (h *Handler) config(w http.ResponseWriter, r *http.Request, _ Operator) *structs.Problem {
	document := h.System.Config()
	if r.URL.Query().Get("format") != "text" {
		writeJSON(w, document)
		return nil
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, configuration.Export(document))
	return nil
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request, _ Operator) *structs.Problem {
	before, problem := uintParameter(r, "before", 0)
	if problem != nil {
		return problem
	}
	limit, problem := uintParameter(r, "limit", defaultHistoryPage)
	if problem != nil {
		return problem
	}
	page, err := h.System.History(r.Context(), structs.Revision(before), int(min(limit, configuration.MaxHistoryPage)))
	if err != nil {
		return configuration.Problem(err)
	}
	writeJSON(w, page)
	return nil
}

// uintParameter returns a parameter of the query string, or defaultValue if it is missing.
func uintParameter(r *http.Request, name string, defaultValue uint64) (uint64, *structs.Problem) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " is not a whole number")
	}
	return value, nil
}

// Completion is the response to GET /v1/admin/complete?line=.
type Completion struct {
	Candidates []string `json:"candidates"`
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request, _ Operator) *structs.Problem {
	candidates := h.Executor.Complete(r.Context(), r.URL.Query().Get("line"))
	if candidates == nil {
		candidates = []string{}
	}
	writeJSON(w, Completion{Candidates: candidates})
	return nil
}

// InForceResponse is the response to GET /v1/admin/in-force?revision=&wait_ms=, which waits until the revision is in
// force or the time is over.
type InForceResponse struct {
	configuration.InForceStatus
	// At is the time of the status by the gateway's clock. If the revision came into force during the wait, it is at
	// most 50 ms late.
	At time.Time `json:"at"`
}

func (h *Handler) inForce(w http.ResponseWriter, r *http.Request, _ Operator) *structs.Problem {
	revision, problem := uintParameter(r, "revision", uint64(h.System.Config().Revision))
	if problem != nil {
		return problem
	}
	milliseconds, problem := uintParameter(r, "wait_ms", 0)
	if problem != nil {
		return problem
	}
	wait := time.Duration(min(milliseconds, uint64(MaxInForceWait.Milliseconds()))) * time.Millisecond
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	status := h.awaitInForce(ctx, structs.Revision(revision))
	writeJSON(w, InForceResponse{InForceStatus: status, At: time.Now().UTC()})
	return nil
}

// awaitInForce returns the status when the revision is in force or the context ends.
func (h *Handler) awaitInForce(ctx context.Context, revision structs.Revision) configuration.InForceStatus {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		status := h.System.InForce(ctx, revision)
		if status.InForce {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-ticker.C:
		}
	}
}

// ProblemBody is the body of an error response, a problem detail (RFC 9457).
type ProblemBody struct {
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail"`
	Code    structs.Code `json:"code"`
	Outcome string       `json:"outcome"`
}

// httpStatus returns the status of the problem, or that of its code if the problem has none.
func httpStatus(problem *structs.Problem) int {
	if problem.Status >= http.StatusBadRequest {
		return problem.Status
	}
	return problem.Code.Status()
}

func writeProblem(w http.ResponseWriter, problem *structs.Problem) {
	status := httpStatus(problem)
	if problem.Code == structs.CodeUnauthorized {
		// With this header, a browser asks the operator for a password, which is the key.
		w.Header().Set("WWW-Authenticate", `Basic realm="rosedrift: the key is the password"`)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(ProblemBody{Title: http.StatusText(status), Status: status,
		Detail: problem.Detail, Code: problem.Code, Outcome: problem.Outcome.String()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", jsonType)
	_ = json.NewEncoder(w).Encode(value)
}

func badRequest(detail string) *structs.Problem {
	return &structs.Problem{Code: structs.CodeBadRequest, Status: http.StatusBadRequest,
		Outcome: structs.OutcomeNotRun, Detail: detail}
}
