package load

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Plan describes a run.
type Plan struct {
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Targets are base URLs; requests take them in turn.
	Targets []string `yaml:"targets"`
	// Engines are base URLs of fake engines whose ledgers are checked.
	Engines []string `yaml:"engines"`
	// MaxInFlight bounds the online requests that run at once. Arrivals above
	// it are counted as skipped.
	MaxInFlight int     `yaml:"max_in_flight"`
	Classes     []Class `yaml:"classes"`
}

// Class is one kind of work in a plan.
type Class struct {
	Name    string `yaml:"name"`
	Kind    Kind   `yaml:"kind"`
	Service string `yaml:"service"`
	// Caller names the customer in the Briarcross-Caller header.
	Caller string `yaml:"caller"`
	// Rate is the mean number of arrivals a second.
	Rate  float64 `yaml:"rate"`
	Burst Burst   `yaml:"burst"`
	// Items is the number of items in each job of a batch class.
	Items     int    `yaml:"items"`
	Prompt    Prompt `yaml:"prompt"`
	MaxTokens int    `yaml:"max_tokens"`
	// NonIdempotent marks requests that may run once only.
	NonIdempotent bool `yaml:"non_idempotent"`
	// Timeout ends a request or the wait for a job. Zero means DefaultTimeout.
	Timeout time.Duration `yaml:"timeout"`
}

// Kind tells how a class arrives.
type Kind string

// Kinds of classes.
const (
	Online Kind = "online"
	Batch  Kind = "batch"
)

// Burst adds arrivals at the same moment.
type Burst struct {
	Every time.Duration `yaml:"every"`
	Size  int           `yaml:"size"`
}

// Prompt describes the prompts of a class.
type Prompt struct {
	// Bytes is the length of a prompt.
	Bytes int `yaml:"bytes"`
	// Prefixes is the number of different shared prefixes.
	Prefixes int `yaml:"prefixes"`
	// PrefixBytes is the length of the shared prefix.
	PrefixBytes int `yaml:"prefix_bytes"`
}

// Defaults of a plan.
const (
	DefaultMaxInFlight = 10_000
	DefaultTimeout     = time.Minute
	DefaultPromptBytes = 256
	DefaultMaxTokens   = 32
)

// ParsePlan reads a YAML plan and checks it. Unknown fields are refused.
func ParsePlan(text []byte) (*Plan, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var plan Plan
	if err := decoder.Decode(&plan); err != nil {
		return nil, eris.Wrap(err, "load: plan")
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

// Validate reports the first thing that is wrong with a plan.
func (p *Plan) Validate() error {
	if p.Duration <= 0 {
		return eris.New("load: duration must be positive")
	}
	if len(p.Targets) == 0 {
		return eris.New("load: targets is empty")
	}
	if len(p.Classes) == 0 {
		return eris.New("load: classes is empty")
	}
	for _, class := range p.Classes {
		if err := class.validate(); err != nil {
			return eris.Wrapf(err, "load: class %q", class.Name)
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
		return eris.New("rate and burst must not be negative")
	case c.Rate == 0 && c.Burst.Size == 0:
		return eris.New("rate or burst.size must be given")
	case c.Burst.Size > 0 && c.Burst.Every == 0:
		return eris.New("burst.every is missing")
	case c.Kind == Batch && c.Items <= 0:
		return eris.New("items must be positive")
	case c.Prompt.PrefixBytes > c.Prompt.Bytes:
		return eris.New("prompt.prefix_bytes exceeds prompt.bytes")
	}
	return nil
}
