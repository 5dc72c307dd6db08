package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// at returns a time after start in milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// sendTime is the time between the sending of a prompt and the crash of its engine.
const sendTime = 50 * time.Millisecond

func crash(table *Table, now time.Time, upstream string, startUnixMs uint64, parts []string) {
	table.RecordCrash(now, upstream, startUnixMs, Prompt{Parts: parts, SentAt: now.Add(-sendTime)})
}

func quarantined(t *Table, now time.Time) []string {
	var parts []string
	for _, verdict := range t.Verdicts(now) {
		parts = append(parts, verdict.Part)
	}
	return parts
}

func TestPartOnWhichThreeEnginesCrashIsQuarantined(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.RecordServed(at(0), []string{"shared", "session"})
	crash(table, at(100), "a", 1, []string{"shared", "session", "deadly"})
	crash(table, at(200), "b", 1, []string{"shared", "session", "deadly"})
	_, found := table.Check(at(201), []string{"deadly"})
	expect.Expect(found).To(BeFalse())
	crash(table, at(300), "c", 1, []string{"shared", "session", "deadly"})
	verdict, found := table.Check(at(301), []string{"shared", "deadly"})
	expect.Expect(found).To(BeTrue())
	expect.Expect(verdict).To(Equal(Verdict{Part: "deadly", Crashes: 3, Until: at(100).Add(evidenceAge)}))
	_, found = table.Check(at(301), []string{"shared", "session"})
	expect.Expect(found).To(BeFalse())
	expect.Expect(quarantined(table, at(100).Add(evidenceAge))).To(BeEmpty())
}

// A connection that breaks twice at one start of an engine is one crash; a new start of
// the engine is another.
func TestCrashesAreCountedByStartOfTheEngine(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 5 {
		crash(table, at(100*i), "a", 1, []string{"deadly"})
	}
	expect.Expect(quarantined(table, at(500))).To(BeEmpty())
	crash(table, at(600), "a", 2, []string{"deadly"})
	crash(table, at(700), "a", 3, []string{"deadly"})
	expect.Expect(quarantined(table, at(700))).To(Equal([]string{"deadly"}))
}

// When the engines of a rack lose power, all prompts that they had begun have parts in
// common.
func TestEnginesLostTogetherAccuseNoPrompt(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 10 {
		crash(table, at(i), fmt.Sprint("e", i), 1, []string{"shared"})
	}
	expect.Expect(quarantined(table, at(20))).To(BeEmpty())
}

// A request that is tried again at once crashes two engines within a few milliseconds.
func TestCrashesOfRetriesAreRepeated(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 3 {
		table.RecordCrash(at(5*i), fmt.Sprint("e", i), 1, Prompt{Parts: []string{"deadly"}, SentAt: at(5*i - 3)})
	}
	expect.Expect(quarantined(table, at(20))).To(Equal([]string{"deadly"}))
}

// A session whose requests were begun beside those that crashed the engines was never
// answered either, but only at some of these engines.
func TestPromptsBegunBesideTheDeadlyOneAreNotQuarantined(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 5 {
		engine := fmt.Sprint("e", i)
		crash(table, at(100*i), engine, 1, []string{"deadly"})
		if i < 4 {
			crash(table, at(100*i+1), engine, 1, []string{"bystander"})
		}
	}
	expect.Expect(quarantined(table, at(500))).To(Equal([]string{"deadly"}))
}

func TestTwoDeadlyPartsAreBothFound(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 6 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{[]string{"deadly-1", "deadly-2"}[i%2]})
	}
	expect.Expect(quarantined(table, at(600))).To(Equal([]string{"deadly-1", "deadly-2"}))
}

// Of parts that come together, the later one is in fewer prompts. If it is the earlier one
// that crashes engines, the next crash shows it.
func TestLaterPartIsTakenUntilACrashAccusesTheEarlierOne(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 3 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{"earlier", "later"})
	}
	expect.Expect(quarantined(table, at(300))).To(Equal([]string{"later"}))
	crash(table, at(400), "e4", 1, []string{"earlier", "other"})
	expect.Expect(quarantined(table, at(400))).To(Equal([]string{"earlier"}))
}

