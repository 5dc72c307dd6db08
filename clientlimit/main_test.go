package clientlimit

import (
	"flag"
	"testing"

	"github.com/briarcross/briarcross/internal/proptest"
)

// defaultSteps is the number of calls in a generated sequence, unless it is set on the command line.
const defaultSteps = "200"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", defaultSteps); err != nil {
		panic(err)
	}
	proptest.Main(m, "500")
}
