package gate_test

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

// engine is a small fake of a model engine that batches continuously. A step
// computes one token of each stream that is past its prompt and a bounded part
// of the prompts, and takes longer the more it computes.
type engine struct {
	fleet         *fleet
	host          *host
	slowdown      time.Duration
	running       []*generation
	queue         []*generation
	cache         map[uint64]bool
	cacheOrder    []uint64
	stepScheduled bool
	// computedBlocks and cachedBlocks count prompt blocks.
	computedBlocks, cachedBlocks int
}

type generation struct {
	id              sidecar.ID
	promptLeft      int
	maxTokens       int
	generated       int
	cancelRequested bool
	pauseRequested  bool
	online          bool
	submittedAt     time.Time
}

const (
	engineMaxRunning         = 48
	enginePrefillBudget      = 512
	engineCacheBlocks        = 600
	engineStepBase           = 10 * time.Millisecond
	engineTimePerToken       = 150 * time.Microsecond
	engineTimePerPromptToken = 40 * time.Microsecond
)

func (e *engine) start(w sidecar.Work, resume *generation) {
	s := &generation{id: w.ID, promptLeft: w.PromptTokens, maxTokens: w.MaxTokens, submittedAt: e.host.submittedAt[w.ID]}
	s.online = w.Class == sidecar.Online
	s.promptLeft -= e.cachedPromptTokens(w)
	if resume != nil {
		s.promptLeft, s.generated = 1, resume.generated
	}
	e.queue = append(e.queue, s)
	e.startStep()
}

// cachedPromptTokens returns the prompt tokens that the prefix cache holds.
func (e *engine) cachedPromptTokens(w sidecar.Work) int {
	hits := 0
	for _, block := range w.Prefix {
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
	e.computedBlocks += len(w.Prefix) - hits
	if len(w.Prefix) == 0 {
		return 0
	}
	return w.PromptTokens * hits / (len(w.Prefix) + 1)
}

func (e *engine) stop(id sidecar.ID, pause bool) {
	for _, s := range slices.Concat(e.running, e.queue) {
		if s.id == id {
			s.cancelRequested, s.pauseRequested = true, pause
		}
	}
	e.startStep()
}

func (e *engine) startStep() {
	if e.stepScheduled || len(e.running)+len(e.queue) == 0 {
		return
	}
	for len(e.queue) > 0 && len(e.running) < engineMaxRunning {
		s := e.queue[0]
		if s.online {
			e.fleet.admissionDelays = append(e.fleet.admissionDelays, e.fleet.now.Sub(s.submittedAt))
		}
		e.running = append(e.running, s)
		e.queue = e.queue[1:]
	}
	stepTime := engineStepBase
	prefillBudget := enginePrefillBudget
	decoding := []*generation{}
	for _, s := range e.running {
		chunk := min(s.promptLeft, prefillBudget)
		s.promptLeft -= chunk
		prefillBudget -= chunk
		stepTime += time.Duration(chunk) * engineTimePerPromptToken
		if s.promptLeft == 0 {
			decoding = append(decoding, s)
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
	for _, s := range slices.Concat(e.running, e.queue) {
		if s.cancelRequested {
			e.remove(s)
			e.host.generationEnded(s, pb.Outcome_OUTCOME_UNKNOWN)
		}
	}
	for _, s := range decoding {
		if s.cancelRequested {
			continue
		}
		s.generated++
		e.host.tokenGenerated(s)
		if s.generated >= s.maxTokens {
			e.remove(s)
			e.host.generationEnded(s, pb.Outcome_OUTCOME_DONE)
		}
	}
	e.stepScheduled = false
	e.startStep()
}

func (e *engine) remove(s *generation) {
	e.running = slices.DeleteFunc(e.running, func(o *generation) bool { return o == s })
	e.queue = slices.DeleteFunc(e.queue, func(o *generation) bool { return o == s })
}