func TestServedPartIsReleased(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 3 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{"sound"})
	}
	expect.Expect(quarantined(table, at(300))).To(Equal([]string{"sound"}))
	table.RecordServed(at(400), []string{"sound"})
	expect.Expect(quarantined(table, at(400))).To(BeEmpty())
}

// A part that became deadly is found once it has not been served for a while.
func TestPartServedLongAgoIsSuspectedAgain(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.RecordServed(at(0), []string{"part"})
	for i := range 3 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{"part"})
	}
	expect.Expect(quarantined(table, at(300))).To(BeEmpty())
	later := start.Add(servedWindow)
	for i := range 3 {
		crash(table, later.Add(time.Duration(100*i)*time.Millisecond), fmt.Sprint("f", i), 1, []string{"part"})
	}
	expect.Expect(quarantined(table, later.Add(time.Second))).To(Equal([]string{"part"}))
}

// A daemon that has no crash of its own clears a part that it has seen served.
func TestDaemonThatSawAPartServedTellsOthers(t *testing.T) {
	expect := NewWithT(t)
	accuser, witness := NewTable(), NewTable()
	witness.RecordServed(at(0), []string{"sound"})
	for i := range 3 {
		crash(accuser, at(100*i), fmt.Sprint("e", i), 1, []string{"sound"})
	}
	expect.Expect(quarantined(accuser, at(300))).To(Equal([]string{"sound"}))
	witness.Merge(at(300), accuser.Since(0))
	accuser.Merge(at(301), witness.Since(0))
	expect.Expect(quarantined(accuser, at(301))).To(BeEmpty())
}

// Requests that wait at engines break off without an answer. What they share accuses nobody
// until more engines are lost than one deadly request of another prompt takes.
func TestSharedPartOfUnansweredPromptsNeedsMoreCrashes(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	lose := func(i int) {
		parts := []string{"deadly", RequestPart(fmt.Sprint(i))}
		table.RecordCrash(at(100*i), fmt.Sprint("e", i), 1, Prompt{Parts: parts, SentAt: at(100*i - 50), Unanswered: true})
	}
	for i := range minUnansweredCrashes - 1 {
		lose(i)
	}
	expect.Expect(quarantined(table, at(1000))).To(BeEmpty())
	lose(minUnansweredCrashes)
	verdict, found := table.Check(at(1000), []string{"deadly"})
	expect.Expect(found).To(BeTrue())
	expect.Expect(verdict).To(Equal(Verdict{Part: "deadly", Crashes: minUnansweredCrashes, Until: at(0).Add(evidenceAge)}))
}

// Parts that many requests share are in use all the time. After a crash, each answer with
// such a part was evidence that went to all daemons.
func TestPartsInUseAreNoNews(t *testing.T) {
	expect := NewWithT(t)
	accuser, witness := NewTable(), NewTable()
	accuser.RecordServed(at(0), []string{"shared"})
	crash(accuser, at(100), "a", 1, []string{"shared", "session"})
	evidence := accuser.Since(0)
	expect.Expect(evidence.Crashes).To(HaveLen(1))
	expect.Expect(evidence.Crashes[0].Suspects).To(HaveLen(1))
	crash(accuser, at(100), "b", 1, []string{"shared"})
	expect.Expect(accuser.Since(0).Crashes).To(HaveLen(1))

	witness.Merge(at(200), evidence)
	witness.RecordServed(at(300), []string{"shared", "session"})
	accuser.Merge(at(300), witness.Since(0))
	changes := witness.LastChange() + accuser.LastChange()
	for i := range 100 {
		accuser.RecordServed(at(1000*i), []string{"shared", "session"})
		witness.RecordServed(at(1000*i), []string{"shared", "session"})
	}
	expect.Expect(witness.LastChange() + accuser.LastChange()).To(Equal(changes))
}

