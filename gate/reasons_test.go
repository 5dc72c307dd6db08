package gate

import (
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/pb"
)

// TestReasonsAreDocumented fails if a reason of the protocol lacks a row in the
// operators' page, or if the page lists an unknown reason.
func TestReasonsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../docs/operators/reasons.md")
	g.Expect(err).NotTo(HaveOccurred())
	row := regexp.MustCompile("(?m)^\\| `(REASON_[A-Z_]+)` \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$")
	documented := []string{}
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1])
	}
	labels := []string{}
	for _, label := range pb.Reason_name {
		labels = append(labels, label)
	}
	g.Expect(documented).To(ConsistOf(labels))
}
