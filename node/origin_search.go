package node

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/briarcross/briarcross/origins"
	"github.com/briarcross/briarcross/pb"
)

const (
	// originQueryTimeout limits the search for an origin at other daemons. It is far
	// below the pause that callers accept in a stream.
	originQueryTimeout = 100 * time.Millisecond
	// originQueryInterval is the interval at which a query is repeated: datagrams may
	// be lost.
	originQueryInterval = 25 * time.Millisecond
	// maxOriginWait limits the wait for a daemon in touch with control. Callers accept such a
	// pause in a stream, and an election of control takes less.
	maxOriginWait = time.Second
)

// Find returns the origin of the stream that a request began and that some services
// may run. If no daemon has a record, it is the only possible one, if other daemons in
// touch with control know of no other; the view of this daemon may be outdated. After a loss
// of everything, it waits until one of them is in touch again.
func (o *StreamOrigins) Find(ctx context.Context, requestID string, services []string) (origins.Origin, bool) {
	requestID = origins.Key(requestID)
	origin, result := o.find(ctx, requestID, services)
	for began := time.Now(); result == searchUninformed && ctx.Err() == nil && time.Since(began) < maxOriginWait; {
		sleep(ctx, originQueryInterval)
		origin, result = o.find(ctx, requestID, services)
	}
	if result == searchUninformed {
		result = searchUnknown
	}
	o.found.WithLabelValues(string(result)).Inc()
	return origin, result != searchUnknown
}

// searchResult is how the search for an origin ended.
type searchResult string

const (
	searchOwn        searchResult = "own"
	searchHome       searchResult = "home"
	searchOnlyOrigin searchResult = "only_origin"
	searchUnknown    searchResult = "unknown"
	// searchUninformed means that there may be only one origin, but that no daemon in reach
	// is in touch with control.
	searchUninformed searchResult = "uninformed"
)

func (o *StreamOrigins) find(ctx context.Context, requestID string, services []string) (origin origins.Origin, result searchResult) {
	o.mu.Lock()
	origin, known := o.table.Find(time.Now(), requestID)
	o.mu.Unlock()
	if known && o.isAmbiguous(origin) {
		return origins.Origin{}, searchUnknown
	}
	if known {
		return origin, searchOwn
	}
	possible := o.possibleOrigins(services)
	if requestID == "" && len(possible) != 1 {
		return origins.Origin{}, searchUnknown
	}
	answers, uninformed := 0, 0
	for reply := range o.ask(ctx, requestID, services) {
		switch {
		case reply.known && o.isAmbiguous(reply.origin):
			return origins.Origin{}, searchUnknown
		case reply.known:
			return reply.origin, searchHome
		case reply.uninformed:
			uninformed++
			continue
		}
		answers++
		if !slices.Equal(reply.possible, possible) {
			possible = nil
		}
	}
	switch {
	case len(possible) != 1:
		return origins.Origin{}, searchUnknown
	case answers > 0 || o.view.Current(time.Now()):
		return possible[0], searchOnlyOrigin
	case uninformed > 0:
		return origins.Origin{}, searchUninformed
	}
	return origins.Origin{}, searchUnknown
}

// ask queries the homes of an origin and yields one reply of each, until all have
// replied or originQueryTimeout has passed.
func (o *StreamOrigins) ask(ctx context.Context, requestID string, services []string) iter.Seq[originReply] {
	return func(yield func(originReply) bool) {
		remaining := o.homes(requestID)
		if len(remaining) == 0 {
			return
		}
		number, replies := o.openQuery(requestID)
		defer o.closeQuery(number)
		ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
		defer cancel()
		repeat := time.NewTicker(originQueryInterval)
		defer repeat.Stop()
		query := &pb.StreamOriginQuery{RequestId: requestID, Query: number, Services: services}
		o.sendAll("query", remaining, &pb.Envelope{Body: &pb.Envelope_StreamOriginQuery{StreamOriginQuery: query}})
		for len(remaining) > 0 {
			select {
			case reply := <-replies:
				i := slices.Index(remaining, reply.from)
				if i < 0 {
					continue
				}
				remaining = slices.Delete(remaining, i, i+1)
				if !yield(reply) {
					return
				}
			case <-repeat.C:
				o.sendAll("query", remaining, &pb.Envelope{Body: &pb.Envelope_StreamOriginQuery{StreamOriginQuery: query}})
			case <-ctx.Done():
				return
			}
		}
	}
}

// originQuery is a search in progress.
type originQuery struct {
	requestID string
	replies   chan originReply
}

// originReply is the reply of one home to a query.
type originReply struct {
	from   string
	origin origins.Origin
	known  bool
	// possible lists where the stream may have begun, if that is not known. It says nothing
	// if uninformed is set: the home is not in touch with control.
	possible   []origins.Origin
	uninformed bool
}

// maxReplies bounds the replies to one query that wait to be read; each home may
// reply to each repetition.
const maxReplies = (origins.EntryHomes + origins.StorageHomes) * int(originQueryTimeout/originQueryInterval)

func (o *StreamOrigins) openQuery(requestID string) (uint64, <-chan originReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastQuery++
	replies := make(chan originReply, maxReplies)
	o.queries[o.lastQuery] = originQuery{requestID, replies}
	return o.lastQuery, replies
}

func (o *StreamOrigins) closeQuery(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.queries, number)
}
