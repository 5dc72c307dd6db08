package gate_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/briarcross/briarcross/core"
	"github.com/briarcross/briarcross/gate"
	"github.com/briarcross/briarcross/sidecar"
)

// onlineAsk makes requests that share some system prompts.
func onlineAsk(random *rand.Rand) func(n int) gate.Request {
	return func(n int) gate.Request {
		r := gate.Request{
			ID: fmt.Sprint("r", n), Caller: fmt.Sprint("c", n%20), Service: "check", Idempotent: true,
			PromptTokens: 100 + random.IntN(500), MaxTokens: 20 + random.IntN(100),
		}
		return r
	}
}

func batchItems(random *rand.Rand) func(n int) sidecar.Work {
	return func(int) sidecar.Work {
		return sidecar.Work{
			Class: sidecar.Batch, Service: "check", Idempotent: true,
			PromptTokens: 200 + random.IntN(400), MaxTokens: 100 + random.IntN(100),
		}
	}
}

func quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[int(q*float64(len(samples)-1))]
}

type figures struct {
	first, gaps []time.Duration
	done        int
	good        int
	refused     int
	batch       batchTotals
}

const (
	warmUp       = 10 * time.Second
	measure      = 120 * time.Second
	measureSeeds = 4
)

// measureFleet runs a load with several seeds and returns what callers saw
// after the warm-up.
func measureFleet(m mode, perSecond float64, withBatch bool, change func(*fleet)) figures {
	results := make([]figures, measureSeeds)
	var group errgroup.Group
	group.SetLimit(3)
	for i := range results {
		group.Go(func() error {
			results[i] = measureSeed(m, uint64(i+1), perSecond, withBatch, change)
			return nil
		})
	}
	_ = group.Wait()
	var all figures
	for _, r := range results {
		all.add(r)
	}
	return all
}

func (r *figures) add(o figures) {
	r.first = append(r.first, o.first...)
	r.gaps = append(r.gaps, o.gaps...)
	r.done += o.done
	r.good += o.good
	r.refused += o.refused
	r.batch.done += o.batch.done
	r.batch.tokens += o.batch.tokens
	r.batch.stopped += o.batch.stopped
}

func measureSeed(m mode, seed uint64, perSecond float64, withBatch bool, change func(*fleet)) figures {
	f := newFleet(seed, 3, 9, m)
	if change != nil {
		change(f)
	}
	random := core.NewRand(seed + 1000)
	if withBatch {
		f.items = batchItems(core.NewRand(seed + 2000))
		for _, h := range f.hosts {
			h.pull()
		}
	}
	if perSecond > 0 {
		f.after(10*time.Millisecond, func() { f.poisson(perSecond, warmUp+measure, onlineAsk(random)) })
	}
	f.runFor(warmUp)
	before := f.batch
	f.runFor(measure)
	result := f.figures(epoch.Add(warmUp), epoch.Add(warmUp+measure))
	result.batch.tokens = f.batch.tokens - before.tokens
	result.batch.done = f.batch.done - before.done
	result.batch.stopped = f.batch.stopped - before.stopped
	return result
}

func (f *fleet) figures(from, to time.Time) figures {
	var all figures
	for _, c := range f.calls {
		if c.arrived.Before(from) {
			continue
		}
		if c.tokens > 0 {
			all.first = append(all.first, c.first.Sub(c.arrived))
			all.gaps = append(all.gaps, c.gaps...)
		}
		if c.finishes == 0 || c.finished.After(to) {
			continue
		}
		if c.tokens == c.request.MaxTokens {
			all.done++
			if c.first.Sub(c.arrived) <= time.Duration(f.profile.FirstTokenMs)*time.Millisecond {
				all.good++
			}
		} else {
			all.refused++
		}
	}
	return all
}

// report gives the quantiles that callers see.
func (r figures) report(b *testing.B) {
	for _, q := range []float64{0.5, 0.95, 0.99} {
		name := fmt.Sprintf("p%.0f-ms", q*100)
		b.ReportMetric(milliseconds(r.first, q), "first-"+name)
		b.ReportMetric(milliseconds(r.gaps, q), "gap-"+name)
	}
}

func milliseconds(samples []time.Duration, q float64) float64 {
	return quantile(samples, q).Seconds() * 1000
}

// besideCase is one way of running batch work beside online work.
type besideCase struct {
	name string
	mode mode
	harm uint32
}

var besideCases = []besideCase{
	{"straight", direct, 50},
	{"entry-priorities", entryPriority, 50},
	{"harm-20", briarcross, 20},
	{"harm-50", briarcross, 50},
	{"harm-100", briarcross, 100},
	{"harm-100-spread", spread, 100},
	{"harm-500", briarcross, 500},
	{"harm-1000", briarcross, 1000},
}

