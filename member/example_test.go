package member_test

import (
	"fmt"
	"time"

	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/pb"
)

// The three cores run in one process here. The datagrams are passed in a slice
// instead of being sent over UDP.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	registrar := member.NewRegistrar(member.RegistrarOptions{}, 1)
	table := member.NewTable(member.TableOptions{
		EntryID: "entry-1", Address: "entry-1:7101", Registrars: []string{"entry-1:7101"},
	})
	announcer := member.NewAnnouncer(member.AnnouncerOptions{Registrars: []string{"entry-1:7101"}})

	exchange := func() {
		announcer.Tick(now)
		registrar.Tick(now)
		table.Tick(now)
		for {
			var datagrams []member.SendTo
			outputs := append(announcer.Drain(), registrar.Drain()...)
			for _, out := range append(outputs, table.Drain()...) {
				switch out := out.(type) {
				case member.SendTo:
					datagrams = append(datagrams, out)
				case member.Changed:
					fmt.Println(out.Member.GetId(), out.Member.GetState())
				case member.Gone:
					fmt.Println(out.ID, "is gone")
				}
			}
			if len(datagrams) == 0 {
				return
			}
			for _, d := range datagrams {
				in := member.Datagram{From: "upstream-1:7201", Message: d.Message}
				announcer.Step(now, in)
				registrar.Step(now, in)
				table.Step(now, in)
			}
		}
	}

	upstream := &pb.Member{Id: "upstream-1", Incarnation: 1, Services: []string{"dam-watch"}}
	for _, state := range []pb.MemberState{
		pb.MemberState_MEMBER_SERVING, pb.MemberState_MEMBER_DRAINING, pb.MemberState_MEMBER_LEFT,
	} {
		upstream.State = state
		announcer.Step(now, member.SetMember{Member: upstream})
		exchange()
		now = now.Add(member.DefaultHeartbeatInterval)
		exchange()
	}
	// Output:
	// upstream-1 MEMBER_SERVING
	// upstream-1 MEMBER_DRAINING
	// upstream-1 is gone
}
