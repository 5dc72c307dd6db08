package gate_test

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/pb"
)

// oneProfile returns the same profile for every service.
type oneProfile struct{ profile *pb.Profile }

func (p oneProfile) ProfileOf(service string) (*pb.Service, *pb.Profile, *pb.Profile, bool) {
	return &pb.Service{Name: service}, p.profile, nil, true
}

// A gate admits a request, sends it to an upstream, and sends it to another
// upstream when the first reports that it did not run the request.
func Example() {
	now := time.Unix(1_000_000, 0)
	g := gate.New(gate.Options{DataCentre: "lulea", Seed: 1})
	g.Step(now, gate.ProfilesChanged{Profiles: oneProfile{&pb.Profile{DueMs: 30_000, MaxAttempts: 3}}})
	g.Step(now, gate.ReadinessChanged{Ready: true})
	for _, id := range []string{"upstream-1", "upstream-2"} {
		g.Step(now, gate.MemberChanged{Member: &pb.Member{
			Id: id, Incarnation: 1, Version: 1, DataCentre: "lulea",
			Services: []string{"summary"}, State: pb.MemberState_MEMBER_SERVING,
		}})
	}
	g.Step(now, gate.RequestArrived{Request: gate.Request{ID: "r1", Caller: "mine", Service: "summary"}})
	first := g.Drain()[0].(gate.Send)
	fmt.Println("attempt", first.Attempt, "with", first.TimeToDeadline, "left")

	g.Step(now, gate.AttemptEnded{
		ID: "r1", Attempt: 1,
		Outcome: pb.Outcome_OUTCOME_NOT_RUN, Reason: pb.Reason_REASON_DRAINING,
	})
	second := g.Drain()[0].(gate.Send)
	fmt.Println("attempt", second.Attempt, "because of", second.RetryReason, "elsewhere:", second.Member.GetId() != first.Member.GetId())

	g.Step(now, gate.FirstByte{ID: "r1", Attempt: 2})
	g.Step(now, gate.AttemptEnded{ID: "r1", Attempt: 2, Outcome: pb.Outcome_OUTCOME_DONE})
	fmt.Println(g.Drain()[0].(gate.Finish).Outcome)
	// Output:
	// attempt 1 with 30s left
	// attempt 2 because of REASON_DRAINING elsewhere: true
	// OUTCOME_DONE
}
