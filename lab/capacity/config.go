package capacity

import (
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const configChanges = 2000

// configCosts measures the processor time of a change and the size of a snapshot
// by the number of documents in the configuration.
func configCosts() []CostSeries {
	cpuPerChange := newCostSeries(ConfigChangeCPU, "µs a change", "documents")
	snapshotBytes := newCostSeries(SnapshotBytes, "B", "documents")
	for _, documents := range []int{10, 100, 1000, 10_000} {
		store := kv.NewMemoryStore()
		for i := range documents {
			changeProfile(store, i, 0, uint64(i))
		}
		revision := uint64(documents)
		revisions := make([]uint64, documents)
		for i := range revisions {
			revisions[i] = uint64(i + 1)
		}
		var changeCPU cpuMeter
		runtime.GC()
		changeCPU.measure(func() {
			for i := range configChanges {
				profile := i % documents
				changeProfile(store, profile, revisions[profile], revision)
				revision++
				revisions[profile] = revision
			}
		})
		cpuPerChange.add(float64(documents), changeCPU.microseconds()/configChanges)
		update := config.State{}.UpdateSince(store, 0)
		snapshotBytes.add(float64(documents), float64(proto.Size(update)))
	}
	return fitAll(cpuPerChange, snapshotBytes)
}

// changeProfile writes one profile and builds the update for a daemon that is one
// revision behind.
func changeProfile(store kv.Store, index int, expected, revision uint64) {
	var state config.State
	document := profileDocument(fmt.Sprintf("profile-%05d", index), uint32(revision%7))
	batch := store.NewBatch()
	result := state.ApplyChange(batch, &pb.ConfigChange{
		ChangeId: fmt.Sprint("change-", revision), Operator: "operator",
		Ops: []*pb.ConfigOp{{Op: &pb.ConfigOp_Put{Put: document}, ExpectedRevision: expected}},
	}, uint64(startTime.UnixMilli()))
	if result.GetOutcome() != pb.ChangeOutcome_CHANGE_ACCEPTED {
		panic(fmt.Sprintf("capacity: change after revision %d was not accepted: %v", revision, result))
	}
	if err := store.Commit(batch, false); err != nil {
		panic(err)
	}
	if update := state.UpdateSince(store, revision); len(update.GetDocuments()) != 1 {
		panic(fmt.Sprintf("capacity: update after revision %d has %d documents, want 1", revision, len(update.GetDocuments())))
	}
}

// profileTemplate is a profile with the defaults of its schema.
var profileTemplate = parseProfile()

func parseProfile() *pb.Document {
	documents, err := config.Parse("template", []byte("kind: Profile\nname: template\nspec: {class: online}\n"))
	if err != nil {
		panic(err)
	}
	return documents[0]
}

func profileDocument(name string, priority uint32) *pb.Document {
	document := proto.Clone(profileTemplate).(*pb.Document)
	document.GetProfile().Name = name
	document.GetProfile().Priority = priority
	return document
}
