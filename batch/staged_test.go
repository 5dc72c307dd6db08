package batch

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestStagedJobStringRoundTrip(t *testing.T) {
	g := NewWithT(t)
	staged := StagedJob{JobID: "batch-0a1b", Items: 970_000, Digest: []byte{1, 2, 255}}
	parsed, err := ParseStagedJob(staged.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(staged))
	for _, text := range []string{"", "a", "a.b.c", "a.1", "a.1.zz", "a.-1.00", "a.1.00.00"} {
		_, err := ParseStagedJob(text)
		g.Expect(err).To(HaveOccurred(), text)
	}
}
