// Package testseed fixes the seed of property-based tests, so that every test run draws the same values. Test files
// import it for its side effect. The command-line flag -rapid.seed overrides the seed.
package testseed

import (
	"flag"

	// The import registers the flags of rapid before init sets them.
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
