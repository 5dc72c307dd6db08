package spread_test

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/control"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/spread"
)

const document = `
kind: Profile
name: inspector
spec:
  class: online
  firstToken: 800ms
`

// A control replica and a daemon in one process: the state accepts a change, the
// publisher sends it and the subscriber puts it into force.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	state, store := control.NewState(nil), kv.NewMemoryStore()
	publisher := spread.NewPublisher(spread.PublisherOptions{})
	subscriber := spread.NewSubscriber([]string{"control-1:7001"}, spread.SubscriberOptions{}, 1)
	table := config.NewTable()

	daemon := func() {
		for _, out := range subscriber.Drain() {
			switch out := out.(type) {
			case spread.Attach:
				watch := &pb.ConfigWatch{Daemon: "entry-1", FromRevision: out.FromRevision}
				publisher.Step(now, spread.Watch{SubscriberID: 1, Watch: watch})
			case spread.Apply:
				table.Apply(out.Update)
				fmt.Println("in force: revision", table.Revision())
			case spread.ReadinessChanged:
				fmt.Println("ready:", out.Ready)
			}
		}
	}
	replica := func() {
		for _, out := range publisher.Drain() {
			switch out := out.(type) {
			case spread.RequestConfirmation:
				publisher.Step(now, spread.Confirmed{Revision: state.ConfigRevision(store)})
			case spread.SendUpdate:
				update := state.UpdateSince(store, out.FromRevision)
				update.Confirmed = out.Confirmed
				update.LeaseMs = uint32(out.LeaseRemaining.Milliseconds())
				subscriber.Step(now, spread.Update{Update: update})
			}
		}
	}
	run := func() {
		subscriber.Tick(now)
		daemon()
		for range 3 {
			publisher.Tick(now)
			replica()
			daemon()
		}
	}

	run()
	docs, err := config.Parse("inspector.yaml", []byte(document))
	if err != nil {
		fmt.Println(err)
		return
	}
	batch := store.NewBatch()
	result := state.Apply(batch, 1, &pb.Command{
		UnixMs: uint64(now.UnixMilli()),
		Op: &pb.Command_ConfigChange{ConfigChange: &pb.ConfigChange{
			ChangeId: "first",
			Ops:      []*pb.ConfigOp{{Op: &pb.ConfigOp_Put{Put: docs[0]}}},
		}},
	})
	if err := store.Commit(batch, true); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(result.GetChange().GetOutcome())
	publisher.Step(now, spread.Applied{Revision: state.ConfigRevision(store)})
	run()
	inspector, _ := table.Profile("inspector")
	fmt.Println("first token within", inspector.GetFirstTokenMs(), "ms")
	// Output:
	// ready: true
	// CHANGE_ACCEPTED
	// in force: revision 1
	// first token within 800 ms
}
