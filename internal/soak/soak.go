// Package soak selects the seeds of randomized tests that run with many seeds.
package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

const (
	// SeedCountVariable is the environment variable that sets the number of
	// seeds.
	SeedCountVariable = "BRIARCROSS_SOAK_SEEDS"
	// ReplaySeedVariable is the environment variable that sets a single seed to
	// replay; it overrides SeedCountVariable.
	ReplaySeedVariable = "BRIARCROSS_SOAK_SEED"
)

// Seeds returns the seeds that a test runs: the seed to replay if the environment
// sets one, or else the seeds from zero, as many as the environment sets or
// defaultCount.
func Seeds(t testing.TB, defaultCount uint64) []uint64 {
	t.Helper()
	if text := os.Getenv(ReplaySeedVariable); text != "" {
		return []uint64{parseUint(t, ReplaySeedVariable, text)}
	}
	count := defaultCount
	if text := os.Getenv(SeedCountVariable); text != "" {
		count = parseUint(t, SeedCountVariable, text)
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

func parseUint(t testing.TB, variable, text string) uint64 {
	t.Helper()
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return value
}

// ReplayCommand returns a text with the command that replays one seed of a test.
func ReplayCommand(t testing.TB, packageDir string, seed uint64) string {
	return fmt.Sprintf("seed %d; replay: %s=%d go test ./%s -run '^%s$'", seed, ReplaySeedVariable, seed, packageDir, t.Name())
}
