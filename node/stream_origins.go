package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/routing"
)

// copyInterval is the interval at which the records of streams that can have only one origin
// are copied.
const copyInterval = 250 * time.Millisecond

// maxOriginsPerDatagram keeps a datagram below the packet size of most networks.
const maxOriginsPerDatagram = 16

// StreamOrigins records where streams began, and finds it for callers that take a
// stream up. The homes of a stream that can have only one origin get its record when that
// changes; until then a storage daemon has a copy, in case this daemon cannot send it. A
// search asks the homes of the stream unless this daemon has the record.
type StreamOrigins struct {
	selfAddress string
	dataCentre  string
	view        *View
	send        func(address string, e *pb.Envelope) error
	// sent counts the datagrams by kind, found the searches by result.
	sent  *prometheus.CounterVec
	found *prometheus.CounterVec

	mu    sync.Mutex
	table *origins.Table
	// versions holds the software versions of each service when VersionsChanged was
	// called last.
	versions map[string][]string
	// related holds, for each service, the services that led with it to streams of one
	// route before or after a change of that route, and until when these may be taken up.
	related map[string]map[string]time.Time
	// entries and storage hold the addresses of all daemons of a role at a
	// DaemonsVersion of the view.
	entries          []string
	storage          []string
	addressesVersion uint64
	// queries holds the searches in progress by the number of their query.
	queries map[uint64]originQuery
	// uncopied holds the records that are copied at the end of copyInterval.
	uncopied  []origins.Record
	lastQuery uint64
	// sending counts the tasks that send records.
	sending sync.WaitGroup
}

func newStreamOrigins(selfAddress, dataCentre string, view *View, send func(address string, e *pb.Envelope) error) *StreamOrigins {
	return &StreamOrigins{
		selfAddress: selfAddress, dataCentre: dataCentre, view: view, send: send,
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_stream_origin_datagrams_total", Help: "Datagrams about the origins of streams, by kind: record, copy, query, reply, failed.",
		}, []string{"kind"}),
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "briarcross_stream_origin_searches_total", Help: "Streams that callers took up, by how their origin was found: own, home, only_origin, unknown.",
		}, []string{"result"}),
		table:   origins.NewTable(),
		related: make(map[string]map[string]time.Time),
		queries: make(map[uint64]originQuery),
		// Replies to queries of an earlier incarnation may arrive.
		lastQuery: rand.Uint64(),
	}
}

// Record records the origin of a stream that may be run by some services. It must be
// called before the caller gets the first event.
func (o *StreamOrigins) Record(requestID string, origin origins.Origin, services []string) {
	record := origins.Record{RequestID: origins.Key(requestID), Origin: origin}
	o.mu.Lock()
	o.table.Add(time.Now(), record)
	o.mu.Unlock()
	if len(o.possibleOrigins(services)) != 1 {
		o.sendRecords("record", o.homes(record.RequestID), []origins.Record{record})
		return
	}
	o.copyLater(record)
}

// copyLater copies a record to a storage daemon at the end of copyInterval.
func (o *StreamOrigins) copyLater(record origins.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.uncopied = append(o.uncopied, record)
	if len(o.uncopied) == 1 {
		time.AfterFunc(copyInterval, o.sendCopies)
	}
}

func (o *StreamOrigins) sendCopies() {
	o.mu.Lock()
	records := o.uncopied
	o.uncopied = nil
	o.mu.Unlock()
	if keeper := o.copyKeeper(); keeper != "" {
		o.sendRecords("copy", []string{keeper}, records)
	}
}

// copyKeeper returns the address of the storage daemon that keeps the copies, in this data
// centre if there is one, or nothing without storage daemons.
func (o *StreamOrigins) copyKeeper() string {
	var local, all []string
	for _, d := range o.view.Daemons(RoleStore) {
		all = append(all, d.GetAddress())
		if d.GetDataCentre() == o.dataCentre {
			local = append(local, d.GetAddress())
		}
	}
	if len(local) > 0 {
		all = local
	}
	if keepers := origins.Homes(o.selfAddress, all, 1); len(keepers) > 0 {
		return keepers[0]
	}
	return ""
}

// possibleOrigins lists where a stream that some services may run can have begun, as
// far as this daemon knows: each service with each version of its engines, including
// services that shared a route with these lately. It is empty if no engine of one of the
// services is known.
func (o *StreamOrigins) possibleOrigins(services []string) []origins.Origin {
	var possible []origins.Origin
	for _, service := range o.withRelated(time.Now(), services) {
		versions := o.view.SoftwareVersions(service)
		if len(versions) == 0 {
			return nil
		}
		for _, version := range versions {
			possible = append(possible, origins.Origin{Service: service, SoftwareVersion: version})
		}
	}
	return possible
}

