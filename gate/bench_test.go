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

// onlineRequests returns a generator of idempotent online requests from 20 callers.
func onlineRequests(random *rand.Rand) func(n int) gate.Request {
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

// callerStats is what callers saw, and the batch work done in the same time.
type callerStats struct {
	firstTokenLatencies, tokenGaps []time.Duration
	done                           int
	// withinTarget counts the completed requests whose first token met the target.
	withinTarget int
	// incomplete counts the finished requests with less than all tokens.
	incomplete int
	batch      batchTotals
}

const (
	warmUp       = 10 * time.Second
	measureTime  = 120 * time.Second
	measureSeeds = 4
)

// measureFleet runs a load with several seeds and returns the combined statistics
// after the warm-up.
func measureFleet(m mode, requestsPerSecond float64, withBatch bool, configure func(*fleet)) callerStats {
	results := make([]callerStats, measureSeeds)
	var group errgroup.Group
	group.SetLimit(3)
	for i := range results {
		group.Go(func() error {
			results[i] = measureSeed(m, uint64(i+1), requestsPerSecond, withBatch, configure)
			return nil
		})
	}
	_ = group.Wait()
	var total callerStats
	for _, r := range results {
		total.add(r)
	}
	return total
}

func (r *callerStats) add(o callerStats) {
	r.firstTokenLatencies = append(r.firstTokenLatencies, o.firstTokenLatencies...)
	r.tokenGaps = append(r.tokenGaps, o.tokenGaps...)
	r.done += o.done
	r.withinTarget += o.withinTarget
	r.incomplete += o.incomplete
	r.batch.done += o.batch.done
	r.batch.tokens += o.batch.tokens
	r.batch.stopped += o.batch.stopped
}

func measureSeed(m mode, seed uint64, requestsPerSecond float64, withBatch bool, configure func(*fleet)) callerStats {
	f := newFleet(seed, 3, 9, m)
	if configure != nil {
		configure(f)
	}
	random := core.NewRand(seed + 1000)
	if withBatch {
		f.nextBatchItem = batchItems(core.NewRand(seed + 2000))
		for _, h := range f.hosts {
			h.leaseBatchItems()
		}
	}
	if requestsPerSecond > 0 {
		f.after(10*time.Millisecond, func() { f.startPoissonLoad(requestsPerSecond, warmUp+measureTime, onlineRequests(random)) })
	}
	f.runFor(warmUp)
	before := f.batch
	f.runFor(measureTime)
	result := f.callerStats(epoch.Add(warmUp), epoch.Add(warmUp+measureTime))
	result.batch.tokens = f.batch.tokens - before.tokens
	result.batch.done = f.batch.done - before.done
	result.batch.stopped = f.batch.stopped - before.stopped
	return result
}

func (f *fleet) callerStats(from, to time.Time) callerStats {
	var stats callerStats
	for _, c := range f.calls {
		if c.arrivedAt.Before(from) {
			continue
		}
		if c.relayedTokens > 0 {
			stats.firstTokenLatencies = append(stats.firstTokenLatencies, c.firstTokenAt.Sub(c.arrivedAt))
			stats.tokenGaps = append(stats.tokenGaps, c.tokenGaps...)
		}
		if c.finishes == 0 || c.finishedAt.After(to) {
			continue
		}
		if c.relayedTokens == c.request.MaxTokens {
			stats.done++
			if c.firstTokenAt.Sub(c.arrivedAt) <= time.Duration(f.profile.FirstTokenMs)*time.Millisecond {
				stats.withinTarget++
			}
		} else {
			stats.incomplete++
		}
	}
	return stats
}

// reportQuantiles reports first-token latencies and token gaps as metrics.
func (r callerStats) reportQuantiles(b *testing.B) {
	for _, q := range []float64{0.5, 0.95, 0.99} {
		name := fmt.Sprintf("p%.0f-ms", q*100)
		b.ReportMetric(quantileMs(r.firstTokenLatencies, q), "first-"+name)
		b.ReportMetric(quantileMs(r.tokenGaps, q), "gap-"+name)
	}
}

func quantileMs(samples []time.Duration, q float64) float64 {
	return quantile(samples, q).Seconds() * 1000
}

// mixedLoadCase is a way to run batch work together with online work.
type mixedLoadCase struct {
	name         string
	mode         mode
	harmPermille uint32
}

var mixedLoadCases = []mixedLoadCase{
	{"straight", modeDirect, 50},
	{"entry-priorities", modeEntryPriority, 50},
	{"harm-20", modeBriarcross, 20},
	{"harm-50", modeBriarcross, 50},
	{"harm-100", modeBriarcross, 100},
	{"harm-100-spread", modeSpread, 100},
	{"harm-500", modeBriarcross, 500},
	{"harm-1000", modeBriarcross, 1000},
}

// BenchmarkBeside measures the batch throughput, and how much batch work raises
// online latency over that of the online load alone. batch-of-left is the batch
// throughput relative to that of modeDirect under the same online load.
func BenchmarkBeside(b *testing.B) {
	for _, rate := range []float64{20, 100} {
		onlineOnly := measureFleet(modeBriarcross, rate, false, nil)
		directBatchTokens := 0
		b.Run(fmt.Sprintf("%.0f-a-second/alone", rate), func(b *testing.B) {
			for b.Loop() {
				onlineOnly.reportQuantiles(b)
			}
		})
		for _, c := range mixedLoadCases {
			b.Run(fmt.Sprintf("%.0f-a-second/%s", rate, c.name), func(b *testing.B) {
				for b.Loop() {
					r := measureFleet(c.mode, rate, true, func(f *fleet) { f.profile.HarmPermille = c.harmPermille })
					if c.mode == modeDirect {
						directBatchTokens = r.batch.tokens
					}
					r.reportQuantiles(b)
					b.ReportMetric(quantileMs(r.firstTokenLatencies, 0.99)/quantileMs(onlineOnly.firstTokenLatencies, 0.99), "first-p99-of-alone")
					b.ReportMetric(quantileMs(r.tokenGaps, 0.99)/quantileMs(onlineOnly.tokenGaps, 0.99), "gap-p99-of-alone")
					b.ReportMetric(float64(r.batch.tokens)/float64(directBatchTokens), "batch-of-left")
					b.ReportMetric(float64(r.batch.stopped)/float64(r.batch.done), "stops-per-item")
				}
			})
		}
	}
}

// BenchmarkOverload measures the goodput at multiples of the capacity of nine
// engines, relative to the goodput at capacity. Goodput counts the requests that
// complete and meet the first-token target.
func BenchmarkOverload(b *testing.B) {
	const capacity = 225
	capacityGoodput := 0
	for _, times := range []float64{1, 0.5, 2, 10} {
		b.Run(fmt.Sprintf("%vx", times), func(b *testing.B) {
			for b.Loop() {
				r := measureFleet(modeBriarcross, capacity*times, false, nil)
				if times == 1 {
					capacityGoodput = r.withinTarget
				}
				r.reportQuantiles(b)
				b.ReportMetric(float64(r.withinTarget)/float64(capacityGoodput), "goodput-of-capacity")
			}
		})
	}
	b.Run("straight-2x", func(b *testing.B) {
		for b.Loop() {
			r := measureFleet(modeDirect, capacity*2, false, nil)
			r.reportQuantiles(b)
			b.ReportMetric(float64(r.withinTarget)/float64(capacityGoodput), "goodput-of-capacity")
		}
	})
}

// BenchmarkAdmission measures the time from the submission of online work to a
// sidecar whose engine is full of batch work until the engine runs it.
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
				f := newFleetWith(1, 1, 2, modeSpread, cases[name])
				f.profile.HarmPermille = 1000
				f.nextBatchItem = batchItems(core.NewRand(2))
				for _, h := range f.hosts {
					h.leaseBatchItems()
				}
				f.runFor(warmUp)
				f.startPoissonLoad(20, measureTime, onlineRequests(core.NewRand(3)))
				f.runFor(measureTime)
				for _, q := range []float64{0.5, 0.99} {
					b.ReportMetric(quantileMs(f.admissionDelays, q), fmt.Sprintf("admitted-p%.0f-ms", q*100))
				}
				b.ReportMetric(float64(f.batch.tokens), "batch-tokens")
			}
		})
	}
}