// Evidence takes longer to one daemon than to another. The daemons compared the times of
// crashes that came in different messages, and one of them counted a crash less.
func TestSlowTransfersChangeNoVerdict(t *testing.T) {
	expect := NewWithT(t)
	accuser, slow := NewTable(), NewTable()
	for i := range 3 {
		sent := accuser.LastChange()
		accuser.RecordCrash(at(50*i), fmt.Sprint("e", i), 1, Prompt{Parts: []string{"deadly"}, SentAt: at(50*i - 40)})
		evidence := accuser.Since(sent)
		evidence.Crashes[0].At = at(100 + i)
		slow.Merge(at(500+i), evidence)
	}
	expect.Expect(quarantined(accuser, at(110))).To(Equal([]string{"deadly"}))
	expect.Expect(quarantined(slow, at(600))).To(Equal([]string{"deadly"}))
}

func TestEvidenceIsBounded(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range 4 * maxCrashes {
		var parts []string
		for j := range 2 * maxSuspects {
			parts = append(parts, fmt.Sprintf("%d-%d", i, j))
		}
		crash(table, at(i), fmt.Sprint("e", i), 1, parts)
		table.RecordServed(at(i), parts[:1])
	}
	expect.Expect(table.crashes).To(HaveLen(maxCrashes))
	expect.Expect(table.suspectCount).To(HaveLen(maxCrashes * maxSuspects))
	expect.Expect(len(table.served)).To(BeNumerically("<=", maxCrashes))
	for i := range 4 * maxRecentParts {
		table.RecordServed(at(0), []string{fmt.Sprint(i)})
	}
	expect.Expect(len(table.recent.young) + len(table.recent.old)).To(BeNumerically("<=", 2*maxRecentParts))
	table.Merge(at(0).Add(2*evidenceAge), Evidence{})
	expect.Expect(table.Since(0)).To(Equal(Evidence{}))
	expect.Expect(table.suspectCount).To(BeEmpty())
}

func drawEvidence(t *rapid.T) []Evidence {
	part := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	crash := rapid.Custom(func(t *rapid.T) Evidence {
		crash := Crash{Upstream: rapid.SampledFrom([]string{"e1", "e2", "e3", "e4", "e5"}).Draw(t, "engine"), StartUnixMs: 1}
		crash.At = at(1000 * int(crash.Upstream[1]))
		for i, p := range rapid.SliceOfNDistinct(part, 1, 3, rapid.ID[string]).Draw(t, "parts") {
			crash.Suspects = append(crash.Suspects, Suspect{p, i, rapid.Bool().Draw(t, "repeated"), rapid.Bool().Draw(t, "unanswered")})
		}
		return Evidence{Crashes: []Crash{crash}}
	})
	return rapid.SliceOfN(crash, 1, 12).Draw(t, "crashes")
}

// Daemons that have the same crashes agree, in whatever order and however often these arrive.
func TestDaemonsWithTheSameCrashesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := drawEvidence(t)
		one, other := NewTable(), NewTable()
		now := at(100_000)
		for _, e := range evidence {
			one.Merge(now, e)
		}
		for _, e := range rapid.Permutation(slices.Concat(evidence, evidence)).Draw(t, "again") {
			other.Merge(now, e)
		}
		if got, want := other.Verdicts(now), one.Verdicts(now); !slices.Equal(got, want) {
			t.Fatalf("%v, want %v", got, want)
		}
	})
}

