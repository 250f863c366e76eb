package main

import "rosedrift.example/rosedrift/internal/auth"

// newKey prints a new key and its sum for the key file. It does not talk to a gateway.
func (s session) newKey() int {
	if len(s.Words) != 2 || s.Words[1] != "create" {
		return s.fail(exitUsage, "want: key create")
	}
	key, sum := auth.NewKey()
	if s.JSON {
		s.printJSON(map[string]string{"key": key, "sha256": sum})
		return exitDone
	}
	s.println("key for its user (shown only here): "+key, "sum for the key file:               "+sum)
	return exitDone
}
