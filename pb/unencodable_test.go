package pb

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func TestOnlyRecordsThatCannotBeEncodedAreRemoved(t *testing.T) {
	expect := NewWithT(t)
	update := &FleetUpdate{
		RoutingVersion: 7, RoutingDocument: []byte("\xff"), Current: true,
		Upstreams:     []*UpstreamBeat{{Id: "a"}, {Id: "b\xff"}, {Id: "c", SoftwareVersion: "\xfe"}, {Id: "d"}},
		Control:       []string{"c:1", "\xff:1"},
		DaemonChanges: &DaemonChanges{Added: []*Daemon{{Id: "\xff"}, {Id: "e"}}, Removed: []string{"\xff"}},
		Silent:        &SilentUpstreams{Ids: []string{"b\xff", "d"}},
		Evidence:      &CrashEvidence{Crashes: []*EngineCrash{{Upstream: "a", Suspects: []*SuspectPart{{Part: "\xff"}}}, {Upstream: "d"}}},
	}
	expect.Expect(RemoveUnencodable(update)).To(HaveLen(7))
	expect.Expect(proto.Equal(update, &FleetUpdate{
		RoutingVersion: 7, RoutingDocument: []byte("\xff"), Current: true,
		Upstreams:     []*UpstreamBeat{{Id: "a"}, {Id: "d"}},
		Control:       []string{"c:1"},
		DaemonChanges: &DaemonChanges{Added: []*Daemon{{Id: "e"}}},
		Silent:        &SilentUpstreams{Ids: []string{"d"}},
		Evidence:      &CrashEvidence{Crashes: []*EngineCrash{{Upstream: "d"}}},
	})).To(BeTrue(), "%v", update)
	expect.Expect(RemoveUnencodable(update)).To(BeEmpty())
}

// FuzzRemoveUnencodable checks that a message can be encoded after the removal, and that a
// record with valid text is kept.
func FuzzRemoveUnencodable(f *testing.F) {
	f.Add("i-6d\xff\xfe", "10.0.0.1:80", "part")
	f.Add("id", "", "\xc0")
	f.Fuzz(func(t *testing.T, id, address, part string) {
		update := &FleetUpdate{
			Upstreams: []*UpstreamBeat{{Id: id, Address: address}, {Id: "sound"}},
			Silent:    &SilentUpstreams{Ids: []string{id}},
			Evidence:  &CrashEvidence{Served: []*ServedPart{{Part: part}}},
		}
		RemoveUnencodable(update)
		if _, err := proto.Marshal(update); err != nil {
			t.Fatal(err)
		}
		kept := update.GetUpstreams()
		if kept[len(kept)-1].GetId() != "sound" {
			t.Fatalf("the sound record was removed from %v", update)
		}
	})
}
