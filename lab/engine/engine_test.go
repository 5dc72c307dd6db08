package labengine_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
	"github.com/briarcross/briarcross/openai"
)

var epoch = time.Unix(1_700_000_000, 0)

// runUntilIdle advances an engine until it is idle or the limit is reached. It
// returns all outputs and the time of the last tick.
func runUntilIdle(e *labengine.Engine, now time.Time, limit time.Duration) ([]labengine.Output, time.Time) {
	var outputs []labengine.Output
	end := now.Add(limit)
	outputs = append(outputs, e.Drain()...)
	for {
		next, ok := e.NextTick()
		if !ok || next.After(end) {
			return outputs, now
		}
		now = next
		e.Tick(now)
		outputs = append(outputs, e.Drain()...)
	}
}

func newRequest(serial uint64, prompt string, tokens int) labengine.SubmitRequest {
	completion := openai.CompletionRequest{Service: "m", Prompt: prompt, MaxTokens: tokens}
	return labengine.SubmitRequest{Serial: serial, ID: "r" + strconv.FormatUint(serial, 10), Completion: completion}
}

func joinTokens(outputs []labengine.Output, serial uint64) string {
	var joined strings.Builder
	for _, out := range outputs {
		if token, ok := out.(labengine.Token); ok && token.Serial == serial {
			joined.WriteString(token.Text)
		}
	}
	return joined.String()
}

func TestEachRequestStartsAndFinishesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		e := labengine.New(labengine.Options{MaxKVTokens: 600, MaxSequences: 4})
		count := rapid.IntRange(1, 12).Draw(t, "requests")
		now := epoch
		var outputs []labengine.Output
		for i := range count {
			prompt := strings.Repeat(strconv.Itoa(i), rapid.IntRange(1, 600).Draw(t, "prompt"))
			tokens := rapid.IntRange(0, 60).Draw(t, "tokens")
			e.Step(now, newRequest(uint64(i), prompt, tokens))
			outputs = append(outputs, e.Drain()...)
			more, at := runUntilIdle(e, now, time.Duration(rapid.IntRange(0, 100).Draw(t, "gap"))*time.Millisecond)
			outputs = append(outputs, more...)
			now = at
		}
		more, _ := runUntilIdle(e, now, time.Hour)
		outputs = append(outputs, more...)
		for _, entry := range e.Ledger() {
			g.Expect(entry.Started).To(Equal(1))
			g.Expect(entry.Finished).To(Equal(1))
		}
		finished := 0
		for _, out := range outputs {
			if _, ok := out.(labengine.Finished); ok {
				finished++
			}
		}
		g.Expect(finished).To(Equal(count))
	})
}

func TestEqualSeedsGiveEqualOutputs(t *testing.T) {
	g := NewWithT(t)
	options := labengine.Options{Seed: 7, Faults: labengine.Faults{CrossedTokenProbability: 0.3, LateTokenProbability: 0.2, TruncateProbability: 0.3, FailProbability: 0.2}}
	runOnce := func() []labengine.Output {
		e := labengine.New(options)
		for i := range uint64(20) {
			e.Step(epoch, newRequest(i, "prompt "+strconv.FormatUint(i, 10), 10))
		}
		outputs, _ := runUntilIdle(e, epoch, time.Hour)
		return outputs
	}
	g.Expect(runOnce()).To(Equal(runOnce()))
}

func TestCachedPrefixSkipsPrefill(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{})
	prompt := strings.Repeat("p", 64*32)
	e.Step(epoch, newRequest(1, prompt, 1))
	_, first := runUntilIdle(e, epoch, time.Hour)
	e.Step(first, newRequest(2, prompt, 1))
	_, second := runUntilIdle(e, first, time.Hour)
	g.Expect(e.Counters().CachedTokens).To(BeNumerically("==", 512))
	g.Expect(second.Sub(first)).To(BeNumerically("<", first.Sub(epoch)/2))
}

func TestCacheEvictionAndLaggedLossyEvents(t *testing.T) {
	g := NewWithT(t)
	options := labengine.Options{Seed: 3, MaxKVTokens: 1100, CacheEventLag: time.Second, CacheEventLossProbability: 0.5}
	e := labengine.New(options)
	now := epoch
	for i := range uint64(40) {
		e.Step(now, newRequest(i, strings.Repeat(string(rune('a'+i%26)), 2048), 4))
		_, now = runUntilIdle(e, now, time.Hour)
	}
	g.Expect(e.CacheEvents(epoch.Add(time.Millisecond), 0).Events).To(BeEmpty())
	response := e.CacheEvents(now.Add(time.Second), 0)
	kinds := map[engine.CacheEventKind]int{}
	gaps := 0
	last := uint64(0)
	for _, event := range response.Events {
		kinds[event.Kind]++
		if event.Sequence != last+1 {
			gaps++
		}
		last = event.Sequence
	}
	g.Expect(kinds[engine.CacheStored]).To(BeNumerically(">", 0))
	g.Expect(kinds[engine.CacheEvicted]).To(BeNumerically(">", 0))
	g.Expect(gaps).To(BeNumerically(">", 0))
	g.Expect(response.Next).To(Equal(last))
}

