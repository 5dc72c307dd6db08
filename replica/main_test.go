package replica

import (
	"flag"
	"os"
	"testing"
)

// simChecks is the number of random runs of a rapid test over the simulator.
const simChecks = "15"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", simChecks); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
