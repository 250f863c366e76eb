package standin

import "strings"

// OddValues are values that another writer may leave among those of rosedrift.
var OddValues = []string{
	"\xff\x00{", "", "7720", "127.0.0.1:99999", "127.0.0.1:0", "127.200.0.1:1", "null", "{", `{"id":"\ud800","body":[]}`,
	strings.Repeat("[", 400_000), strings.Repeat("x", 900_000), `{"id":"server-0","body":{"sequence":1e400}}`,
}
