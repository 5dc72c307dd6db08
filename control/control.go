package control

import (
	"github.com/briarcross/briarcross/claims"
	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/orders"
	"github.com/briarcross/briarcross/pb"
)

// BatchState is the table of batch jobs.
type BatchState interface {
	// Apply applies a command; false means that it is not a command on jobs.
	Apply(b kv.Batch, index uint64, c *pb.Command) (*pb.CommandResult, bool)
	// Restore rebuilds the in-memory state from the store.
	Restore(r kv.Reader)
	// Query executes a query; false means that it is not a query on jobs.
	Query(r kv.Reader, q *pb.Query) (*pb.QueryResult, bool)
}

// latestLogTime is the latest log time, in Unix milliseconds.
var latestLogTime = record.Uint64{Key: []byte("control/clock")}

// State dispatches commands and queries to the tables.
type State struct {
	config config.State
	claims claims.State
	orders orders.State
	batch  BatchState
}

// NewState returns a state with a table of jobs. With nil, commands and queries
// on jobs have empty results.
func NewState(batch BatchState) *State {
	return &State{batch: batch}
}

// Apply applies the command of one log entry. The result of an unknown command is
// empty.
func (s *State) Apply(b kv.Batch, index uint64, c *pb.Command) *pb.CommandResult {
	c = withMonotonicTime(b, c)
	switch op := c.GetOp().(type) {
	case *pb.Command_ConfigChange:
		return changeResult(s.config.ApplyChange(b, op.ConfigChange, c.GetUnixMs()))
	case *pb.Command_ClaimOpen:
		return claimResult(s.claims.Open(b, op.ClaimOpen, c.GetUnixMs()))
	case *pb.Command_ClaimClose:
		return claimResult(s.claims.Close(b, op.ClaimClose, c.GetUnixMs()))
	case *pb.Command_OrderIssue:
		return orderResult(s.orders.Issue(b, op.OrderIssue, c.GetUnixMs()))
	case *pb.Command_OrderFinish:
		return orderResult(s.orders.Finish(b, op.OrderFinish))
	}
	return s.applyBatch(b, index, c)
}

func (s *State) applyBatch(b kv.Batch, index uint64, c *pb.Command) *pb.CommandResult {
	if s.batch == nil {
		return &pb.CommandResult{}
	}
	if result, ok := s.batch.Apply(b, index, c); ok {
		return result
	}
	return &pb.CommandResult{}
}

// withMonotonicTime returns the command with a time that is no earlier than those
// of previous commands, and stores that time.
func withMonotonicTime(b kv.Batch, c *pb.Command) *pb.Command {
	latest := latestLogTime.Get(b)
	if c.GetUnixMs() > latest {
		latestLogTime.Set(b, c.GetUnixMs())
		return c
	}
	if c.GetUnixMs() == latest {
		return c
	}
	return &pb.Command{UnixMs: latest, Op: c.GetOp()}
}

// Restore rebuilds the in-memory state of the tables, after a start or a snapshot.
func (s *State) Restore(r kv.Reader) {
	if s.batch != nil {
		s.batch.Restore(r)
	}
}

// Query executes a query. The result of an unknown query is empty.
func (s *State) Query(r kv.Reader, q *pb.Query) *pb.QueryResult {
	switch query := q.GetQuery().(type) {
	case *pb.Query_Config:
		result := s.config.Query(r, query.Config)
		return &pb.QueryResult{Result: &pb.QueryResult_Config{Config: result}}
	case *pb.Query_History:
		answer := s.config.History(r, query.History)
		return &pb.QueryResult{Result: &pb.QueryResult_History{History: answer}}
	case *pb.Query_Order:
		answer := s.orders.Query(r, query.Order)
		return &pb.QueryResult{Result: &pb.QueryResult_Order{Order: answer}}
	}
	if s.batch == nil {
		return &pb.QueryResult{}
	}
	if result, ok := s.batch.Query(r, q); ok {
		return result
	}
	return &pb.QueryResult{}
}

// ConfigRevision returns the revision of the accepted configuration.
func (s *State) ConfigRevision(r kv.Reader) uint64 {
	return s.config.Revision(r)
}

// UpdateSince returns the configuration documents written after a revision, or a
// snapshot if the history no longer reaches back to it.
func (s *State) UpdateSince(r kv.Reader, from uint64) *pb.ConfigUpdate {
	return s.config.UpdateSince(r, from)
}

func changeResult(result *pb.ChangeResult) *pb.CommandResult {
	return &pb.CommandResult{Result: &pb.CommandResult_Change{Change: result}}
}

func claimResult(result *pb.ClaimResult) *pb.CommandResult {
	return &pb.CommandResult{Result: &pb.CommandResult_Claim{Claim: result}}
}

func orderResult(result *pb.OrderResult) *pb.CommandResult {
	return &pb.CommandResult{Result: &pb.CommandResult_Order{Order: result}}
}
