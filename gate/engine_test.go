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
	fleet   *fleet
	host    *host
	slow    time.Duration
	streams []*stream
	queue   []*stream
	cached  map[uint64]bool
	order   []uint64
	stepped bool
	// computed and found count prompt blocks.
	computed, found int
}

type stream struct {
	id     sidecar.AttemptID
	prompt int
	tokens int
	sent   int
	cancel bool
	pause  bool
	online bool
	asked  time.Time
}

const (
	engineSlots     = 48
	engineChunk     = 512
	engineCache     = 600
	engineBase      = 10 * time.Millisecond
	enginePerStream = 150 * time.Microsecond
	enginePerPrompt = 40 * time.Microsecond
)

func (e *engine) start(w sidecar.Work, resume *stream) {
	s := &stream{id: w.ID, prompt: w.PromptTokens, tokens: w.MaxTokens, asked: e.host.asked[w.ID]}
	s.online = w.Class == sidecar.Online
	s.prompt -= e.lookup(w)
	if resume != nil {
		s.prompt, s.sent = 1, resume.sent
	}
	e.queue = append(e.queue, s)
	e.run()
}

// lookup returns the prompt tokens that the prefix cache holds.
func (e *engine) lookup(w sidecar.Work) int {
	found := 0
	for _, block := range w.PrefixHashes {
		if e.cached[block] {
			found++
			continue
		}
		e.cached[block] = true
		e.order = append(e.order, block)
		if len(e.order) > engineCache {
			delete(e.cached, e.order[0])
			e.order = e.order[1:]
		}
	}
	e.found += found
	e.computed += len(w.PrefixHashes) - found
	if len(w.PrefixHashes) == 0 {
		return 0
	}
	return w.PromptTokens * found / (len(w.PrefixHashes) + 1)
}

func (e *engine) stop(id sidecar.AttemptID, pause bool) {
	for _, s := range slices.Concat(e.streams, e.queue) {
		if s.id == id {
			s.cancel, s.pause = true, pause
		}
	}
	e.run()
}

func (e *engine) run() {
	if e.stepped || len(e.streams)+len(e.queue) == 0 {
		return
	}
	for len(e.queue) > 0 && len(e.streams) < engineSlots {
		s := e.queue[0]
		if s.online {
			e.fleet.joined = append(e.fleet.joined, e.fleet.now.Sub(s.asked))
		}
		e.streams = append(e.streams, s)
		e.queue = e.queue[1:]
	}
	took := engineBase
	budget := engineChunk
	producing := []*stream{}
	for _, s := range e.streams {
		part := min(s.prompt, budget)
		s.prompt -= part
		budget -= part
		took += time.Duration(part) * enginePerPrompt
		if s.prompt == 0 {
			producing = append(producing, s)
			took += enginePerStream
		}
	}
	e.stepped = true
	e.fleet.after(took*max(e.slow, 1), func() { e.finish(producing) })
}

func (e *engine) finish(producing []*stream) {
	if e.host.engine != e {
		return
	}
	for _, s := range slices.Concat(e.streams, e.queue) {
		if s.cancel {
			e.drop(s)
			e.host.ended(s, pb.Outcome_OUTCOME_UNKNOWN)
		}
	}
	for _, s := range producing {
		if s.cancel {
			continue
		}
		s.sent++
		e.host.token(s)
		if s.sent >= s.tokens {
			e.drop(s)
			e.host.ended(s, pb.Outcome_OUTCOME_DONE)
		}
	}
	e.stepped = false
	e.run()
}

func (e *engine) drop(s *stream) {
	e.streams = slices.DeleteFunc(e.streams, func(o *stream) bool { return o == s })
	e.queue = slices.DeleteFunc(e.queue, func(o *stream) bool { return o == s })
}
