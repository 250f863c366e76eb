package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rosedrift.example/rosedrift/client"
	"rosedrift.example/rosedrift/internal/local"
)

// Example submits a job of three tasks to a rosedrift system that runs in the same process. Other callers give the URLs
// of their gateways.
func Example() {
	system, err := local.Start(local.Options{Seed: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer system.Close()

	c, err := client.New(client.Options{Gateways: system.URLs(), Team: "counter"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := c.Submit(ctx, client.Job{
		Service:  "lending",
		Priority: client.Urgent,
		Tasks: []json.RawMessage{
			json.RawMessage(`{"run_ms": 5, "echo": "a"}`),
			json.RawMessage(`{"run_ms": 5, "echo": "b"}`),
			json.RawMessage(`{"run_ms": 5, "echo": "c"}`),
		},
	})
	var submitErr *client.Error
	if errors.As(err, &submitErr) && submitErr.Outcome == client.OutcomeNotRun {
		fmt.Println("nothing has started; try again after", submitErr.RetryAfter)
		return
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, raw := range answer.Results {
		var result struct{ Echo string }
		if err := json.Unmarshal(raw, &result); err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(result.Echo)
	}
	// Output:
	// a
	// b
	// c
}
