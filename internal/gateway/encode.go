package gateway

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"time"
	"unicode/utf8"

	"rosedrift.example/rosedrift/internal/structs"
)

// writeBufferSize is the size of the buffer between the answer encoder and the connection.
const writeBufferSize = 32 << 10

// statusBody is the JSON form of the status of a job that has not ended.
type statusBody struct {
	Job      string `json:"job"`
	Key      string `json:"key,omitempty"`
	Outcome  string `json:"outcome"`
	Priority string `json:"priority,omitempty"`
	Tasks    int    `json:"tasks"`
	Queued   int    `json:"queued"`
	Running  int    `json:"running"`
	Finished int    `json:"finished"`
	AgeMS    int64  `json:"age_ms"`
	Reason   string `json:"reason,omitempty"`
}

func newStatusBody(s *structs.JobStatus, key string) statusBody {
	return statusBody{
		Job: s.Job.String(), Key: key, Outcome: s.Outcome.String(), Priority: s.Priority.String(), Tasks: s.Tasks,
		Queued: s.Queued, Running: s.Running, Finished: s.Finished, AgeMS: s.Age.Milliseconds(), Reason: s.Reason,
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeAnswer writes the results of a complete job, or the problem with which the job has ended.
func writeAnswer(w http.ResponseWriter, answer *structs.Answer) {
	if answer.Outcome != structs.OutcomeComplete {
		writeProblem(w, answerProblem(answer), &answer.Job)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	out := bufio.NewWriterSize(&deadlineWriter{w, http.NewResponseController(w)}, writeBufferSize)
	encodeAnswer(out, answer)
	_ = out.Flush()
}

func answerProblem(answer *structs.Answer) *structs.Problem {
	if answer.Problem != nil {
		return answer.Problem
	}
	return &structs.Problem{
		Code: structs.CodeInternal, Outcome: answer.Outcome, Detail: "the job ended without a stated reason",
	}
}

// encodeAnswer writes a complete answer. The buffered writer keeps the first error.
func encodeAnswer(out *bufio.Writer, answer *structs.Answer) {
	_, _ = out.WriteString(`{"job":"` + answer.Job.String() + `","outcome":"complete","results":[`)
	for i, result := range answer.Results {
		if i > 0 {
			_ = out.WriteByte(',')
		}
		encodeResult(out, result)
	}
	_, _ = out.WriteString("]}\n")
}

// encodeResult writes valid JSON unchanged, other UTF-8 text as a JSON string, and other bytes as {"base64": "..."}.
func encodeResult(out *bufio.Writer, result []byte) {
	switch {
	case json.Valid(result):
		_, _ = out.Write(result)
	case utf8.Valid(result):
		text, _ := json.Marshal(string(result))
		_, _ = out.Write(text)
	default:
		_, _ = out.WriteString(`{"base64":"`)
		encoder := base64.NewEncoder(base64.StdEncoding, out)
		_, _ = encoder.Write(result)
		_ = encoder.Close()
		_, _ = out.WriteString(`"}`)
	}
}

// writeTimeout limits each write to a caller, so that a caller that does not read its response occupies a buffer for a
// limited time only.
const writeTimeout = 15 * time.Second

// deadlineWriter extends the write deadline of a response before each write.
type deadlineWriter struct {
	w       io.Writer
	control *http.ResponseController
}

// Write implements io.Writer.
func (d *deadlineWriter) Write(data []byte) (int, error) {
	// Response recorders in tests do not support deadlines.
	_ = d.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.w.Write(data)
}
