package gate_test

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

// engine is a fake model engine with continuous batching. A step generates one
// token of each generation whose prompt is computed, and computes a bounded
// number of prompt tokens of the others. Its duration grows with both.
type engine struct {
	fleet *fleet
	host  *host
	// slowdown is a factor on the duration of steps; zero means one.
	slowdown time.Duration
	running  []*generation
	queue    []*generation
	// cache holds hashes of prompt blocks, cacheOrder the order of eviction.
	cache         map[uint64]bool
	cacheOrder    []uint64
	stepScheduled bool
	// computedBlocks and cachedBlocks count the blocks of all prompts.
	computedBlocks, cachedBlocks int
}

// generation is the engine's state of one attempt.
type generation struct {
	id sidecar.AttemptID
	// promptLeft is the number of prompt tokens still to compute.
	promptLeft      int
	maxTokens       int
	generated       int
	cancelRequested bool
	pauseRequested  bool
	online          bool
	submittedAt     time.Time
}

const (
	engineMaxRunning = 48
	// enginePrefillBudget bounds the prompt tokens computed in one step.
	enginePrefillBudget      = 512
	engineCacheBlocks        = 600
	engineStepBase           = 10 * time.Millisecond
	engineTimePerToken       = 150 * time.Microsecond
	engineTimePerPromptToken = 40 * time.Microsecond
)

func (e *engine) enqueue(w sidecar.Work, paused *generation) {
	gen := &generation{id: w.ID, promptLeft: w.PromptTokens, maxTokens: w.MaxTokens, submittedAt: e.host.submittedAt[w.ID]}
	gen.online = w.Class == sidecar.Online
	gen.promptLeft -= e.cachedPromptTokens(w)
	if paused != nil {
		gen.promptLeft, gen.generated = 1, paused.generated
	}
	e.queue = append(e.queue, gen)
	e.startStep()
}

// cachedPromptTokens returns the number of prompt tokens found in the prefix
// cache, and adds the missing blocks to it.
func (e *engine) cachedPromptTokens(w sidecar.Work) int {
	hits := 0
	for _, block := range w.PrefixHashes {
		if e.cache[block] {
			hits++
			continue
		}
		e.cache[block] = true
		e.cacheOrder = append(e.cacheOrder, block)
		if len(e.cacheOrder) > engineCacheBlocks {
			delete(e.cache, e.cacheOrder[0])
			e.cacheOrder = e.cacheOrder[1:]
		}
	}
	e.cachedBlocks += hits
	e.computedBlocks += len(w.PrefixHashes) - hits
	if len(w.PrefixHashes) == 0 {
		return 0
	}
	return w.PromptTokens * hits / (len(w.PrefixHashes) + 1)
}

func (e *engine) stop(id sidecar.AttemptID, pause bool) {
	for _, gen := range slices.Concat(e.running, e.queue) {
		if gen.id == id {
			gen.cancelRequested, gen.pauseRequested = true, pause
		}
	}
	e.startStep()
}

func (e *engine) startStep() {
	if e.stepScheduled || len(e.running)+len(e.queue) == 0 {
		return
	}
	for len(e.queue) > 0 && len(e.running) < engineMaxRunning {
		gen := e.queue[0]
		if gen.online {
			e.fleet.admissionDelays = append(e.fleet.admissionDelays, e.fleet.now.Sub(gen.submittedAt))
		}
		e.running = append(e.running, gen)
		e.queue = e.queue[1:]
	}
	stepTime := engineStepBase
	prefillBudget := enginePrefillBudget
	decoding := []*generation{}
	for _, gen := range e.running {
		chunk := min(gen.promptLeft, prefillBudget)
		gen.promptLeft -= chunk
		prefillBudget -= chunk
		stepTime += time.Duration(chunk) * engineTimePerPromptToken
		if gen.promptLeft == 0 {
			decoding = append(decoding, gen)
			stepTime += engineTimePerToken
		}
	}
	e.stepScheduled = true
	e.fleet.after(stepTime*max(e.slowdown, 1), func() { e.finishStep(decoding) })
}

func (e *engine) finishStep(decoding []*generation) {
	if e.host.engine != e {
		return
	}
	for _, gen := range slices.Concat(e.running, e.queue) {
		if gen.cancelRequested {
			e.remove(gen)
			e.host.generationEnded(gen, pb.Outcome_OUTCOME_UNKNOWN)
		}
	}
	for _, gen := range decoding {
		if gen.cancelRequested {
			continue
		}
		gen.generated++
		e.host.tokenGenerated(gen)
		if gen.generated >= gen.maxTokens {
			e.remove(gen)
			e.host.generationEnded(gen, pb.Outcome_OUTCOME_DONE)
		}
	}
	e.stepScheduled = false
	e.startStep()
}

func (e *engine) remove(gen *generation) {
	e.running = slices.DeleteFunc(e.running, func(o *generation) bool { return o == gen })
	e.queue = slices.DeleteFunc(e.queue, func(o *generation) bool { return o == gen })
}
