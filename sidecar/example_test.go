package sidecar_test

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

// A batch item runs on an idle engine, is preempted in the step that starts an
// online request, and is resumed later.
func Example() {
	now := time.Unix(1_000_000, 0)
	s := sidecar.New(sidecar.Options{
		Incarnation: 1, Services: []string{"summary"},
		InitialWindow: 2, MinWindow: 2, MaxWindow: 2, CanPause: true,
	})
	printOutputs := func() {
		for _, out := range s.Drain() {
			if _, ok := out.(sidecar.FreeCapacity); !ok {
				fmt.Printf("%T %+v\n", out, out)
			}
		}
	}
	item := sidecar.AttemptID{RequestID: "item", Attempt: 1}
	submit := func(id sidecar.AttemptID, class sidecar.Class) {
		s.Step(now, sidecar.Submit{Work: sidecar.Work{
			ID: id, Class: class, Service: "summary", PromptTokens: 100, MaxTokens: 50, Idempotent: true,
		}})
		printOutputs()
	}
	submit(item, sidecar.Batch)
	submit(sidecar.AttemptID{RequestID: "a", Attempt: 1}, sidecar.Online)
	submit(sidecar.AttemptID{RequestID: "b", Attempt: 1}, sidecar.Online)
	s.Step(now, sidecar.RunEnded{ID: item, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Paused: true})
	printOutputs()
	for _, request := range []string{"a", "b"} {
		id := sidecar.AttemptID{RequestID: request, Attempt: 1}
		s.Step(now, sidecar.RunEnded{ID: id, Outcome: pb.Outcome_OUTCOME_DONE})
	}
	now = now.Add(time.Second)
	s.Tick(now)
	printOutputs()
	// Output:
	// sidecar.Start {ID:{RequestID:item Attempt:1} Resume:false}
	// sidecar.Start {ID:{RequestID:a Attempt:1} Resume:false}
	// sidecar.Stop {ID:{RequestID:item Attempt:1} Pause:true}
	// sidecar.Start {ID:{RequestID:b Attempt:1} Resume:false}
	// sidecar.Requeued {ID:{RequestID:item Attempt:1}}
	// sidecar.Start {ID:{RequestID:item Attempt:1} Resume:true}
}
