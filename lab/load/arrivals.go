package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarcross/briarcross/core"
)

// Arrival is one planned request or job.
type Arrival struct {
	// Offset is the planned time since the start of the run.
	Offset     time.Duration
	ClassIndex int
	// Number is unique within the run.
	Number int
	Prompt string
}

// Arrivals returns all arrivals of a plan, ordered by time. Equal plans have
// equal arrivals.
func (p *Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for i := range p.Classes {
		arrivals = append(arrivals, p.classArrivals(i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return int(a.Offset - b.Offset)
	})
	for i := range arrivals {
		arrivals[i].Number = i
	}
	return arrivals
}

func (p *Plan) classArrivals(classIndex int) []Arrival {
	class := &p.Classes[classIndex]
	random := core.NewRand(p.Seed + uint64(classIndex)<<32)
	var arrivals []Arrival
	addArrival := func(at time.Duration) {
		prompt := class.Prompt.generate(random, class.Name, len(arrivals))
		arrivals = append(arrivals, Arrival{Offset: at, ClassIndex: classIndex, Prompt: prompt})
	}
	if class.Rate > 0 {
		for at := interarrivalTime(random, class.Rate); at < p.Duration; at += interarrivalTime(random, class.Rate) {
			addArrival(at)
		}
	}
	if class.Burst.Size > 0 {
		for at := class.Burst.Every; at < p.Duration; at += class.Burst.Every {
			for range class.Burst.Size {
				addArrival(at)
			}
		}
	}
	return arrivals
}

// interarrivalTime draws the time between two arrivals of a Poisson process with
// rate arrivals per second.
func interarrivalTime(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

const promptAlphabet = "abcdefghijklmnopqrstuvwxyz     "

// generate returns a prompt: a shared prefix, the class and number, which make
// it unique, and random text up to Bytes.
func (p *Prompt) generate(random *rand.Rand, class string, number int) string {
	var prompt strings.Builder
	if p.Prefixes > 0 {
		prefixRand := core.NewRand(uint64(random.IntN(p.Prefixes)) + 1)
		fillRandom(&prompt, prefixRand, p.PrefixBytes)
	}
	prompt.WriteString(class)
	prompt.WriteByte(' ')
	prompt.WriteString(strconv.Itoa(number))
	prompt.WriteByte(' ')
	fillRandom(&prompt, random, p.Bytes)
	return prompt.String()
}

func fillRandom(text *strings.Builder, random *rand.Rand, length int) {
	for text.Len() < length {
		text.WriteByte(promptAlphabet[random.IntN(len(promptAlphabet))])
	}
}