func TestLoadReportsArePublishedAfterLag(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{LoadLag: time.Second})
	e.Step(epoch, newRequest(1, "p", 1000))
	g.Expect(e.Load(epoch.Add(999 * time.Millisecond)).Running).To(Equal(0))
	runUntilIdle(e, epoch, time.Second)
	g.Expect(e.Load(epoch.Add(time.Second)).Running).To(Equal(1))
}

func TestResumeContinuesResponse(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{})
	resumed := newRequest(1, "crest", 10)
	resumed.ResumeFrom = 4
	e.Step(epoch, resumed)
	outputs, _ := runUntilIdle(e, epoch, time.Hour)
	complete := labengine.ResponseText("crest", 10)
	g.Expect(labengine.ResponseText("crest", 4) + joinTokens(outputs, 1)).To(Equal(complete))
}

func TestKVImportSkipsPrefill(t *testing.T) {
	g := NewWithT(t)
	prompt := strings.Repeat("x", 40_000)
	source := labengine.New(labengine.Options{})
	source.Step(epoch, newRequest(1, prompt, 100))
	_, now := runUntilIdle(source, epoch, 700*time.Millisecond)
	_, err := source.ExportKV("unknown")
	g.Expect(err).To(MatchError(labengine.ErrNotRunning))
	handle, err := source.ExportKV("r1")
	g.Expect(err).NotTo(HaveOccurred())
	target := labengine.New(labengine.Options{})
	importing := newRequest(2, prompt, 100)
	importing.KVHandle = handle
	importing.ResumeFrom = 1
	target.Step(now, importing)
	runUntilIdle(target, now, time.Hour)
	g.Expect(target.Counters().PrefillTokens).To(BeNumerically("==", 1))
}

func TestCancelByIDStopsRequest(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{})
	e.Step(epoch, newRequest(1, "p", 1000))
	_, now := runUntilIdle(e, epoch, time.Second)
	e.Step(now, labengine.CancelByID{ID: "r1"})
	_, end := runUntilIdle(e, now, time.Hour)
	g.Expect(end.Sub(now)).To(BeNumerically("<", time.Second))
	entry := e.Ledger()[0]
	g.Expect(entry.Cancelled).To(Equal(1))
	g.Expect(entry.Finished).To(Equal(0))
}

func TestOrdersCheckFencingNumber(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		g := NewWithT(t)
		e := labengine.New(labengine.Options{ChecksFencing: checksFencing, OrderDuration: time.Second})
		order := func(serial, number uint64, subject string) labengine.SubmitOrder {
			request := engine.OrderRequest{FencingNumber: number, Kind: "ORDER_LOAD_MODEL", Subject: subject}
			return labengine.SubmitOrder{Serial: serial, Request: request}
		}
		e.Step(epoch, order(1, 9, "new"))
		g.Expect(e.Identity().Models).To(BeEmpty())
		outputs, now := runUntilIdle(e, epoch, time.Hour)
		g.Expect(outputs).To(HaveLen(1))
		e.Step(now, order(2, 8, "old"))
		outputs, _ = runUntilIdle(e, now, time.Hour)
		response := outputs[0].(labengine.OrderResult).Response
		g.Expect(response.Done).To(Equal(!checksFencing))
		if checksFencing {
			g.Expect(e.Identity().Models).To(Equal([]string{"new"}))
		}
	}
}

func TestStallBlocksProgressUntilCleared(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{})
	e.Step(epoch, labengine.SetFaults{Faults: labengine.Faults{Stall: true}})
	e.Step(epoch, newRequest(1, "p", 5))
	outputs, _ := runUntilIdle(e, epoch, time.Hour)
	g.Expect(outputs).To(Equal([]labengine.Output{labengine.Accepted{Serial: 1}}))
	e.Step(epoch, labengine.SetFaults{})
	outputs, _ = runUntilIdle(e, epoch, time.Hour)
	g.Expect(joinTokens(outputs, 1)).To(Equal(labengine.ResponseText("p", 5)))
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	e := labengine.New(labengine.Options{Models: []string{"served"}})
	e.Step(epoch, newRequest(1, "p", 5))
	negative := newRequest(2, "p", -1)
	negative.Completion.Service = "served"
	e.Step(epoch, negative)
	large := newRequest(3, "p", labengine.DefaultMaxKVTokens)
	large.Completion.Service = "served"
	e.Step(epoch, large)
	var statuses []int
	for _, out := range e.Drain() {
		statuses = append(statuses, out.(labengine.Refused).Status)
	}
	g.Expect(statuses).To(Equal([]int{404, 400, 400}))
}
