package routing

import (
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Kind tells what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Mutating requests run at most once.
	Mutating Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming answers are sequences of events. A stream runs at most once
	// unless its route is resumable.
	Streaming
	// Bulk routes take batch jobs.
	Bulk
)

// Split is the share of a route's requests that a service gets.
type Split struct {
	Service string
	Weight  int
}

// Route is a treatment for the requests of one host and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Splits     []Split
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream,
	// within which it counts as on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events that is still on time.
	EventGapObjective time.Duration
	// Priority ranks routes; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request may reach.
	MaxAttempts int
	// Resumable streams may go on at another upstream after any event.
	Resumable bool
	// JobDueAfter is the time after its submission at which a job is due.
	JobDueAfter time.Duration
	// AbandonItemsAfter is the time after its submission at which an item may be given up.
	AbandonItemsAfter time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService picks a service by a random number, in proportion to the weights.
func (r *Route) PickService(random uint64) string {
	totalWeight := 0
	for _, s := range r.Splits {
		totalWeight += s.Weight
	}
	remaining := int(random % uint64(totalWeight))
	for _, s := range r.Splits {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return ""
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name string
	// MaxConnections bounds the connections that one upstream accepts from all
	// daemons.
	MaxConnections int
	// Slots is the number of requests that one upstream runs at a time.
	Slots int
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits

	byHost map[string][]*Route
}

// Build checks the table and makes it ready for lookups.
func (t *Table) Build() error {
	serviceNames := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		serviceNames[s.Name] = true
	}
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		if err := t.addRoute(&t.Routes[i], serviceNames); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) addRoute(r *Route, serviceNames map[string]bool) error {
	if r.Timeout <= 0 {
		return eris.Errorf("route %s has no timeout", r.Name)
	}
	if err := r.validateSplits(serviceNames); err != nil {
		return err
	}
	host := normalizeHost(r.Host)
	for _, other := range t.byHost[host] {
		if other.PathPrefix == r.PathPrefix {
			return eris.Errorf("routes %s and %s have the same host and prefix", other.Name, r.Name)
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

func (r *Route) validateSplits(serviceNames map[string]bool) error {
	totalWeight := 0
	for _, s := range r.Splits {
		if !serviceNames[s.Service] {
			return eris.Errorf("route %s names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return eris.Errorf("route %s has a negative weight", r.Name)
		}
		totalWeight += s.Weight
	}
	if totalWeight == 0 {
		return eris.Errorf("the weights of route %s add up to 0", r.Name)
	}
	return nil
}

// Match returns the route of a host with the longest prefix of a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	var longest *Route
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (longest == nil || len(r.PathPrefix) > len(longest.PathPrefix)) {
			longest = r
		}
	}
	return longest, longest != nil
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// normalizeHost drops a port and the case of a host name.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