func (o *StreamOrigins) withRelated(now time.Time, services []string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := slices.Clone(services)
	for _, service := range services {
		for related, until := range o.related[service] {
			if !now.Before(until) {
				delete(o.related[service], related)
			} else if !slices.Contains(all, related) {
				all = append(all, related)
			}
		}
	}
	return all
}

// isAmbiguous reports whether an origin stands for several versions: engines that report
// no version have one version only if no engine of their service reports any.
func (o *StreamOrigins) isAmbiguous(origin origins.Origin) bool {
	return origin.SoftwareVersion == "" &&
		slices.ContainsFunc(o.view.SoftwareVersions(origin.Service), func(version string) bool { return version != "" })
}

// homes lists the other daemons that keep the origin of a stream.
func (o *StreamOrigins) homes(requestID string) []string {
	entries, storage := o.homeAddresses()
	homes := slices.Concat(origins.Homes(requestID, entries, origins.EntryHomes), origins.Homes(requestID, storage, origins.StorageHomes))
	return slices.DeleteFunc(homes, func(address string) bool { return address == o.selfAddress })
}

// homeAddresses lists the addresses of all daemons that may keep origins. The caller
// must not change them.
func (o *StreamOrigins) homeAddresses() (entries, storage []string) {
	version := o.view.DaemonsVersion()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.entries == nil || o.addressesVersion != version {
		o.addressesVersion = version
		o.entries, o.storage = addressesOf(o.view.Daemons(RoleEntry)), addressesOf(o.view.Daemons(RoleStore))
	}
	return o.entries, o.storage
}

func addressesOf(daemons []*pb.Daemon) []string {
	addresses := make([]string, 0, len(daemons))
	for _, d := range daemons {
		addresses = append(addresses, d.GetAddress())
	}
	return addresses
}

// VersionsChanged sends the records of each service that has engines of several versions
// if one of them has joined since the last call. The homes may have no record of the
// streams in progress: there may have been one version when they began.
func (o *StreamOrigins) VersionsChanged() {
	current := o.view.AllSoftwareVersions()
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, versions := range current {
		joined := slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(o.versions[service], version) })
		if joined && len(versions) > 1 {
			o.sending.Go(func() { o.sendRecordsOf(service) })
		}
	}
	o.versions = current
}

// RoutesChanged records that a routing table is about to replace another one, nil at
// first. A stream of a route whose services change may have begun at any of the former
// and the new ones, and its record is sent.
func (o *StreamOrigins) RoutesChanged(former, current *routing.Table) {
	if former == nil {
		return
	}
	moves := make(map[string][]string)
	compare := func(place routing.Place) { addMove(moves, servicesOf(former, place), servicesOf(current, place)) }
	former.EachRoute(func(r *routing.Route) {
		if next, kept := current.RouteAt(r.Place()); !kept || !slices.Equal(next.Splits, r.Splits) {
			compare(r.Place())
		}
	})
	current.EachRoute(func(r *routing.Route) {
		if _, known := former.RouteAt(r.Place()); !known {
			compare(r.Place())
		}
	})
	o.applyMoves(moves)
}

// PlacesChanged is RoutesChanged for a table that differs from the former one at some places
// only.
func (o *StreamOrigins) PlacesChanged(former, current *routing.Table, places []routing.Place) {
	moves := make(map[string][]string)
	for _, place := range places {
		addMove(moves, servicesOf(former, place), servicesOf(current, place))
	}
	o.applyMoves(moves)
}

// addMove records, for each service of a route before and after a change, all of them. A route
// that matched nothing before has no streams yet.
func addMove(moves map[string][]string, before, after []string) {
	if len(before) == 0 || slices.Equal(before, after) {
		return
	}
	all := slices.Concat(before, after)
	for _, service := range all {
		for _, other := range all {
			if !slices.Contains(moves[service], other) {
				moves[service] = append(moves[service], other)
			}
		}
	}
}

// applyMoves relates services that share streams, and sends the records of their streams.
func (o *StreamOrigins) applyMoves(moves map[string][]string) {
	until := time.Now().Add(origins.Retention)
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, others := range moves {
		o.relate(service, others, until)
		o.sending.Go(func() { o.sendRecordsOf(service) })
	}
}

// servicesOf lists the services that run the requests of a place, sorted.
func servicesOf(table *routing.Table, place routing.Place) []string {
	found, ok := table.Match(place.Host, place.PathPrefix)
	if !ok {
		return nil
	}
	return slices.Sorted(slices.Values(found.Services()))
}

