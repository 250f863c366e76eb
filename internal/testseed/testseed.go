// Package testseed fixes the seed of property-based tests, so that every run of the tests gives the same verdict.
// Test files import it for its side effect. The flag -rapid.seed on the command line takes precedence.
package testseed

import (
	"flag"

	// The import registers the rapid flags before init runs.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic("testseed: " + err.Error())
		}
	}
}
