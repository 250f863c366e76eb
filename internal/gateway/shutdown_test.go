package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// TestPartLength guards against parts that exceed the largest message of a link, and against a snapshot that never ends
// because one job alone is larger than a part.
func TestPartLength(t *testing.T) {
	small := structs.HandoverJob{Results: [][]byte{make([]byte, handoverPartBytes/4)}}
	large := structs.HandoverJob{Results: [][]byte{make([]byte, 2*handoverPartBytes)}}
	jobs := []structs.HandoverJob{small, small, small, small, small, large, small}
	var lengths []int
	for len(jobs) > 0 {
		n := partLength(jobs)
		lengths = append(lengths, n)
		jobs = jobs[n:]
	}
	require.Equal(t, []int{4, 1, 1, 1}, lengths)
	require.Zero(t, partLength(nil))
}
