package controld

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

func TestLatestReportsKeepsOneReportPerDaemon(t *testing.T) {
	g := NewWithT(t)
	report := func(daemon string, revision, seen uint64) *pb.DaemonRevision {
		return &pb.DaemonRevision{Daemon: daemon, Revision: revision, SeenUnixMs: seen}
	}
	latest := latestReports([]*pb.DaemonRevision{
		report("s1", 3, 20), report("e1", 2, 10), report("e1", 3, 30), report("s1", 4, 15),
	})
	g.Expect(latest).To(HaveLen(2))
	g.Expect(latest[0].GetDaemon()).To(Equal("e1"))
	g.Expect(latest[0].GetRevision()).To(BeEquivalentTo(3))
	g.Expect(latest[1].GetRevision()).To(BeEquivalentTo(3), "the report seen last is kept, not the one with the highest revision")
}
