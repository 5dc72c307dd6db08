// Package client calls the control replicas from other daemons: it finds the
// leader, retries what certainly did not run, and repeats what may have run,
// since every command carries an ID that makes it idempotent.
package client

import (
	"context"
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
)

// ReplicaClient calls a group of control replicas. It is safe for concurrent use.
type ReplicaClient struct {
	transport      *transport.Client
	attemptTimeout time.Duration

	mu            sync.Mutex
	addresses     []string
	leaderAddress string
	nextIndex     int
}

// NewReplicaClient returns a client of the replicas at the given addresses.
func NewReplicaClient(t *transport.Client, addresses []string) *ReplicaClient {
	return &ReplicaClient{transport: t, addresses: addresses, attemptTimeout: defaultAttemptTimeout}
}

// SetAttemptTimeout bounds one attempt at one replica.
func (c *ReplicaClient) SetAttemptTimeout(timeout time.Duration) {
	c.attemptTimeout = timeout
}

// Propose has a command carried out by the leader. It repeats the command
// until an answer arrives or the context ends. An error with code UNKNOWN
// means that the command may have been carried out; every other code means
// that it was not.
func (c *ReplicaClient) Propose(ctx context.Context, class transport.Class, command *pb.Command) (*pb.CommandResult, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Propose{Propose: command}}
	response, controlErr := c.callWithRetry(ctx, class, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetResult(), nil
}

// Query reads the agreed state. Unless the query is stale, the answer reflects
// every change that was acknowledged before the call.
func (c *ReplicaClient) Query(ctx context.Context, query *pb.Query) (*pb.QueryResult, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Query{Query: query}}
	response, controlErr := c.callWithRetry(ctx, transport.Control, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetQuery(), nil
}

// ReportUpstream tells the leader what an upstream serves and returns the upstream's
// orders as the leader has them, which no quorum has confirmed.
func (c *ReplicaClient) ReportUpstream(ctx context.Context, report *pb.UpstreamReport) (*pb.OrderAnswer, *pb.ControlError) {
	request := &pb.ControlRequest{Request: &pb.ControlRequest_Report{Report: report}}
	response, controlErr := c.callWithRetry(ctx, transport.Control, request)
	if controlErr != nil {
		return nil, controlErr
	}
	return response.GetQuery().GetOrder(), nil
}

// QueryReplica reads from one replica, in a single attempt.
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

// SetAddresses replaces the addresses of the replicas.
func (c *ReplicaClient) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = slices.Clone(addresses)
	if !slices.Contains(addresses, c.leaderAddress) {
		c.leaderAddress = ""
	}
}

// LeaderAddress returns the address that most likely leads.
func (c *ReplicaClient) LeaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddress != "" {
		return c.leaderAddress
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.nextIndex%len(c.addresses)]
}

// SetLeaderAddress stores the address that answers named as the leader's. An empty
// address moves on to the next replica.
func (c *ReplicaClient) SetLeaderAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddress = address
	if address == "" {
		c.nextIndex++
	}
}

func (c *ReplicaClient) callWithRetry(ctx context.Context, class transport.Class, request *pb.ControlRequest) (*pb.ControlResponse, *pb.ControlError) {
	lastErr := &pb.ControlError{Code: pb.ControlError_OVERLOADED, Reason: "no control replica answered"}
	outcomeUnknown := false
	backoff := initialBackoff
	for {
		response, sent, err := c.attempt(ctx, class, c.LeaderAddress(), request)
		switch {
		case err != nil:
			outcomeUnknown = outcomeUnknown || sent
			lastErr.Reason = err.Error()
			c.SetLeaderAddress("")
		case response.GetError() == nil:
			return response, nil
		default:
			lastErr = response.GetError()
			if !retryable(lastErr.GetCode()) {
				return nil, lastErr
			}
			outcomeUnknown = outcomeUnknown || lastErr.GetCode() == pb.ControlError_UNKNOWN
			c.SetLeaderAddress(lastErr.GetLeaderAddress())
		}
		if !sleep(ctx, backoff) {
			return nil, finalError(lastErr, outcomeUnknown)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func retryable(code pb.ControlError_Code) bool {
	return code != pb.ControlError_INVALID
}

func finalError(lastErr *pb.ControlError, outcomeUnknown bool) *pb.ControlError {
	if outcomeUnknown {
		return &pb.ControlError{Code: pb.ControlError_UNKNOWN, Reason: lastErr.GetReason()}
	}
	return lastErr
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

// attempt makes one call. Sent tells whether the request may have arrived.
func (c *ReplicaClient) attempt(ctx context.Context, class transport.Class, address string, request *pb.ControlRequest) (response *pb.ControlResponse, sent bool, err error) {
	if address == "" {
		return nil, false, eris.New("no replica is known")
	}
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout)
	defer cancel()
	envelope := &pb.Envelope{Body: &pb.Envelope_ControlRequest{ControlRequest: request}}
	reply, sent, err := c.transport.Call(ctx, class, address, envelope)
	if err != nil {
		return nil, sent, err
	}
	response = reply.GetControlResponse()
	if response == nil {
		return nil, true, eris.New("control replica sent an unexpected message")
	}
	return response, true, nil
}
