package main

import "rosedrift.example/rosedrift/internal/auth"

// createKey prints a new key, and its SHA-256 sum for the key file of the gateways. It needs no gateway.
func (s session) createKey() int {
	if len(s.Words) != 2 || s.Words[1] != "create" {
		return s.fail(exitUsage, "usage: rosedrift key create")
	}
	key, sum := auth.NewKey()
	if s.JSON {
		s.printJSON(map[string]string{"key": key, "sha256": sum})
		return exitDone
	}
	s.println("key for its user (shown only once): "+key, "sum for the key file:               "+sum)
	return exitDone
}
