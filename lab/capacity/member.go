package capacity

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/pb"
)

const (
	memberTick = 100 * time.Millisecond
	memberTime = 30 * time.Second

	registrarAddress = "10.0.0.1:7001"
	tableAddress     = "10.0.0.2:7001"
)

// memberRun connects announcers with one registrar and one entry's table.
type memberRun struct {
	now        time.Time
	registrar  *member.Registrar
	table      *member.Table
	announcers []*member.Announcer
	byAddress  map[string]*member.Announcer
	entry      meter
	announcing meter
	bytes      int
}

func newMemberRun(members int) *memberRun {
	registrars := []string{registrarAddress}
	r := &memberRun{
		now:       epoch,
		registrar: member.NewRegistrar(member.RegistrarOptions{}, 1),
		byAddress: make(map[string]*member.Announcer),
	}
	r.table = member.NewTable(member.TableOptions{Entry: "entry-2", Address: tableAddress, Registrars: registrars})
	for i := range members {
		announcer := member.NewAnnouncer(member.AnnouncerOptions{Registrars: registrars, Copies: 1})
		announcer.Step(r.now, member.SetMember{Member: &pb.Member{
			Id: fmt.Sprintf("sidecar-%05d", i), Incarnation: 1, Address: address(i), DataCentre: "lulea",
			Services: []string{"dam-watch"}, State: pb.MemberState_MEMBER_SERVING,
			Load: &pb.Load{RunningOnline: 3, RunningBatch: 5, Window: 32},
		}})
		r.announcers = append(r.announcers, announcer)
		r.byAddress[address(i)] = announcer
	}
	return r
}

func address(i int) string {
	return fmt.Sprintf("10.1.%d.%d:7001", i/256, i%256)
}

func (r *memberRun) runFor(d time.Duration) {
	for range int(d / memberTick) {
		r.now = r.now.Add(memberTick)
		r.tick()
	}
}

type memberDatagram struct {
	from, to string
	data     []byte
}

func (r *memberRun) tick() {
	var sent []memberDatagram
	r.announcing.run(func() {
		for i, announcer := range r.announcers {
			announcer.Tick(r.now)
			sent = append(sent, datagrams(address(i), announcer.Drain())...)
		}
	})
	r.entry.run(func() {
		r.registrar.Tick(r.now)
		r.table.Tick(r.now)
		sent = append(sent, r.drainEntry()...)
	})
	for len(sent) > 0 {
		sent = r.deliver(sent)
	}
}

func (r *memberRun) drainEntry() []memberDatagram {
	sent := datagrams(registrarAddress, r.registrar.Drain())
	return append(sent, datagrams(tableAddress, r.table.Drain())...)
}

func (r *memberRun) deliver(sent []memberDatagram) []memberDatagram {
	var answers []memberDatagram
	r.entry.run(func() {
		for _, d := range sent {
			switch d.to {
			case registrarAddress:
				r.registrar.Step(r.now, parse(d))
			case tableAddress:
				r.table.Step(r.now, parse(d))
			}
		}
		answers = r.drainEntry()
	})
	r.announcing.run(func() {
		for _, d := range sent {
			if announcer, ok := r.byAddress[d.to]; ok {
				announcer.Step(r.now, parse(d))
				answers = append(answers, datagrams(d.to, announcer.Drain())...)
			}
		}
	})
	for _, d := range sent {
		r.bytes += len(d.data) + datagramOverhead
	}
	return answers
}

func parse(d memberDatagram) member.Datagram {
	var message pb.MemberMessage
	mustUnmarshal(d.data, &message)
	return member.Datagram{From: d.from, Message: &message}
}

func datagrams(from string, outputs []member.Output) []memberDatagram {
	var sent []memberDatagram
	for _, out := range outputs {
		if out, ok := out.(member.SendTo); ok {
			data, err := proto.Marshal(out.Message)
			if err != nil {
				panic(err)
			}
			sent = append(sent, memberDatagram{from: from, to: out.Address, data: data})
		}
	}
	return sent
}

// memberSlopes measures what announced upstreams cost an entry that is both
// registrar and subscriber, and the sidecars together.
func memberSlopes() []CostSeries {
	cpu := newSlope(MemberCPU, "µs/s", "members")
	bytes := newSlope(MemberBytes, "B/s", "members")
	registrarMemory := newSlope(RegistrarMemory, "B", "members")
	tableMemory := newSlope(MemberTableMemory, "B", "members")
	announcing := newSlope(AnnouncerCPU, "µs/s", "sidecars")
	for _, n := range []int{100, 400, 1600} {
		run := newMemberRun(n)
		run.runFor(memberTime)
		if held := len(run.table.Members()); held != n {
			panic(fmt.Sprintf("capacity: the table holds %d of %d members", held, n))
		}
		runtime.GC()
		run.entry, run.announcing, run.bytes = meter{}, meter{}, 0
		run.runFor(memberTime)
		cpu.add(float64(n), run.entry.micros()/memberTime.Seconds())
		bytes.add(float64(n), float64(run.bytes)/memberTime.Seconds())
		announcing.add(float64(n), run.announcing.micros()/memberTime.Seconds())
		run.announcers, run.byAddress = nil, nil
		whole := heapBytes()
		run.registrar = nil
		withoutRegistrar := heapBytes()
		run.table = nil
		registrarMemory.add(float64(n), whole-withoutRegistrar)
		tableMemory.add(float64(n), withoutRegistrar-heapBytes())
		runtime.KeepAlive(run)
	}
	return fit(cpu, bytes, registrarMemory, tableMemory, announcing)
}
