package labengine

import "time"

// CostModel models the duration of a step. A step decodes one token of each running
// sequence and prefills up to PrefillChunk prompt tokens.
type CostModel struct {
	// Base is the duration of a step without any work.
	Base time.Duration
	// PerSequence is added for each sequence that decodes a token.
	PerSequence time.Duration
	// PerThousandKVTokens is added for each thousand tokens in the KV state of
	// the running sequences.
	PerThousandKVTokens time.Duration
	// PerPrefillToken is added for each prompt token that is prefilled (not cached).
	PerPrefillToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in one step.
	PrefillChunk int
}

// DefaultCost approximates a mid-sized model on one accelerator.
func DefaultCost() CostModel {
	return CostModel{
		Base:                8 * time.Millisecond,
		PerSequence:         100 * time.Microsecond,
		PerThousandKVTokens: 10 * time.Microsecond,
		PerPrefillToken:     40 * time.Microsecond,
		PrefillChunk:        512,
	}
}

// Faults are the failures that an engine simulates. Probabilities are
// between 0 and 1.
type Faults struct {
	// Down closes all connections and refuses new ones until it is cleared.
	Down bool `json:"die"`
	// Stall keeps requests open but starts no further step.
	Stall bool `json:"stall"`
	// TruncateProbability is the probability that a response ends early and
	// without its end marker.
	TruncateProbability float64 `json:"truncate"`
	// CrossedTokenProbability is the probability, for each token of a stream,
	// that a token of another running request is inserted before it.
	CrossedTokenProbability float64 `json:"crossed"`
	// LateTokenProbability is the probability, for each token of a stream, that
	// a token of the request that ended last is inserted before it.
	LateTokenProbability float64 `json:"late"`
	// FailProbability is the probability that a request is refused with status
	// 500.
	FailProbability float64 `json:"fail"`
	// SlowFactor multiplies step durations. Zero means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Options configure an Engine.
type Options struct {
	ID   string
	Seed uint64
	// Models are the names of the models served; empty means all models.
	Models   []string
	Adapters []string
	Version  string
	Role     string
	Cost     CostModel
	// MaxKVTokens is the memory that the KV state of the running sequences and
	// the prefix cache share, in tokens.
	MaxKVTokens int
	// MaxSequences bounds the number of sequences in a batch.
	MaxSequences int
	// LoadLag is the delay before a load report is published.
	LoadLag time.Duration
	// CacheEventLag is the delay before a cache event is published.
	CacheEventLag time.Duration
	// CacheEventLossProbability is the probability that a cache event is never
	// published.
	CacheEventLossProbability float64
	// ChecksFencing refuses orders with a fencing number below the highest seen.
	ChecksFencing bool
	// OrderDuration is the time that the engine takes to apply an order.
	OrderDuration time.Duration
	Faults        Faults
}

// Defaults of Options.
const (
	DefaultMaxKVTokens  = 200_000
	DefaultMaxSequences = 64
)

func (o Options) withDefaults() Options {
	if o.ID == "" {
		o.ID = "engine-0"
	}
	if o.Cost == (CostModel{}) {
		o.Cost = DefaultCost()
	}
	if o.Cost.PrefillChunk <= 0 {
		o.Cost.PrefillChunk = DefaultCost().PrefillChunk
	}
	if o.MaxKVTokens <= 0 {
		o.MaxKVTokens = DefaultMaxKVTokens
	}
	if o.MaxSequences <= 0 {
		o.MaxSequences = DefaultMaxSequences
	}
	return o
}
