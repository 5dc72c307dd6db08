package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

func newTestQuarantine(onChange func()) *Quarantine {
	return NewQuarantine(log.New(io.Discard), onChange)
}

// recordCrashes records crashes of three engines on a part of a prompt.
func recordCrashes(q *Quarantine, part string) {
	for _, id := range []string{"a", "b", "c"} {
		q.RecordCrash(dispatch.Grant{Upstream: id, StartUnixMs: 1, GrantedAt: time.Now()}, []string{part}, true)
	}
}

func isQuarantined(q *Quarantine, part string) bool {
	_, quarantined := q.Check([]string{part})
	return quarantined
}

func TestEvidenceIsPassedOn(t *testing.T) {
	expect := NewWithT(t)
	changes := 0
	one, other := newTestQuarantine(func() {}), newTestQuarantine(func() { changes++ })
	recordCrashes(one, "deadly")
	evidence, last := one.Since(0)
	other.Merge(evidence)
	expect.Expect(isQuarantined(other, "deadly")).To(BeTrue())
	other.Merge(evidence)
	expect.Expect(changes).To(Equal(1))
	evidence, _ = one.Since(last)
	expect.Expect(evidence).To(BeNil())
	other.RecordServed([]string{"deadly"})
	evidence, _ = other.Since(0)
	one.Merge(evidence)
	expect.Expect(isQuarantined(one, "deadly")).To(BeFalse())
	other.Merge(nil)
	other.Merge(&pb.CrashEvidence{Crashes: []*pb.EngineCrash{{}, nil}, Served: []*pb.ServedPart{nil, {}}})
}

// startEvidenceReplica starts a control replica that passes on the evidence it receives,
// and ends each subscription after the first evidence.
func startEvidenceReplica(t *testing.T, received chan<- *pb.CrashEvidence) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(&transport.Identity{ID: "control"}, func(_ transport.Class, stream *transport.Stream) {
		defer func() { _ = stream.Close() }()
		for {
			envelope, err := stream.Receive()
			if err != nil || stream.Send(&pb.Envelope{Body: &pb.Envelope_FleetUpdate{FleetUpdate: &pb.FleetUpdate{}}}) != nil {
				return
			}
			if evidence := envelope.GetFleetWatch().GetEvidence(); evidence != nil {
				received <- evidence
				return
			}
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

// All control replicas may be lost at once. The daemons then tell the new ones what they
// know.
func TestEvidenceIsSentOnEachSubscription(t *testing.T) {
	expect := NewWithT(t)
	received := make(chan *pb.CrashEvidence, 16)
	settings := &Settings{ID: "e", Role: RoleEntry, DataCentre: "d", Address: "127.0.0.1:0", Seeds: []string{startEvidenceReplica(t, received)}}
	identity := settings.Identity()
	client := transport.NewClient(identity, nil)
	defer client.Close()
	var f *Follower
	q := newTestQuarantine(func() { f.EvidenceChanged() })
	f = NewFollower(client, NewView(time.Second), q, nil, settings.Self(identity), settings.Seeds, log.New(io.Discard), func(ViewChanges) {})
	ctx := t.Context()
	other := newTestQuarantine(func() {})
	recordCrashes(other, "deadly")
	crashes, _ := other.Since(0)
	go f.Run(ctx)
	// In one step: a subscription that opens between two crashes sends the first ones only.
	q.Merge(crashes)
	for range 3 {
		var evidence *pb.CrashEvidence
		expect.Eventually(received, 10*time.Second).Should(Receive(&evidence))
		fresh := newTestQuarantine(func() {})
		fresh.Merge(evidence)
		expect.Expect(isQuarantined(fresh, "deadly")).To(BeTrue())
	}
}
