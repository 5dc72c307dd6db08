package labengine

import "time"

// CostModel is the model of step times. A step decodes one token of each running
// sequence and prefills up to PrefillChunk prompt tokens.
type CostModel struct {
	// Base is the time of an empty step.
	Base time.Duration
	// PerSequence is added for each sequence that decodes.
	PerSequence time.Duration
	// PerThousandKVTokens is added for each thousand tokens of running KV state.
	PerThousandKVTokens time.Duration
	// PerPrefillToken is added for each prompt token that is not cached.
	PerPrefillToken time.Duration
	// PrefillChunk is the largest number of prompt tokens in one step.
	PrefillChunk int
}

// DefaultCost resembles a mid-sized model on one accelerator.
func DefaultCost() CostModel {
	return CostModel{
		Base:                8 * time.Millisecond,
		PerSequence:         100 * time.Microsecond,
		PerThousandKVTokens: 10 * time.Microsecond,
		PerPrefillToken:     40 * time.Microsecond,
		PrefillChunk:        512,
	}
}

// Faults are the failures that an engine shows on demand. Probabilities are
// between 0 and 1.
type Faults struct {
	// Down closes every connection and refuses new ones until it is cleared.
	Down bool `json:"die"`
	// Stall keeps requests open without progress.
	Stall bool `json:"stall"`
	// TruncateProbability is the probability that an answer ends without its end mark.
	TruncateProbability float64 `json:"truncate"`
	// CrossedTokenProbability is the probability that a token of another request is added to
	// a stream.
	CrossedTokenProbability float64 `json:"crossed"`
	// LateTokenProbability is the probability that a token of an ended request is added to a
	// stream.
	LateTokenProbability float64 `json:"late"`
	// FailProbability is the probability that a request is answered with status 500.
	FailProbability float64 `json:"fail"`
	// SlowFactor multiplies step times. Zero means one.
	SlowFactor float64 `json:"slow_factor"`
}

// Options are the settings of an engine.
type Options struct {
	ID   string
	Seed uint64
	// Models that the engine serves; none means that it serves every model.
	Models   []string
	Adapters []string
	Version  string
	Role     string
	Cost     CostModel
	// MaxKVTokens is the memory for KV state of running sequences and the
	// prefix cache together, in tokens.
	MaxKVTokens int
	// MaxSequences bounds the sequences that run in one step.
	MaxSequences int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the age at which cache events are published.
	CacheEventLag time.Duration
	// CacheEventLossProbability is the probability that an event is never published.
	CacheEventLossProbability float64
	// ChecksFencing refuses orders with old fencing numbers.
	ChecksFencing bool
	// OrderDuration is the time that an order takes.
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
