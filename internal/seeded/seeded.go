// Package seeded fixes the seed of rapid's property tests, so that test runs are
// reproducible. Tests import it for its side effect; the flag -rapid.seed
// overrides it.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the library has no such flag
	}
}