// BenchmarkBeside measures the harm of batch work to online latency and the
// batch throughput. The capacity left is the batch throughput of the engines
// without anything between, beside the same online load.
func BenchmarkBeside(b *testing.B) {
	for _, rate := range []float64{20, 100} {
		alone := measureFleet(briarcross, rate, false, nil)
		left := 0
		b.Run(fmt.Sprintf("%.0f-a-second/alone", rate), func(b *testing.B) {
			for b.Loop() {
				alone.report(b)
			}
		})
		for _, c := range besideCases {
			b.Run(fmt.Sprintf("%.0f-a-second/%s", rate, c.name), func(b *testing.B) {
				for b.Loop() {
					r := measureFleet(c.mode, rate, true, func(f *fleet) { f.profile.HarmPermille = c.harm })
					if c.mode == direct {
						left = r.batch.tokens
					}
					r.report(b)
					b.ReportMetric(milliseconds(r.first, 0.99)/milliseconds(alone.first, 0.99), "first-p99-of-alone")
					b.ReportMetric(milliseconds(r.gaps, 0.99)/milliseconds(alone.gaps, 0.99), "gap-p99-of-alone")
					b.ReportMetric(float64(r.batch.tokens)/float64(left), "batch-of-left")
					b.ReportMetric(float64(r.batch.stopped)/float64(r.batch.done), "stops-per-item")
				}
			})
		}
	}
}

// BenchmarkOverload measures the good answers at multiples of the capacity of
// nine engines, as a share of those at the capacity.
func BenchmarkOverload(b *testing.B) {
	const capacity = 225
	full := 0
	for _, times := range []float64{1, 0.5, 2, 10} {
		b.Run(fmt.Sprintf("%vx", times), func(b *testing.B) {
			for b.Loop() {
				r := measureFleet(briarcross, capacity*times, false, nil)
				if times == 1 {
					full = r.good
				}
				r.report(b)
				b.ReportMetric(float64(r.good)/float64(full), "goodput-of-capacity")
			}
		})
	}
	b.Run("straight-2x", func(b *testing.B) {
		for b.Loop() {
			r := measureFleet(direct, capacity*2, false, nil)
			r.report(b)
			b.ReportMetric(float64(r.good)/float64(full), "goodput-of-capacity")
		}
	})
}

// BenchmarkAdmission measures the time from an online arrival at an engine full
// of batch work until the engine takes it.
func BenchmarkAdmission(b *testing.B) {
	cases := map[string]func(*sidecar.Options){
		"start-at-once-pause":  func(o *sidecar.Options) {},
		"start-at-once-cancel": func(o *sidecar.Options) { o.CanPause = false },
		"wait-for-stop-pause":  func(o *sidecar.Options) { o.WaitForStop = true },
		"never-stop":           func(o *sidecar.Options) { o.DisablePreemption = true },
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f := newFleetWith(1, 1, 2, spread, cases[name])
				f.profile.HarmPermille = 1000
				f.items = batchItems(core.NewRand(2))
				for _, h := range f.hosts {
					h.pull()
				}
				f.runFor(warmUp)
				f.poisson(20, measure, onlineAsk(core.NewRand(3)))
				f.runFor(measure)
				for _, q := range []float64{0.5, 0.99} {
					b.ReportMetric(milliseconds(f.joined, q), fmt.Sprintf("admitted-p%.0f-ms", q*100))
				}
				b.ReportMetric(float64(f.batch.tokens), "batch-tokens")
			}
		})
	}
}

// BenchmarkPrefix measures the share of prompt blocks that engines find cached.
func BenchmarkPrefix(b *testing.B) {
	const prompts, blocks = 400, 4
	for _, m := range []mode{briarcross, random} {
		b.Run(map[mode]string{briarcross: "affinity", random: "random"}[m], func(b *testing.B) {
			for b.Loop() {
				f := newFleet(1, 3, 9, m)
				source := core.NewRand(2)
				ask := onlineAsk(source)
				f.runFor(100 * time.Millisecond)
				f.poisson(100, measure, func(n int) gate.Request {
					r := ask(n)
					prompt := uint64(source.IntN(prompts))
					for block := range uint64(blocks) {
						r.Prefix = append(r.Prefix, prompt*blocks+block+1)
					}
					return r
				})
				f.runFor(measure)
				found, all := 0, 0
				for _, h := range f.hosts {
					found += h.engine.found
					all += h.engine.found + h.engine.computed
				}
				b.ReportMetric(float64(found)/float64(all), "hit-ratio")
				r := f.figures(epoch.Add(warmUp), f.now)
				r.report(b)
			}
		})
	}
}
