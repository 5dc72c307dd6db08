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
	// OutcomeRetention is the log time for which the result of an accepted
	// order is kept under its change ID.
	OutcomeRetention = 24 * time.Hour
	// MaxOutcomes is the number of change IDs whose result is kept.
	MaxOutcomes = 65_536

	// MaxTransferTime limits the time that one load takes at the rate of the
	// weight store. A load that takes longer is refused.
	MaxTransferTime = 24 * time.Hour

	maxIDBytes  = 256
	msPerSecond = 1000
)

var maxTransferMs = uint64(MaxTransferTime.Milliseconds())

const upstreamPrefix = "orders/upstream/"

var (
	weightBucketKey = []byte("orders/bucket")
	outcomeLog      = outcome.Log{
		Prefix:     "orders/outcome/",
		Retention:  OutcomeRetention,
		MaxResults: MaxOutcomes,
	}
)

// State is the replicated table of orders. All its data is in the key-value
// store that its methods get.
type State struct{}

// Issue accepts an order and gives it the next fencing number of its upstream.
// unixMs is the log time, in milliseconds of Unix time. A refused order changes
// nothing, and its change ID may be used again. An accepted order that is
// proposed again gets its first result; a different order under its change ID is
// refused.
func (State) Issue(b kv.Batch, c *pb.OrderIssue, unixMs uint64) *pb.OrderResult {
	if reason := invalidReason(c); reason != "" {
		return &pb.OrderResult{Reason: reason}
	}
	digest := outcome.DigestOf(orderContent(c))
	firstResult := &pb.OrderResult{}
	switch outcomeLog.Get(b, c.GetChangeId(), digest, firstResult) {
	case outcome.Found:
		return firstResult
	case outcome.IDReused:
		return &pb.OrderResult{Reason: "the change ID belongs to another order"}
	case outcome.Absent:
	}
	result := issueOrder(b, c, unixMs)
	if result.GetAccepted() {
		outcomeLog.Put(b, c.GetChangeId(), digest, result, unixMs)
	}
	return result
}

// orderContent returns the part of an order that is the same when the order is
// proposed again. The rate of the weight store is left out, because another
// leader may propose the order again with another rate.
func orderContent(c *pb.OrderIssue) *pb.Order {
	order := proto.CloneOf(c.GetOrder())
	order.FencingNumber = 0
	order.IssuedUnixMs = 0
	return order
}

// invalidReason returns why an order is invalid, or an empty string if it is
// valid.
func invalidReason(c *pb.OrderIssue) string {
	if c.GetChangeId() == "" || len(c.GetChangeId()) > maxIDBytes {
		return fmt.Sprintf("a change ID of 1 to %d bytes is required", maxIDBytes)
	}
	order := c.GetOrder()
	if order.GetUpstream() == "" || len(order.GetUpstream()) > maxIDBytes {
		return fmt.Sprintf("an upstream of 1 to %d bytes is required", maxIDBytes)
	}
	if order.GetSubject() == "" {
		return "a model, adapter or role is required"
	}
	if _, known := pb.OrderKind_name[int32(order.GetKind())]; !known || order.GetKind() == pb.OrderKind_ORDER_UNSPECIFIED {
		return "the kind of the order is unknown"
	}
	if transferMs(order.GetWeightBytes(), c.GetWeightBytesPerSecond()) > maxTransferMs {
		return fmt.Sprintf("the load takes longer than %s", MaxTransferTime)
	}
	return ""
}

func issueOrder(b kv.Batch, c *pb.OrderIssue, unixMs uint64) *pb.OrderResult {
	upstream := c.GetOrder().GetUpstream()
	stored := &pb.OrderRecord{}
	record.Get(b, upstreamKey(upstream), stored)
	if outstanding := stored.GetOutstanding(); outstanding != nil {
		return &pb.OrderResult{
			Reason: fmt.Sprintf("order %d is outstanding", outstanding.GetFencingNumber()),
			Order:  outstanding,
		}
	}
	if waitMs := reserveTransfer(b, c, unixMs); waitMs > 0 {
		return &pb.OrderResult{Reason: "the weight store has no room", RetryAfterMs: waitMs}
	}
	stored.FencingNumber++
	stored.Outstanding = orderContent(c)
	stored.Outstanding.FencingNumber = stored.FencingNumber
	stored.Outstanding.IssuedUnixMs = unixMs
	record.Set(b, upstreamKey(upstream), stored)
	return &pb.OrderResult{Accepted: true, Order: stored.Outstanding}
}

