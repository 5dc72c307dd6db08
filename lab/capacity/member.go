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
	memberTickInterval = 100 * time.Millisecond
	memberPeriod       = 30 * time.Second

	registrarAddress = "10.0.0.1:7001"
	tableAddress     = "10.0.0.2:7001"
)

// memberRun connects the announcers of members with the registrar and the member
// table of one entry.
type memberRun struct {
	now                 time.Time
	registrar           *member.Registrar
	table               *member.Table
	announcers          []*member.Announcer
	announcersByAddress map[string]*member.Announcer
	entryCPU            cpuMeter
	announcerCPU        cpuMeter
	datagramBytes       int
}

func newMemberRun(members int) *memberRun {
	registrars := []string{registrarAddress}
	r := &memberRun{
		now:                 startTime,
		registrar:           member.NewRegistrar(member.RegistrarOptions{}, 1),
		announcersByAddress: make(map[string]*member.Announcer),
	}
	r.table = member.NewTable(member.TableOptions{EntryID: "entry-2", Address: tableAddress, Registrars: registrars})
	for i := range members {
		announcer := member.NewAnnouncer(member.AnnouncerOptions{Registrars: registrars, RegistrarCount: 1})
		announcer.Step(r.now, member.SetMember{Member: &pb.Member{
			Id: fmt.Sprintf("sidecar-%05d", i), Incarnation: 1, Address: address(i), DataCentre: "lulea",
			Services: []string{"dam-watch"}, State: pb.MemberState_MEMBER_SERVING,
			Load: &pb.Load{RunningOnline: 3, RunningBatch: 5, Window: 32},
		}})
		r.announcers = append(r.announcers, announcer)
		r.announcersByAddress[address(i)] = announcer
	}
	return r
}

func address(i int) string {
	return fmt.Sprintf("10.1.%d.%d:7001", i/256, i%256)
}

func (r *memberRun) runFor(d time.Duration) {
	for range int(d / memberTickInterval) {
		r.now = r.now.Add(memberTickInterval)
		r.tick()
	}
}

type memberDatagram struct {
	from, to string
	data     []byte
}

func (r *memberRun) tick() {
	var sent []memberDatagram
	r.announcerCPU.measure(func() {
		for i, announcer := range r.announcers {
			announcer.Tick(r.now)
			sent = append(sent, datagrams(address(i), announcer.Drain())...)
		}
	})
	r.entryCPU.measure(func() {
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
	var responses []memberDatagram
	r.entryCPU.measure(func() {
		for _, d := range sent {
			switch d.to {
			case registrarAddress:
				r.registrar.Step(r.now, parseDatagram(d))
			case tableAddress:
				r.table.Step(r.now, parseDatagram(d))
			}
		}
		responses = r.drainEntry()
	})
	r.announcerCPU.measure(func() {
		for _, d := range sent {
			if announcer, ok := r.announcersByAddress[d.to]; ok {
				announcer.Step(r.now, parseDatagram(d))
				responses = append(responses, datagrams(d.to, announcer.Drain())...)
			}
		}
	})
	for _, d := range sent {
		r.datagramBytes += len(d.data) + datagramOverhead
	}
	return responses
}

func parseDatagram(d memberDatagram) member.Datagram {
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

// memberCosts measures the costs of announced members for an entry that is both
// registrar and subscriber, and for all sidecars together.
func memberCosts() []CostSeries {
	entryCPU := newCostSeries(MemberCPU, "µs/s", "members")
	memberBytes := newCostSeries(MemberBytes, "B/s", "members")
	registrarMemory := newCostSeries(RegistrarMemory, "B", "members")
	tableMemory := newCostSeries(MemberTableMemory, "B", "members")
	announcerCPU := newCostSeries(AnnouncerCPU, "µs/s", "sidecars")
	for _, members := range []int{100, 400, 1600} {
		run := newMemberRun(members)
		run.runFor(memberPeriod)
		if known := len(run.table.Members()); known != members {
			panic(fmt.Sprintf("capacity: the member table has %d members, want %d", known, members))
		}
		runtime.GC()
		run.entryCPU, run.announcerCPU, run.datagramBytes = cpuMeter{}, cpuMeter{}, 0
		run.runFor(memberPeriod)
		entryCPU.add(float64(members), run.entryCPU.microseconds()/memberPeriod.Seconds())
		memberBytes.add(float64(members), float64(run.datagramBytes)/memberPeriod.Seconds())
		announcerCPU.add(float64(members), run.announcerCPU.microseconds()/memberPeriod.Seconds())
		run.announcers, run.announcersByAddress = nil, nil
		heapWithBoth := heapBytes()
		run.registrar = nil
		heapWithTable := heapBytes()
		run.table = nil
		registrarMemory.add(float64(members), heapWithBoth-heapWithTable)
		tableMemory.add(float64(members), heapWithTable-heapBytes())
		runtime.KeepAlive(run)
	}
	return fitAll(entryCPU, memberBytes, registrarMemory, tableMemory, announcerCPU)
}
