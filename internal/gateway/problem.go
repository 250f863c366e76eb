package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// refusal returns a problem with outcome not_run.
func refusal(code structs.Code, detail string) *structs.Problem {
	return &structs.Problem{Code: code, Outcome: structs.OutcomeNotRun, Detail: detail}
}

// problemBody is the JSON form of a problem (RFC 9457) with the extension members code, outcome and job.
type problemBody struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Job     string `json:"job,omitempty"`
}

// httpStatus returns the status of the response for a problem. The status 421 of misdirected is internal to gateways.
func httpStatus(p *structs.Problem) int {
	if p.Status >= http.StatusBadRequest && p.Status != http.StatusMisdirectedRequest {
		return p.Status
	}
	return p.Code.Status()
}

// writeProblem writes a problem as the response. job may be nil.
func writeProblem(w http.ResponseWriter, p *structs.Problem, job *structs.JobID) {
	status := httpStatus(p)
	body := problemBody{
		Title: http.StatusText(status), Status: status, Detail: p.Detail, Code: string(p.Code),
		Outcome: p.Outcome.String(),
	}
	if job != nil {
		body.Job = job.String()
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// misdirected returns the owner side's refusal of a request for a pool that it does not own or no longer owns. The
// status 421 marks it for the entry side, which searches for the owner again. The outcome is not_run if the pool has
// not processed the request, and may_have_run otherwise.
func misdirected(outcome structs.Outcome, detail string) *structs.Problem {
	return &structs.Problem{
		Code: structs.CodeOwnerLost, Outcome: outcome, Status: http.StatusMisdirectedRequest, Detail: detail,
	}
}

// queueFullProblem refuses a request that was not processed because the pool's request queue is full.
func queueFullProblem() *structs.Problem {
	p := misdirected(structs.OutcomeNotRun, "the pool's queue of requests is full")
	p.RetryAfter = busyPause
	return p
}

func isMisdirected(p *structs.Problem) bool {
	return p != nil && p.Status == http.StatusMisdirectedRequest
}

// busyPause is the pause before a request is sent again to a pool whose request queue was full.
const busyPause = 20 * time.Millisecond
