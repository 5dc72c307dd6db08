package controlnode

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// requestRouting records a request for a routing transfer, which may be nil, and triggers an
// update.
func (s *subscriber) requestRouting(request *pb.RoutingRequest) {
	if request == nil {
		return
	}
	s.mu.Lock()
	s.routingRequest = request
	s.mu.Unlock()
	s.requestUpdate()
}

func (s *subscriber) takeRoutingRequest() *pb.RoutingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.routingRequest
	s.routingRequest = nil
	return request
}

// addRouting adds what brings the subscriber to the latest routing table: small changes, an offer
// of all others, or the next part of what it has requested. Control replicas have the table from
// their log.
func (n *Node) addRouting(now time.Time, s *subscriber, update *pb.FleetUpdate) {
	latest := n.routing.current()
	if latest == nil || s.self.GetRole() == node.RoleControl || !s.mayHaveRouting() {
		return
	}
	if request := s.takeRoutingRequest(); request != nil && latest.version > request.GetBaseVersion() {
		s.transfer = latest.transferFrom(request.GetBaseVersion())
		s.nextPart = s.transfer.partAt(request.GetDigest(), request.GetOffset())
	}
	if s.transfer != nil {
		update.RoutingPart = n.takePart(now, s)
		return
	}
	if latest.version <= s.knownRoutingVersion() {
		return
	}
	if delay := n.routingDelay(now, s); delay > 0 {
		time.AfterFunc(delay, s.requestUpdate)
		return
	}
	update.RoutingLagMs = n.routingLagMs(now, s)
	changes, found := latest.since(s.knownRoutingVersion())
	switch {
	case !s.routingChanges:
		update.RoutingVersion, update.RoutingDocument = latest.version, latest.document
		n.metrics.routingBytes.WithLabelValues("document").Add(float64(len(latest.document)))
	case found && proto.Size(changes) <= maxPushedBytes:
		update.RoutingChanges = changes
		n.metrics.routingBytes.WithLabelValues("change").Add(float64(proto.Size(changes)))
	default:
		update.RoutingOffer = latest.version
		return
	}
	s.setRoutingVersion(latest.version)
}

// takePart returns the next part of the transfer to a subscriber. Updates go on between the
// parts.
func (n *Node) takePart(now time.Time, s *subscriber) *pb.RoutingPart {
	part := s.transfer.part(s.nextPart, n.routingLagMs(now, s))
	n.metrics.routingBytes.WithLabelValues("part").Add(float64(len(part.GetCompressed())))
	s.nextPart++
	if s.nextPart == len(s.transfer.parts) {
		// The subscriber says so if it has put the parts together.
		s.transfer = nil
	}
	s.requestUpdate()
	return part
}

// routingLagMs returns for how long the subscriber has lacked a routing table of this replica.
// A daemon without a table has just started.
func (n *Node) routingLagMs(now time.Time, s *subscriber) uint32 {
	known := s.knownRoutingVersion()
	if known == 0 {
		return 0
	}
	return uint32(n.routingHistory.lag(known, now).Milliseconds())
}