// relate records services related to one. The caller must hold mu.
func (o *StreamOrigins) relate(service string, others []string, until time.Time) {
	if o.related[service] == nil {
		o.related[service] = make(map[string]time.Time)
	}
	for _, other := range others {
		if other != service {
			o.related[service][other] = until
		}
	}
}

// sendRecordsOf sends the records of a service to their homes.
func (o *StreamOrigins) sendRecordsOf(service string) {
	o.mu.Lock()
	records := o.table.OfService(time.Now(), service)
	o.mu.Unlock()
	byHome := make(map[string][]origins.Record)
	for _, record := range records {
		for _, home := range o.homes(record.RequestID) {
			byHome[home] = append(byHome[home], record)
		}
	}
	for home, records := range byHome {
		o.sendRecords("record", []string{home}, records)
	}
}

// Wait waits until the records of the changes so far are sent.
func (o *StreamOrigins) Wait() {
	o.sending.Wait()
}

func (o *StreamOrigins) sendRecords(kind string, addresses []string, records []origins.Record) {
	for part := range slices.Chunk(records, maxOriginsPerDatagram) {
		message := &pb.StreamOrigins{}
		for _, r := range part {
			message.Origins = append(message.Origins, encodeOrigin(r))
		}
		o.sendAll(kind, addresses, &pb.Envelope{Body: &pb.Envelope_StreamOrigins{StreamOrigins: message}})
	}
}

// sendAll sends a datagram to each address. A failed send is only counted: other
// homes have the record too, and queries are repeated.
func (o *StreamOrigins) sendAll(kind string, addresses []string, e *pb.Envelope) {
	for _, address := range addresses {
		o.sent.WithLabelValues(kind).Inc()
		if err := o.send(address, e); err != nil {
			o.sent.WithLabelValues("failed").Inc()
		}
	}
}

// handle handles a datagram about origins.
func (o *StreamOrigins) handle(e *pb.Envelope) {
	switch body := e.GetBody().(type) {
	case *pb.Envelope_StreamOrigins:
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, r := range body.StreamOrigins.GetOrigins() {
			o.table.Add(time.Now(), origins.Record{
				RequestID: r.GetRequestId(), Origin: origins.Origin{Service: r.GetService(), SoftwareVersion: r.GetSoftwareVersion()},
			})
		}
	case *pb.Envelope_StreamOriginQuery:
		id := body.StreamOriginQuery.GetRequestId()
		reply := &pb.StreamOriginReply{Query: body.StreamOriginQuery.GetQuery(), RequestId: id}
		o.mu.Lock()
		origin, known := o.table.Find(time.Now(), id)
		o.mu.Unlock()
		switch {
		case known:
			reply.Origin = encodeOrigin(origins.Record{RequestID: id, Origin: origin})
		case o.view.HeardCurrent(time.Now()):
			reply.Possible = encodePossible(o.possibleOrigins(body.StreamOriginQuery.GetServices()))
		default:
			reply.Uninformed = true
		}
		o.sendAll("reply", []string{e.GetHeader().GetReplyAddress()}, &pb.Envelope{Body: &pb.Envelope_StreamOriginReply{StreamOriginReply: reply}})
	case *pb.Envelope_StreamOriginReply:
		origin := body.StreamOriginReply.GetOrigin()
		reply := originReply{
			from: e.GetHeader().GetReplyAddress(), known: origin != nil, uninformed: body.StreamOriginReply.GetUninformed(),
			origin: origins.Origin{Service: origin.GetService(), SoftwareVersion: origin.GetSoftwareVersion()},
		}
		for _, p := range body.StreamOriginReply.GetPossible() {
			reply.possible = append(reply.possible, origins.Origin{Service: p.GetService(), SoftwareVersion: p.GetSoftwareVersion()})
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		query := o.queries[body.StreamOriginReply.GetQuery()]
		id := body.StreamOriginReply.GetRequestId()
		if origin != nil {
			id = origin.GetRequestId()
		}
		if id != query.requestID {
			return
		}
		select {
		case query.replies <- reply:
		default:
			// The search has ended.
		}
	}
}

func encodeOrigin(r origins.Record) *pb.StreamOrigin {
	return &pb.StreamOrigin{RequestId: r.RequestID, Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion}
}

func encodePossible(possible []origins.Origin) []*pb.ServiceVersion {
	var encoded []*pb.ServiceVersion
	// More would not change the decision.
	for _, origin := range possible[:min(maxOriginsPerDatagram, len(possible))] {
		encoded = append(encoded, &pb.ServiceVersion{Service: origin.Service, SoftwareVersion: origin.SoftwareVersion})
	}
	return encoded
}