// A time that is passed on grows with each transfer. Daemons that took it for news each
// time would send it round for ever.
func TestExchangeOfEvidenceEnds(t *testing.T) {
	expect := NewWithT(t)
	tables := []*Table{NewTable(), NewTable(), NewTable()}
	for i := range 3 {
		crash(tables[0], at(100*i), fmt.Sprint("e", i), 1, []string{"part"})
	}
	tables[1].RecordServed(at(300), []string{"part"})
	sent := make(map[[2]int]uint64)
	quiet := false
	for round := 0; round < 20 && !quiet; round++ {
		quiet = true
		for from := range tables {
			for to := range tables {
				evidence := tables[from].Since(sent[[2]int{from, to}])
				sent[[2]int{from, to}] = tables[from].LastChange()
				if from == to || len(evidence.Crashes)+len(evidence.Served) == 0 {
					continue
				}
				quiet = false
				for i := range evidence.Served {
					evidence.Served[i].At = evidence.Served[i].At.Add(10 * time.Millisecond)
				}
				tables[to].Merge(at(1000+100*round), evidence)
			}
		}
	}
	expect.Expect(quiet).To(BeTrue())
}

// fleetModel replays the load of a fleet: engines with requests that have just begun or
// have long been answered, entries that see only their own requests, and evidence that
// reaches the other entries some time later.
type fleetModel struct {
	random *rand.Rand
	// deadly is the part that crashes engines, before the head of the response if beforeHead
	// is set.
	deadly     string
	beforeHead bool
	entries    []*Table
	engines    [][]modelRequest
	starts     []uint64
	sent       []uint64
	messages   []modelMessage
}

type modelRequest struct {
	entry  int
	parts  []string
	sentAt time.Time
	events int
}

type modelMessage struct {
	arrives  time.Time
	evidence Evidence
}

const (
	modelEntries  = 30
	modelEngines  = 40
	modelSlots    = 8
	modelDelay    = 50 * time.Millisecond
	modelInterval = 4 * time.Millisecond
)

func newFleetModel(seed uint64, deadly string) *fleetModel {
	m := &fleetModel{deadly: deadly, random: rand.New(rand.NewPCG(seed, 0)), engines: make([][]modelRequest, modelEngines), starts: make([]uint64, modelEngines), sent: make([]uint64, modelEntries)}
	for range modelEntries {
		m.entries = append(m.entries, NewTable())
	}
	return m
}

// place sends a request to the engine with the fewest, unless it is refused or all are
// full. It reports whether it was sent.
func (m *fleetModel) place(now time.Time, parts []string) bool {
	entry := m.random.IntN(modelEntries)
	if _, refused := m.entries[entry].Check(now, parts); refused {
		return false
	}
	engine := 0
	for i := range m.engines {
		if len(m.engines[i]) < len(m.engines[engine]) {
			engine = i
		}
	}
	if len(m.engines[engine]) == modelSlots {
		return false
	}
	m.engines[engine] = append(m.engines[engine], modelRequest{entry: entry, parts: parts, sentAt: now})
	return true
}

// step lets the engines write an event each. A request that is answered with a deadly part
// crashes its engine. It returns the number of crashes.
func (m *fleetModel) step(now time.Time) (crashes int) {
	for i, requests := range m.engines {
		if slices.ContainsFunc(requests, func(r modelRequest) bool { return slices.Contains(r.parts, m.deadly) }) {
			for _, r := range requests {
				if r.events < MinServedEvents {
					prompt := Prompt{Parts: r.parts, SentAt: r.sentAt, Unanswered: r.events == 0 && m.beforeHead}
					m.entries[r.entry].RecordCrash(now, fmt.Sprint("e", i), m.starts[i], prompt)
				}
			}
			m.engines[i] = nil
			m.starts[i]++
			crashes++
			continue
		}
		for j := range requests {
			requests[j].events++
			if requests[j].events == MinServedEvents {
				m.entries[requests[j].entry].RecordServed(now, requests[j].parts)
			}
		}
		m.engines[i] = slices.DeleteFunc(requests, func(r modelRequest) bool { return r.events > 30 })
	}
	for i, table := range m.entries {
		if table.LastChange() != m.sent[i] {
			m.messages = append(m.messages, modelMessage{now.Add(modelDelay), table.Since(m.sent[i])})
			m.sent[i] = table.LastChange()
		}
	}
	for len(m.messages) > 0 && !now.Before(m.messages[0].arrives) {
		for _, table := range m.entries {
			table.Merge(now, m.messages[0].evidence)
		}
		m.messages = m.messages[1:]
	}
	return crashes
}

