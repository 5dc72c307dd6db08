package client

import (
	"testing"

	. "github.com/onsi/gomega"
)

// After a loss of power of a fleet with 45 storage daemons, 40 of which are spares,
// clients that tried them in turn found no member of the group within their time.
func TestSuggestedLeaderIsTriedBeforeReplicasInTurn(t *testing.T) {
	expect := NewWithT(t)
	c := NewReplicaClient(nil, []string{"a", "b", "c"})
	expect.Expect(c.LeaderAddress()).To(Equal("a"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
	c.SuggestLeader("c")
	expect.Expect(c.LeaderAddress()).To(Equal("c"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
	c.SetLeaderAddress("a")
	c.SuggestLeader("c")
	expect.Expect(c.LeaderAddress()).To(Equal("a"))
	c.SetLeaderAddress("")
	expect.Expect(c.LeaderAddress()).To(Equal("b"))
}
