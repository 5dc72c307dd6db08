package explain

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	leavingJoined = `
{"time":"2026-10-13T13:21:20Z","level":"info","msg":"started","daemon":"edge-1"}
{"time":"2026-10-13T13:21:21Z","level":"info","msg":"upstream_changed","daemon":"edge-1","upstream":"i-1","phase":1,"service":"s","born":100}
{"time":"2026-10-13T13:21:21Z","level":"info","msg":"upstream_changed","daemon":"edge-1","upstream":"i-2","phase":1,"service":"s","born":200}
{"time":"2026-10-13T13:21:21Z","level":"info","msg":"upstream_changed","daemon":"edge-1","upstream":"i-3","phase":1,"service":"other","born":300}
`
	leavingPlaced = `
{"time":"2026-10-13T13:21:30Z","level":"info","msg":"request_placed","daemon":"edge-1","request":"c1","upstream":"i-2"}
{"time":"2026-10-13T13:21:31Z","level":"info","msg":"request_finished","daemon":"edge-1","request":"c1","status":200,"first_ms":9,"ran":1}
`
	leavingMark = `
{"time":"2026-10-13T13:21:25Z","level":"info","msg":"upstream_leaving","daemon":"edge-1","upstream":"i-1","born":100,"request":"c0","source":"answer","phase":1}
`
)

func TestRequestKeptAwayFromUpstreamThatLeavesIsExplained(t *testing.T) {
	expect := NewWithT(t)
	lines, err := Find(strings.NewReader(leavingPlaced+leavingMark+leavingJoined), "c1")
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(lines).To(HaveLen(3))
	expect.Expect(lines[0].Event).To(Equal("upstream_leaving"))
	expect.Expect(Cause(lines)).To(Equal("completed by edge-1 with status 200, first event after 9 ms, 1 upstreams may have run it; " +
		"not sent to i-1, which had said in an answer that it leaves"))
}

func TestMarkThatDidNotMoveARequestIsNotShown(t *testing.T) {
	for name, logs := range map[string]string{
		"later":          strings.Replace(leavingMark, "13:21:25", "13:21:35", 1),
		"other daemon":   strings.ReplaceAll(leavingJoined+leavingMark, "edge-1", "edge-2"),
		"other service":  strings.NewReplacer("i-1", "i-3", "100", "300").Replace(leavingMark),
		"same upstream":  strings.NewReplacer("i-1", "i-2", "100", "200").Replace(leavingMark),
		"earlier start":  strings.Replace(leavingMark, "100", "99", 1),
		"daemon started": leavingMark + `{"time":"2026-10-13T13:21:26Z","msg":"started","daemon":"edge-1"}`,
		"drains":         leavingMark + `{"time":"2026-10-13T13:21:26Z","msg":"upstream_changed","daemon":"edge-1","upstream":"i-1","phase":2,"service":"s","born":100}`,
		"born again":     leavingMark + `{"time":"2026-10-13T13:21:26Z","msg":"upstream_changed","daemon":"edge-1","upstream":"i-1","phase":1,"service":"s","born":150}`,
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			lines, err := Find(strings.NewReader(leavingJoined+logs+leavingPlaced), "c1")
			expect.Expect(err).NotTo(HaveOccurred())
			expect.Expect(lines).To(HaveLen(2))
			expect.Expect(Cause(lines)).NotTo(ContainSubstring("leaves"))
		})
	}
}

func TestRequestWhoseAnswerSaidThatItsUpstreamLeavesWasSentThere(t *testing.T) {
	expect := NewWithT(t)
	const placed = `
{"time":"2026-10-13T13:21:24Z","level":"info","msg":"request_placed","daemon":"edge-1","request":"c0","upstream":"i-1"}
{"time":"2026-10-13T13:21:26Z","level":"info","msg":"request_finished","daemon":"edge-1","request":"c0","status":200,"first_ms":9,"ran":1}
`
	lines, err := Find(strings.NewReader(leavingJoined+placed+leavingMark), "c0")
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(lines).To(HaveLen(3))
	expect.Expect(Cause(lines)).To(Equal("completed by edge-1 with status 200, first event after 9 ms, 1 upstreams may have run it"))
}