// Under load, with sessions that begin while engines crash, only what is deadly is
// quarantined, and the entries that know of it send nothing more: a part of prompts, or a
// request that comes again with the parts of its session.
func TestFleetQuarantinesTheDeadlyPartOnly(t *testing.T) {
	for _, deadly := range []string{"deadly", RequestPart("deadly")} {
		for seed := range uint64(20) {
			expect := NewWithT(t)
			m := newFleetModel(seed/2, deadly)
			m.beforeHead = seed%2 == 1
			lateCrashes, found := 0, time.Time{}
			for tick := range 4000 {
				now := at(tick * int(modelInterval.Milliseconds()))
				for i := range 2 {
					class := fmt.Sprint("class-", m.random.IntN(2))
					m.place(now, []string{class, fmt.Sprint("session-", tick/100, "-", m.random.IntN(40)), RequestPart(fmt.Sprint(tick, "-", i))})
				}
				if tick > 500 && m.random.IntN(16) == 0 {
					session := fmt.Sprint("session-", tick/100, "-", m.random.IntN(40))
					if deadly != "deadly" {
						session = "session-0-0"
					}
					m.place(now, []string{"class-0", session, deadly})
				}
				crashes := m.step(now)
				for _, table := range m.entries[tick%5*6 : tick%5*6+6] {
					for _, part := range quarantined(table, now) {
						expect.Expect(part).To(Equal(deadly), "seed %d", seed)
						if found.IsZero() {
							found = now
						}
					}
				}
				if !found.IsZero() && now.Sub(found) > 2*modelDelay {
					lateCrashes += crashes
				}
			}
			expect.Expect(found.IsZero()).To(BeFalse(), "seed %d", seed)
			expect.Expect(lateCrashes).To(BeZero(), "seed %d", seed)
		}
	}
}

// Requests that come again are many more than parts that prompts share. They must not push
// these out of what is known to be served.
func TestServedRequestsAreKeptApartFromServedParts(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.RecordServed(at(0), []string{"shared"})
	for i := range 4 * maxRecentParts {
		table.RecordServed(at(1), []string{RequestPart(fmt.Sprint(i))})
	}
	expect.Expect(len(table.recentRequests.young) + len(table.recentRequests.old)).To(BeNumerically("<=", 2*maxRecentParts))
	for i := range 3 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{"shared"})
	}
	expect.Expect(quarantined(table, at(300))).To(BeEmpty())
}

// Nobody else uses the shared parts of a request that comes again at the time.
func TestRepeatedRequestIsTakenBeforeThePartsOfItsPrompt(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	request := RequestPart("digest")
	for i := range 4 {
		crash(table, at(100*i), fmt.Sprint("e", i), 1, []string{"shared", "session", request})
	}
	expect.Expect(quarantined(table, at(400))).To(Equal([]string{request}))
	_, found := table.Check(at(400), []string{"shared", "session", RequestPart("other")})
	expect.Expect(found).To(BeFalse())
}

// One crash is too little for a quarantine. A request that may have caused it must not run
// on two engines at once.
func TestPartOfOneCrashIsSuspectedUntilItIsServed(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	expect.Expect(table.Suspects(start, []string{"a"})).To(BeFalse())
	crash(table, at(0), "u1", 1, []string{"a", "b"})
	expect.Expect(table.Suspects(at(1), []string{"x", "b"})).To(BeTrue())
	expect.Expect(table.Suspects(at(1), []string{"x"})).To(BeFalse())
	table.RecordServed(at(2), []string{"b"})
	expect.Expect(table.Suspects(at(3), []string{"b"})).To(BeFalse())
	expect.Expect(table.Suspects(at(3), []string{"a"})).To(BeTrue())
	expect.Expect(table.Suspects(start.Add(evidenceAge), []string{"a"})).To(BeFalse())
}
