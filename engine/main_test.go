package engine_test

import (
	"testing"

	"github.com/briarcross/briarcross/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, "") }
