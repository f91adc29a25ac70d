// Package seed sets a fixed seed for property tests, so that a run can be
// repeated. The flag -rapid.seed overrides it.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }
package seed

import (
	"flag"
	"fmt"
	"testing"
)

// Default is the seed of the property tests.
const Default = "20261204"

// Run runs the tests of a package with the default seed unless the flag
// -rapid.seed is given. It prints the seed and returns the exit code.
func Run(tests *testing.M) int {
	SetDefault()
	flag.Parse()
	fmt.Println("rapid seed", flag.Lookup("rapid.seed").Value)
	return tests.Run()
}

// SetDefault sets the default seed. It panics in a program that does not define
// the flag -rapid.seed, that is, one without property tests.
func SetDefault() {
	if err := flag.Set("rapid.seed", Default); err != nil {
		panic(err)
	}
}
