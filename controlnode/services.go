package controlnode

import (
	"sync"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/fleet"
)

// maxUnnamed bounds the upstreams of services that the routing table does not name.
const maxUnnamed = 1024

// serviceRegistry holds the services that the routing table names, and the latest heartbeats
// of upstreams of other services. A heartbeat of another writer may be among these: it must
// not take the address of an upstream that is there. It is safe for concurrent use.
type serviceRegistry struct {
	// routing returns the routing table in force, nil without one.
	routing func() *acceptedRouting
	// decode returns the names of the services in a routing document.
	decode func(document []byte) ([]string, error)

	mu sync.Mutex
	// version is that of the routing table of names. Without a table, all services are named.
	version uint64
	names   map[string]bool
	unnamed map[string]fleet.Upstream
}

func newServiceRegistry(routing func() *acceptedRouting, decode func(document []byte) ([]string, error)) *serviceRegistry {
	return &serviceRegistry{routing: routing, decode: decode, unnamed: make(map[string]fleet.Upstream)}
}

// update takes the services from the routing table in force. It returns the heartbeats that
// have waited for a service that is named now.
func (r *serviceRegistry) update() (named []fleet.Upstream, err error) {
	routing := r.routing()
	if routing == nil || routing.version <= r.tableVersion() {
		return nil, nil
	}
	names, err := r.decode(routing.document)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if routing.version <= r.version {
		return nil, nil
	}
	r.version, r.names = routing.version, make(map[string]bool)
	for _, name := range names {
		r.names[name] = true
	}
	for id, u := range r.unnamed {
		if r.names[u.Service] {
			named = append(named, u)
			delete(r.unnamed, id)
		}
	}
	return named, nil
}

func (r *serviceRegistry) tableVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// isNamed reports whether the routing table named a service when it was last looked at.
func (r *serviceRegistry) isNamed(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version > 0 && r.names[service]
}

// hold reports whether the service of a heartbeat is not named, and keeps the heartbeat until
// it is.
func (r *serviceRegistry) hold(heartbeat fleet.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version == 0 || r.names[heartbeat.Service] {
		return false
	}
	if _, known := r.unnamed[heartbeat.ID]; known || len(r.unnamed) < maxUnnamed {
		r.unnamed[heartbeat.ID] = heartbeat
	}
	return true
}

// forget drops the heartbeat of an upstream that has left.
func (r *serviceRegistry) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unnamed, id)
}

// updateServices applies the heartbeats that have waited for a service of the routing table.
func (n *Node) updateServices() {
	named, err := n.services.update()
	if err != nil {
		n.logger.Error(eventlog.RoutingRejected, "error", err)
		return
	}
	n.upstreamLock.Lock()
	current := n.upstreams.Current(named)
	n.upstreamLock.Unlock()
	for _, heartbeat := range current {
		n.recordHeartbeat(heartbeat)
	}
}