// reserveTransfer takes the bytes of a load from the token bucket. It returns
// zero on success; otherwise it takes nothing and returns the time until the
// bucket has enough tokens, in milliseconds.
func reserveTransfer(b kv.Batch, c *pb.OrderIssue, unixMs uint64) uint64 {
	bytesPerSecond := c.GetWeightBytesPerSecond()
	weightBytes := c.GetOrder().GetWeightBytes()
	if bytesPerSecond == 0 || weightBytes == 0 {
		return 0
	}
	bucket := &pb.WeightBucket{}
	record.Get(b, weightBucketKey, bucket)
	burstMs := min(transferMs(c.GetWeightBurstBytes(), bytesPerSecond), maxTransferMs)
	if bucket.GetFreeUnixMs() > unixMs+burstMs {
		return bucket.GetFreeUnixMs() - unixMs - burstMs
	}
	bucket.FreeUnixMs = max(bucket.GetFreeUnixMs(), unixMs) + transferMs(weightBytes, bytesPerSecond)
	record.Set(b, weightBucketKey, bucket)
	return 0
}

// transferMs returns the time to transfer a number of bytes, in milliseconds,
// or the largest uint64 on overflow. A rate of zero means no limit.
func transferMs(bytes, bytesPerSecond uint64) uint64 {
	high, low := bits.Mul64(bytes, msPerSecond)
	if bytesPerSecond == 0 {
		return 0
	}
	if high >= bytesPerSecond {
		return math.MaxUint64
	}
	ms, _ := bits.Div64(high, low, bytesPerSecond)
	return ms
}

// Finish ends the outstanding order of an upstream. Finishing the order that was
// finished last is accepted again and changes nothing.
func (State) Finish(b kv.Batch, c *pb.OrderFinish) *pb.OrderResult {
	stored := &pb.OrderRecord{}
	if !record.Get(b, upstreamKey(c.GetUpstream()), stored) {
		return &pb.OrderResult{Reason: "the upstream has no order"}
	}
	if stored.GetOutstanding().GetFencingNumber() == c.GetFencingNumber() && c.GetFencingNumber() != 0 {
		stored.Finished = stored.Outstanding
		stored.Outstanding = nil
		stored.FinishedDone = c.GetDone()
		stored.FinishedReason = c.GetReason()
		record.Set(b, upstreamKey(c.GetUpstream()), stored)
		return &pb.OrderResult{Accepted: true, Order: stored.Finished}
	}
	if stored.GetFinished().GetFencingNumber() == c.GetFencingNumber() && c.GetFencingNumber() != 0 {
		return &pb.OrderResult{Accepted: true, Order: stored.Finished}
	}
	return &pb.OrderResult{
		Reason: fmt.Sprintf("order %d is not outstanding", c.GetFencingNumber()),
		Order:  stored.GetOutstanding(),
	}
}

// Query returns the outstanding order of an upstream, the order that was
// finished last, and the highest fencing number issued.
func (State) Query(r kv.Reader, q *pb.OrderQuery) *pb.OrderAnswer {
	stored := &pb.OrderRecord{}
	record.Get(r, upstreamKey(q.GetUpstream()), stored)
	return &pb.OrderAnswer{
		FencingNumber:  stored.GetFencingNumber(),
		Outstanding:    stored.GetOutstanding(),
		Finished:       stored.GetFinished(),
		FinishedDone:   stored.GetFinishedDone(),
		FinishedReason: stored.GetFinishedReason(),
	}
}

func upstreamKey(upstream string) []byte {
	return []byte(upstreamPrefix + upstream)
}