// BenchmarkPrefix measures the share of prompt blocks found in prefix caches.
func BenchmarkPrefix(b *testing.B) {
	const prompts, blocks = 400, 4
	for _, m := range []mode{modeBriarcross, modeRandom} {
		b.Run(map[mode]string{modeBriarcross: "affinity", modeRandom: "random"}[m], func(b *testing.B) {
			for b.Loop() {
				f := newFleet(1, 3, 9, m)
				source := core.NewRand(2)
				nextRequest := onlineRequests(source)
				f.runFor(100 * time.Millisecond)
				f.startPoissonLoad(100, measureTime, func(n int) gate.Request {
					r := nextRequest(n)
					prompt := uint64(source.IntN(prompts))
					for block := range uint64(blocks) {
						r.PrefixHashes = append(r.PrefixHashes, prompt*blocks+block+1)
					}
					return r
				})
				f.runFor(measureTime)
				hits, lookups := 0, 0
				for _, h := range f.hosts {
					hits += h.engine.cachedBlocks
					lookups += h.engine.cachedBlocks + h.engine.computedBlocks
				}
				b.ReportMetric(float64(hits)/float64(lookups), "hit-ratio")
				r := f.callerStats(epoch.Add(warmUp), f.now)
				r.reportQuantiles(b)
			}
		})
	}
}
