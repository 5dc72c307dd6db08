// Package proptest runs property tests with a fixed seed, so that each run draws
// the same cases.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes each run of the property tests draw the same cases.
const rapidSeed = "1"

// Main runs a package's tests with a fixed seed and number of checks of its
// property tests, unless the command line gives others. Empty checks leave the
// library's number.
func Main(m *testing.M, checks string) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	setFlag(given, "rapid.seed", rapidSeed)
	if checks != "" {
		setFlag(given, "rapid.checks", checks)
	}
	os.Exit(m.Run())
}

func setFlag(given map[string]bool, name, value string) {
	if given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
