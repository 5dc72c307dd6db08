// Package client is a client of a group of replicas for other daemons. It finds
// the leader and retries failed requests. A command that may have been executed
// is repeated too, since its ID makes it idempotent.
package client

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	initialBackoff        = 20 * time.Millisecond
	maxBackoff            = 500 * time.Millisecond
	defaultAttemptTimeout = 3 * time.Second
	// minAttemptTime is the time that a repeated attempt has at least. One that ends
	// without a response makes the outcome of a refused command unknown.
	minAttemptTime = 200 * time.Millisecond
)

// ReplicaClient sends requests to a group of replicas. It is safe for concurrent
// use.
type ReplicaClient struct {
	// call is the Call method of the transport client.
	call func(context.Context, transport.Class, string, *pb.Envelope) (*pb.Envelope, bool, error)
	// attemptTimeout bounds one attempt at one replica.
	attemptTimeout time.Duration

	mu        sync.Mutex
	addresses []string
	// leaderAddress is the address that a response named as the leader's; empty if
	// unknown.
	leaderAddress string
	// suggestedLeader is tried before the replicas in turn while the leader is
	// unknown. It is cleared when an attempt there fails.
	suggestedLeader string
	// nextIndex modulo the number of addresses is the index of the replica that is
	// tried while the leader is unknown.
	nextIndex int
}

// NewReplicaClient returns a client of the replicas at the given addresses.
func NewReplicaClient(t *transport.Client, addresses []string) *ReplicaClient {
	return &ReplicaClient{call: t.Call, addresses: addresses, attemptTimeout: defaultAttemptTimeout}
}

// SetAttemptTimeout sets the time limit of one attempt at one replica. It must be
// called before the first request.
func (c *ReplicaClient) SetAttemptTimeout(timeout time.Duration) {
	c.attemptTimeout = timeout
}

// Propose sends a command to the leader, which executes it. It repeats the
// command until a response arrives or too little time is left for another attempt.
// An error with code UNKNOWN means that the command may have been executed; every
// other code means that it was not.
func (c *ReplicaClient) Propose(ctx context.Context, class transport.Class, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Propose{Propose: command}}
	response, controlErr := c.callWithRetry(ctx, class, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetResult(), nil
}

// Query reads the replicated state. Unless the query permits stale reads, the
// result reflects every change that was acknowledged before the call.
func (c *ReplicaClient) Query(ctx context.Context, query *pb.Query) (*pb.QueryResult, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Query{Query: query}}
	response, controlErr := c.callWithRetry(ctx, transport.Control, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetQuery(), nil
}

// ReportUpstream reports to the leader what an upstream serves. It returns the
// upstream's orders from the leader's state, without a confirmation by a quorum.
func (c *ReplicaClient) ReportUpstream(ctx context.Context, report *pb.UpstreamReport) (*pb.OrderAnswer, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Report{Report: report}}
	response, controlErr := c.callWithRetry(ctx, transport.Control, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetQuery().GetOrder(), nil
}

// QueryReplica reads from the replica at an address, in a single attempt.
func (c *ReplicaClient) QueryReplica(ctx context.Context, address string, query *pb.Query) (*pb.QueryResult, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Query{Query: query}}
	response, _, err := c.attempt(ctx, transport.Control, address, request)
	if err != nil {
		return nil, &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: err.Error()}
	}
	if response.GetError() != nil {
		return nil, response.GetError()
	}
	return response.GetQuery(), nil
}

// SetAddresses replaces the addresses of the replicas. It forgets a leader that
// is not among them.
func (c *ReplicaClient) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = slices.Clone(addresses)
	if !slices.Contains(addresses, c.leaderAddress) {
		c.leaderAddress = ""
	}
}

// LeaderAddress returns the address of the known leader or, if none is known, of
// the replica to try next. It is empty if there are no addresses.
func (c *ReplicaClient) LeaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddress != "" {
		return c.leaderAddress
	}
	if c.suggestedLeader != "" {
		return c.suggestedLeader
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.nextIndex%len(c.addresses)]
}

// SetLeaderAddress sets the address of the leader as named in a response. An empty
// address means that the leader is unknown and selects the next replica to try.
func (c *ReplicaClient) SetLeaderAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == "" {
		if c.leaderAddress == "" && c.suggestedLeader == "" {
			c.nextIndex++
		}
		c.suggestedLeader = ""
	}
	c.leaderAddress = address
}

// SuggestLeader names a replica that probably leads. With many spares beside the
// members of a group, trying them in turn takes long.
func (c *ReplicaClient) SuggestLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suggestedLeader = address
}

func (c *ReplicaClient) callWithRetry(ctx context.Context, class transport.Class, request *pb.ControlRequest) (*pb.ControlResponse, *pb.ControlError) {
	lastErr := &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: "no control replica answered"}
	outcomeUnknown := false
	backoff := initialBackoff
	redirected := false
	for {
		address := c.LeaderAddress()
		redirect := false
		response, sent, err := c.attempt(ctx, class, address, request)
		switch {
		case errors.Is(err, transport.ErrNotEncoded):
			return nil, &pb.ControlError{Code: pb.ControlError_INVALID, Reason: err.Error()}
		case err != nil:
			outcomeUnknown = outcomeUnknown || sent
			lastErr.Reason = err.Error()
			c.SetLeaderAddress("")
		case response.GetError() == nil:
			return response, nil
		default:
			lastErr = response.GetError()
			switch lastErr.GetCode() {
			case pb.ControlError_INVALID:
				return nil, lastErr
			case pb.ControlError_FULL:
				return nil, finalError(lastErr, outcomeUnknown)
			}
			outcomeUnknown = outcomeUnknown || lastErr.GetCode() == pb.ControlError_UNKNOWN
			leader := lastErr.GetLeaderAddress()
			c.SetLeaderAddress(leader)
			// Two replicas may name each other.
			redirect = !redirected && leader != "" && leader != address
		}
		delay, ok := retryDelay(ctx, backoff)
		if !ok {
			return nil, finalError(lastErr, outcomeUnknown)
		}
		redirected = redirect
		if redirect {
			continue
		}
		if !sleep(ctx, delay) {
			return nil, finalError(lastErr, outcomeUnknown)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func finalError(lastErr *pb.ControlError, outcomeUnknown bool) *pb.ControlError {
	if outcomeUnknown {
		return &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: lastErr.GetReason()}
	}
	return lastErr
}

// retryDelay returns the delay before the next attempt, which is at most backoff and
// leaves minAttemptTime for the attempt. It returns false if too little time is left.
func retryDelay(ctx context.Context, backoff time.Duration) (time.Duration, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return backoff, true
	}
	delay := min(backoff, time.Until(deadline)-minAttemptTime)
	return delay, delay >= initialBackoff
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends a request to one replica. sent reports whether the request may
// have arrived.
func (c *ReplicaClient) attempt(ctx context.Context, class transport.Class, address string, request *pb.ControlRequest) (response *pb.ControlResponse, sent bool, err error) {
	if address == "" {
		return nil, false, eris.New("no replica is known")
	}
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	envelope := &pb.Envelope{Body: &pb.Envelope_ControlRequest{ControlRequest: request}}
	reply, sent, err := c.call(ctx, class, address, envelope)
	if err != nil {
		return nil, sent, err
	}
	response = reply.GetControlResponse()
	if response == nil {
		return nil, true, eris.New("control replica sent an unexpected message")
	}
	return response, true, nil
}
