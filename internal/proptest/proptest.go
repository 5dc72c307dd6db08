// Package proptest runs property tests with a fixed seed, so that each run
// generates the same cases.
package proptest

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed of property tests.
const defaultSeed = "1"

// Main runs the tests of a package from TestMain and exits. Unless they are set on
// the command line, it sets the seed of property tests to defaultSeed and their
// number of cases to checks; an empty checks keeps the default of rapid.
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
