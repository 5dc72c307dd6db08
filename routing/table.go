package routing

import (
	"encoding/binary"
	"net"
	"slices"
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/customers"
)

// Kind is the type of the requests on a route, which decides whether they may run
// more than once.
type Kind int

// The kinds of routes.
const (
	// Mutating requests run at most once.
	Mutating Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests get a stream of events as their response. They run at most
	// once unless the route is resumable.
	Streaming
	// Bulk routes accept batch jobs.
	Bulk
)

// Split assigns a share of a route's requests to a service, in proportion to its
// weight.
type Split struct {
	Service string
	Weight  int
}

// Route sets how the requests of one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Splits     []Split
	// Timeout limits the time until the complete response.
	Timeout time.Duration
	// LatencyObjective is the time within which the response, or the first event of
	// a stream, counts as on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest time between two events of a stream that
	// counts as on time.
	EventGapObjective time.Duration
	// Priority ranks the requests of routes; zero is the most urgent.
	Priority int
	// MaxAttempts limits the upstreams that one request may reach; zero counts as one.
	MaxAttempts int
	// Resumable means that a stream may continue at another upstream after any event.
	Resumable bool
	// JobDueAfter is the time from the submission of a batch job until it is due.
	JobDueAfter time.Duration
	// Public routes serve requests without a key of a customer.
	Public bool
	// HedgeShare limits the hedged requests of the route, as a share of all its
	// requests, from 0 to 1.
	HedgeShare float64
	// AbandonItemsAfter is the time from the submission of a batch job until its
	// unfinished items may be abandoned.
	AbandonItemsAfter time.Duration
	// Digest identifies the text of the route in sums of digests.
	Digest uint64
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Services lists the services to which the route leads.
func (r *Route) Services() []string {
	var services []string
	for _, s := range r.Splits {
		if s.Weight > 0 && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return services
}

// PickAmong maps a random number to one of the services that are allowed, in proportion to
// the weights. It returns false if none is.
func (r *Route) PickAmong(random uint64, allowed func(service string) bool) (service string, found bool) {
	totalWeight := 0
	for _, s := range r.Splits {
		if s.Weight > 0 && allowed(s.Service) {
			totalWeight += s.Weight
		}
	}
	if totalWeight == 0 {
		return "", false
	}
	remaining := int(random % uint64(totalWeight))
	for _, s := range r.Splits {
		if s.Weight == 0 || !allowed(s.Service) {
			continue
		}
		if remaining < s.Weight {
			return s.Service, true
		}
		remaining -= s.Weight
	}
	return "", false
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from
	// all daemons together.
	MaxConnections int
	// Slots is the number of requests that one upstream runs concurrently.
	Slots int
	// TokenCapacity is the number of tokens that one upstream holds in its memory; zero if
	// unknown.
	TokenCapacity int
}

// Limits restricts what a caller may send, in bytes and time. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the routing table. It is not changed once Build has returned: Apply
// derives the next version, which shares all that has not changed.
type Table struct {
	Version  uint64
	Services []Service
	Limits   Limits
	// Customers is nil in a deployment without customers.
	Customers *customers.Registry
	// HedgeShare is that of routes that set none.
	HedgeShare float64
	// SettingsDigest identifies all of the document but its routes and customers.
	SettingsDigest uint64
	// Routes lists the routes that Build adds, and is nil afterwards: see Match and EachRoute.
	Routes []Route

	// byPlace holds the routes by the key of their place.
	byPlace *iradix.Tree[*Route]
	// routesDigest is the sum of the digests of the routes.
	routesDigest uint64
}

// Place is where a route applies: a host, and the prefix of a path. A table has at most one
// route of a place.
type Place struct {
	Host       string
	PathPrefix string
}

// Place returns the place of the route.
func (r *Route) Place() Place { return Place{r.Host, r.PathPrefix} }

// key returns a key that is a prefix of another one if the hosts are the same and the path
// prefix is a prefix of the other: hosts of different lengths differ in the first bytes.
func (p Place) key() []byte {
	host := normalizeHost(p.Host)
	key := make([]byte, 0, 4+len(host)+len(p.PathPrefix))
	key = binary.BigEndian.AppendUint32(key, uint32(len(host)))
	return append(append(key, host...), p.PathPrefix...)
}

// Build validates the table and prepares it for Match.
func (t *Table) Build() error {
	txn := iradix.New[*Route]().Txn()
	serviceNames := t.serviceNames()
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(serviceNames); err != nil {
			return err
		}
		if other, exists := txn.Insert(r.Place().key(), r); exists {
			return eris.Errorf("routes %s and %s have the same host and prefix", other.Name, r.Name)
		}
		t.routesDigest += r.Digest
	}
	t.Routes, t.byPlace = nil, txn.Commit()
	return nil
}

func (t *Table) serviceNames() map[string]bool {
	names := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		names[s.Name] = true
	}
	return names
}

func (r *Route) validate(serviceNames map[string]bool) error {
	if r.Timeout <= 0 {
		return eris.Errorf("route %s has no timeout", r.Name)
	}
	return r.validateSplits(serviceNames)
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	if t.byPlace == nil {
		return 0
	}
	return t.byPlace.Len()
}

// EachRoute visits all routes. The visitor must not change them.
func (t *Table) EachRoute(visit func(*Route)) {
	if t.byPlace == nil {
		return
	}
	t.byPlace.Root().Walk(func(_ []byte, r *Route) bool {
		visit(r)
		return false
	})
}

// RouteAt returns the route of a place itself. Match also finds those of shorter prefixes.
func (t *Table) RouteAt(place Place) (*Route, bool) {
	if t.byPlace == nil {
		return nil, false
	}
	return t.byPlace.Get(place.key())
}

func (r *Route) validateSplits(serviceNames map[string]bool) error {
	totalWeight := 0
	for _, s := range r.Splits {
		if s.Service == "" || !serviceNames[s.Service] {
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

// Match returns the host's route with the longest path prefix that matches path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if t.byPlace == nil {
		return nil, false
	}
	_, r, found := t.byPlace.Root().LongestPrefix(Place{host, path}.key())
	return r, found
}

// PickService maps a random number to a service of a route, in proportion to the weights: one
// that has upstreams and whose upstreams hold a request with a number of tokens, as far as
// there are such services.
func (t *Table) PickService(r *Route, random uint64, tokens int, hasUpstreams func(service string) bool) string {
	if services := r.Services(); len(services) == 1 {
		return services[0]
	}
	holds := func(service string) bool { return t.holds(service, tokens) }
	service, found := r.PickAmong(random, func(service string) bool { return holds(service) && hasUpstreams(service) })
	if !found {
		service, found = r.PickAmong(random, holds)
	}
	if !found {
		service, _ = r.PickAmong(random, func(string) bool { return true })
	}
	return service
}

// ServicesThatHold lists the services of a route whose upstreams hold a request with a number
// of tokens, as far as their memory is known.
func (t *Table) ServicesThatHold(r *Route, tokens int) []string {
	return slices.DeleteFunc(r.Services(), func(service string) bool { return !t.holds(service, tokens) })
}

func (t *Table) holds(service string, tokens int) bool {
	s, known := t.Service(service)
	return !known || s.TokenCapacity == 0 || tokens <= s.TokenCapacity
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

// normalizeHost removes the port, if any, and lowers the case of a host name.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
