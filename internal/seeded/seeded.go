// Package seeded makes rapid's property tests draw the same cases in every run,
// so that CI gives the same verdict each time. Tests import it for its effect;
// -rapid.seed on the command line still takes another seed.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags first
)

const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is gone from the library
	}
}
