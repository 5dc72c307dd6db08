package orders

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/outcome"
	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

const (
	// OutcomeRetention is the log time for which the answer to a change ID
	// is kept.
	OutcomeRetention = 24 * time.Hour
	// OutcomeLimit is the number of change IDs whose answer is kept.
	OutcomeLimit = 65_536

	// MaxTransferTime bounds the time that one load takes from the weight store.
	MaxTransferTime = 24 * time.Hour

	maxIDLength = 256
	millisecond = 1000 // in a second
)

var maxTransferMs = uint64(MaxTransferTime.Milliseconds())

const upstreamPrefix = "orders/upstream/"

var (
	bucketKey  = []byte("orders/bucket")
	outcomeLog = outcome.Log{
		Prefix:    "orders/outcome/",
		Retention: OutcomeRetention,
		Limit:     OutcomeLimit,
	}
)

// State is the replicated table of orders. It keeps nothing in memory.
type State struct{}

// Issue accepts an order at a log time in milliseconds of Unix time and gives
// it the next fencing number of its upstream. A refused order leaves nothing
// behind: its change ID may be used again.
func (State) Issue(b kv.Batch, c *pb.OrderIssue, unixMs uint64) *pb.OrderResult {
	if reason := check(c); reason != "" {
		return &pb.OrderResult{Reason: reason}
	}
	digest := outcome.DigestOf(identity(c))
	first := &pb.OrderResult{}
	switch outcomeLog.Get(b, c.GetChangeId(), digest, first) {
	case outcome.Found:
		return first
	case outcome.Reused:
		return &pb.OrderResult{Reason: "the change ID belongs to another order"}
	case outcome.Absent:
	}
	result := issue(b, c, unixMs)
	if result.GetAccepted() {
		outcomeLog.Put(b, c.GetChangeId(), digest, result, unixMs)
	}
	return result
}

// identity returns the part of an order that a resend repeats. The rate of
// the weight store may differ when another leader proposes the resend.
func identity(c *pb.OrderIssue) *pb.Order {
	o := proto.CloneOf(c.GetOrder())
	o.FencingNumber = 0
	o.IssuedUnixMs = 0
	return o
}

func check(c *pb.OrderIssue) string {
	if c.GetChangeId() == "" || len(c.GetChangeId()) > maxIDLength {
		return fmt.Sprintf("a change ID of 1 to %d bytes is required", maxIDLength)
	}
	o := c.GetOrder()
	if o.GetUpstream() == "" || len(o.GetUpstream()) > maxIDLength {
		return fmt.Sprintf("an upstream of 1 to %d bytes is required", maxIDLength)
	}
	if o.GetSubject() == "" {
		return "a model, adapter or role is required"
	}
	if _, known := pb.OrderKind_name[int32(o.GetKind())]; !known || o.GetKind() == pb.OrderKind_ORDER_UNSPECIFIED {
		return "the kind of the order is unknown"
	}
	if transferMs(o.GetWeightBytes(), c.GetWeightBytesPerSecond()) > maxTransferMs {
		return fmt.Sprintf("the load takes longer than %s", MaxTransferTime)
	}
	return ""
}

func issue(b kv.Batch, c *pb.OrderIssue, unixMs uint64) *pb.OrderResult {
	upstream := c.GetOrder().GetUpstream()
	held := &pb.OrderRecord{}
	record.Get(b, upstreamKey(upstream), held)
	if outstanding := held.GetOutstanding(); outstanding != nil {
		return &pb.OrderResult{
			Reason: fmt.Sprintf("order %d is outstanding", outstanding.GetFencingNumber()),
			Order:  outstanding,
		}
	}
	if waitMs := takeWeight(b, c, unixMs); waitMs > 0 {
		return &pb.OrderResult{Reason: "the weight store has no room", RetryAfterMs: waitMs}
	}
	held.FencingNumber++
	held.Outstanding = identity(c)
	held.Outstanding.FencingNumber = held.FencingNumber
	held.Outstanding.IssuedUnixMs = unixMs
	record.Set(b, upstreamKey(upstream), held)
	return &pb.OrderResult{Accepted: true, Order: held.Outstanding}
}

// takeWeight takes a load from the token bucket. It returns zero, or the
// milliseconds until the bucket has room.
func takeWeight(b kv.Batch, c *pb.OrderIssue, unixMs uint64) uint64 {
	rate := c.GetWeightBytesPerSecond()
	weight := c.GetOrder().GetWeightBytes()
	if rate == 0 || weight == 0 {
		return 0
	}
	bucket := &pb.WeightBucket{}
	record.Get(b, bucketKey, bucket)
	burstMs := min(transferMs(c.GetWeightBurstBytes(), rate), maxTransferMs)
	if bucket.GetFreeUnixMs() > unixMs+burstMs {
		return bucket.GetFreeUnixMs() - unixMs - burstMs
	}
	bucket.FreeUnixMs = max(bucket.GetFreeUnixMs(), unixMs) + transferMs(weight, rate)
	record.Set(b, bucketKey, bucket)
	return 0
}

// transferMs returns the time that bytes take at a rate in bytes a second, as
// far as it can be represented. A rate of zero has no limit.
func transferMs(bytes, rate uint64) uint64 {
	high, low := bits.Mul64(bytes, millisecond)
	if rate == 0 {
		return 0
	}
	if high >= rate {
		return math.MaxUint64
	}
	ms, _ := bits.Div64(high, low, rate)
	return ms
}

// Finish ends the outstanding order of an upstream. A repeated finish of the
// last order is accepted again and changes nothing.
func (State) Finish(b kv.Batch, c *pb.OrderFinish) *pb.OrderResult {
	held := &pb.OrderRecord{}
	if !record.Get(b, upstreamKey(c.GetUpstream()), held) {
		return &pb.OrderResult{Reason: "the upstream has no order"}
	}
	if held.GetOutstanding().GetFencingNumber() == c.GetFencingNumber() && c.GetFencingNumber() != 0 {
		held.Finished = held.Outstanding
		held.Outstanding = nil
		held.FinishedDone = c.GetDone()
		held.FinishedReason = c.GetReason()
		record.Set(b, upstreamKey(c.GetUpstream()), held)
		return &pb.OrderResult{Accepted: true, Order: held.Finished}
	}
	if held.GetFinished().GetFencingNumber() == c.GetFencingNumber() && c.GetFencingNumber() != 0 {
		return &pb.OrderResult{Accepted: true, Order: held.Finished}
	}
	return &pb.OrderResult{
		Reason: fmt.Sprintf("order %d is not outstanding", c.GetFencingNumber()),
		Order:  held.GetOutstanding(),
	}
}

// Query returns the orders of an upstream.
func (State) Query(r kv.Reader, q *pb.OrderQuery) *pb.OrderAnswer {
	held := &pb.OrderRecord{}
	record.Get(r, upstreamKey(q.GetUpstream()), held)
	return &pb.OrderAnswer{
		FencingNumber:  held.GetFencingNumber(),
		Outstanding:    held.GetOutstanding(),
		Finished:       held.GetFinished(),
		FinishedDone:   held.GetFinishedDone(),
		FinishedReason: held.GetFinishedReason(),
	}
}

func upstreamKey(upstream string) []byte {
	return []byte(upstreamPrefix + upstream)
}
