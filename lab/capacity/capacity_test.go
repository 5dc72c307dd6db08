package capacity_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/lab/capacity"
	"github.com/briarcross/briarcross/lab/experiment"
)

// unitCosts returns, for each name, a cost whose fitted line has slope 1 and
// intercept 0.
func unitCosts() []capacity.CostSeries {
	names := []string{
		capacity.SpreadIdleCPU, capacity.SpreadIdleBytes, capacity.SpreadChangeCPU, capacity.SpreadChangeBytes,
		capacity.SpreadMemory, capacity.SpreadDaemonCPU, capacity.ConfigChangeCPU, capacity.MemberCPU,
		capacity.MemberBytes, capacity.RegistrarMemory, capacity.MemberTableMemory, capacity.AnnouncerCPU,
		capacity.GateRequestCPU, capacity.GateMemory, capacity.SidecarRequestCPU, capacity.SidecarMemory,
		capacity.QuorumLeaderCPU, capacity.QuorumBytes, capacity.QuorumIdleBytes, capacity.BatchCPU,
		capacity.BatchBytes, capacity.BatchMemory, capacity.JobMemory, capacity.LeaseIdleCPU,
		capacity.LeaseIdleBytes, capacity.WorkerIdleCPU, capacity.SnapshotBytes,
	}
	var costs []capacity.CostSeries
	for _, name := range names {
		costs = append(costs, capacity.CostSeries{Name: name, Fit: experiment.Fit{Slope: 1}})
	}
	return costs
}

func TestEveryCostInfluencesRequirements(t *testing.T) {
	g := NewWithT(t)
	base := capacity.Requirements(unitCosts())
	for i := range unitCosts() {
		changed := unitCosts()
		changed[i].Fit = experiment.Fit{Slope: 3, Intercept: 5}
		g.Expect(capacity.Requirements(changed)).NotTo(Equal(base), "cost %q does not influence the requirements", changed[i].Name)
	}
}

func TestPageListsRequirementsOverLimit(t *testing.T) {
	g := NewWithT(t)
	expensive := unitCosts()
	for i := range expensive {
		expensive[i].Fit.Slope = 1e9
	}
	var page bytes.Buffer
	g.Expect(capacity.WritePage(&page, 7, expensive)).To(Succeed())
	for _, requirement := range capacity.Requirements(expensive) {
		if requirement.Limit > 0 {
			g.Expect(requirement.WithinLimit()).To(BeFalse(), "%s, %s", requirement.Role, requirement.Quantity)
			g.Expect(page.String()).To(ContainSubstring("- **" + requirement.Role + ", " + requirement.Quantity + "**"))
		}
	}
	g.Expect(page.String()).To(ContainSubstring("-seed 7"))
}
