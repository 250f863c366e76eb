package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// wholeBody is a submission for decoding with a single call of encoding/json.
type wholeBody struct {
	Service    string     `json:"service"`
	Priority   string     `json:"priority"`
	Kind       string     `json:"kind"`
	Repeatable *bool      `json:"repeatable"`
	Deadline   int64      `json:"deadline_ms"`
	Declared   int64      `json:"declared_time_ms"`
	Tasks      []taskBody `json:"tasks"`
}

// FuzzJobBody guards against bodies that crash the gateway, refusals without a reason or with a wrong outcome, and
// bodies that the token-wise decoder reads differently from encoding/json.
func FuzzJobBody(f *testing.F) {
	for _, text := range []string{
		``, `null`, `[]`, `{}`, `{"service":"lending"}`, `{"service":"lending","tasks":[{"payload":1}]}`,
		`{"service":"lending","priority":"urgent","repeatable":false,"deadline_ms":500,"declared_time_ms":20,"kind":"lend",` +
			`"tasks":[{"payload":{"a":[1,"x"]}},{"payload":null},{"payload":"é\ud800"}]}`,
		`{"service":"lending","tasks":[{"payload":1}]} {}`, `{"service":"lending","tasks":[{"payload":1},]}`,
		`{"service":"lending","tasks":[{"payload":1}],}`, `{"service":"lending","tasks":[null]}`, `{"tasks":null}`,
		`{"service":"lending","service":"a","tasks":[{"payload":1}]}`, `{"deadline_ms":1e3}`, `{"deadline_ms":99999999999999999999}`,
		`{"service":"lending","tasks":[{"payload":1,"payload":2}]}`, `{"service" "lending"}`, `{"service":"lending","tasks":[{"payload":1`,
		`{"service":"lending","tasks":[{"payload":1},{"payload":2},{"payload":3},{"payload":4},{"payload":5}]}`,
	} {
		f.Add([]byte(text))
	}
	const maxTasks = 4
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := decodeJob(bytes.NewReader(text), maxTasks)
		if err != nil {
			problem := problemOfBody(err)
			require.Equal(t, structs.OutcomeNotRun, problem.Outcome)
			require.NotEmpty(t, problem.Detail)
			return
		}
		var whole wholeBody
		require.NoError(t, json.Unmarshal(text, &whole))
		require.Equal(t, whole.Service, body.service)
		require.Equal(t, whole.Priority, body.priority)
		require.Equal(t, whole.Kind, body.kind)
		require.Equal(t, whole.Repeatable == nil || *whole.Repeatable, body.repeatable)
		require.Equal(t, whole.Deadline, body.deadline.Milliseconds())
		require.Equal(t, whole.Declared, body.declaredTime.Milliseconds())
		require.Len(t, body.payloads, len(whole.Tasks))
		require.LessOrEqual(t, len(body.payloads), maxTasks)
		for i, task := range whole.Tasks {
			require.Equal(t, string(task.Payload), string(body.payloads[i]))
		}
	})
}
