package load

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Plan describes the load of a run.
type Plan struct {
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Targets are the base URLs that receive the load, round robin.
	Targets []string `yaml:"targets"`
	// Engines are the base URLs of the emulated engines whose ledgers are checked
	// after the run.
	Engines []string `yaml:"engines"`
	// MaxInFlight bounds the requests and jobs in flight. Online arrivals above
	// it are counted as skipped; jobs are never skipped.
	MaxInFlight int     `yaml:"max_in_flight"`
	Classes     []Class `yaml:"classes"`
}

// Class is a traffic class of a plan.
type Class struct {
	Name    string `yaml:"name"`
	Kind    Kind   `yaml:"kind"`
	Service string `yaml:"service"`
	// Caller is the value of the Briarcross-Caller header; empty sends none.
	Caller string `yaml:"caller"`
	// Rate is the mean number of arrivals per second.
	Rate  float64 `yaml:"rate"`
	Burst Burst   `yaml:"burst"`
	// Items is the number of items in each job of a batch class.
	Items     int    `yaml:"items"`
	Prompt    Prompt `yaml:"prompt"`
	MaxTokens int    `yaml:"max_tokens"`
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool `yaml:"non_idempotent"`
	// Timeout limits a request, or the wait for a job, from its planned arrival.
	// Zero means DefaultTimeout.
	Timeout time.Duration `yaml:"timeout"`
}

// Kind tells whether a class sends online requests or batch jobs.
type Kind string

// Kinds of classes.
const (
	Online Kind = "online"
	Batch  Kind = "batch"
)

// Burst adds Size simultaneous arrivals at each interval Every.
type Burst struct {
	Every time.Duration `yaml:"every"`
	Size  int           `yaml:"size"`
}

// Prompt describes the prompts of a class.
type Prompt struct {
	// Bytes is the minimum length of a prompt.
	Bytes int `yaml:"bytes"`
	// Prefixes is the number of distinct shared prefixes; zero means that prompts
	// share none.
	Prefixes int `yaml:"prefixes"`
	// PrefixBytes is the length of a shared prefix.
	PrefixBytes int `yaml:"prefix_bytes"`
}

// Defaults of plan fields.
const (
	DefaultMaxInFlight = 10_000
	DefaultTimeout     = time.Minute
	DefaultPromptBytes = 256
	DefaultMaxTokens   = 32
)

// ParsePlan parses and validates a YAML plan. Unknown fields are errors.
func ParsePlan(text []byte) (*Plan, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var plan Plan
	if err := decoder.Decode(&plan); err != nil {
		return nil, eris.Wrap(err, "load: decode plan")
	}
	plan.setDefaults()
	return &plan, plan.Validate()
}

func (p *Plan) setDefaults() {
	if p.MaxInFlight == 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	for i := range p.Classes {
		p.Classes[i].setDefaults()
	}
}

func (c *Class) setDefaults() {
	if c.Kind == "" {
		c.Kind = Online
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Prompt.Bytes == 0 {
		c.Prompt.Bytes = DefaultPromptBytes
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = DefaultMaxTokens
	}
}

// Validate returns an error for the first invalid field of a plan.
func (p *Plan) Validate() error {
	if p.Duration <= 0 {
		return eris.New("load: invalid plan: duration must be positive")
	}
	if len(p.Targets) == 0 {
		return eris.New("load: invalid plan: targets must not be empty")
	}
	if len(p.Classes) == 0 {
		return eris.New("load: invalid plan: classes must not be empty")
	}
	for _, class := range p.Classes {
		if err := class.validate(); err != nil {
			return eris.Wrapf(err, "load: invalid plan: class %q", class.Name)
		}
	}
	return nil
}

func (c *Class) validate() error {
	switch {
	case c.Name == "":
		return eris.New("name is missing")
	case c.Service == "":
		return eris.New("service is missing")
	case c.Kind != Online && c.Kind != Batch:
		return eris.Errorf("kind must be online or batch, not %q", c.Kind)
	case c.Rate < 0 || c.Burst.Size < 0 || c.Burst.Every < 0:
		return eris.New("rate, burst.size and burst.every must not be negative")
	case c.Rate == 0 && c.Burst.Size == 0:
		return eris.New("rate or burst.size must be positive")
	case c.Burst.Size > 0 && c.Burst.Every == 0:
		return eris.New("burst.every must be positive if burst.size is set")
	case c.Kind == Batch && c.Items <= 0:
		return eris.New("items must be positive for a batch class")
	case c.Prompt.PrefixBytes > c.Prompt.Bytes:
		return eris.New("prompt.prefix_bytes must not exceed prompt.bytes")
	}
	return nil
}
