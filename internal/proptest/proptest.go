// Package proptest runs property tests with a fixed seed, so that each run draws
// the same cases.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed makes each run of the property tests draw the same cases.
const defaultSeed = "1"

// Main runs a package's tests with a fixed seed and number of checks of its
// property tests, unless the command line gives others. Empty checks leave the
// library's number.
func Main(m *testing.M, checks string) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	setFlagDefault(explicit, "rapid.seed", defaultSeed)
	if checks != "" {
		setFlagDefault(explicit, "rapid.checks", checks)
	}
	os.Exit(m.Run())
}

func setFlagDefault(explicit map[string]bool, name, value string) {
	if explicit[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
