package replica

import (
	"fmt"

	"github.com/anishathalye/porcupine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/cespare/xxhash/v2"
)

type termIndex struct{ term, index uint64 }

type entryPrint struct{ previousTerm, data uint64 }

type appliedPrint struct{ term, data uint64 }

type ballot struct{ identity, term uint64 }

// checker holds the invariants of the whole group and the first breach.
type checker struct {
	err     error
	leaders map[uint64]string
	entries map[termIndex]entryPrint
	applied map[uint64]appliedPrint
	// stamps holds the time stamp of each applied entry.
	stamps   map[uint64]uint64
	ballots  map[ballot]uint64
	history  []porcupine.Operation
	sequence int64
	// acknowledged counts the answered writes.
	acknowledged int
	elections    int
	installs     int
}

func newChecker() *checker {
	return &checker{
		leaders: make(map[uint64]string),
		entries: make(map[termIndex]entryPrint),
		applied: make(map[uint64]appliedPrint),
		stamps:  make(map[uint64]uint64),
		ballots: make(map[ballot]uint64),
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// leader checks that a term has one leader.
func (c *checker) leader(n *simNode) {
	status := n.core.Status()
	if !status.Leading {
		return
	}
	first, known := c.leaders[status.Term]
	if !known {
		c.leaders[status.Term] = n.id
		c.elections++
		return
	}
	if first != n.id {
		c.fail("replicas %s and %s both lead term %d", first, n.id, status.Term)
	}
}

func (c *checker) observe(n *simNode, out quorum.Output) {
	switch out := out.(type) {
	case quorum.Save:
		c.observeSave(n, out.Entries)
	case quorum.Apply:
		c.observeApply(n, out.Entries)
	case quorum.InstallSnapshot:
		c.installs++
		c.observeInstall(n, out.Meta)
	case quorum.Send:
		c.observeMessage(n, out.Message)
	}
}

// observeSave checks log matching: equal term and index mean equal entries
// and equal predecessors.
func (c *checker) observeSave(n *simNode, entries []*pb.LogEntry) {
	for _, e := range entries {
		print := entryPrint{n.terms[e.Index-1], xxhash.Sum64(e.Data)}
		n.terms[e.Index] = e.Term
		at := termIndex{e.Term, e.Index}
		first, known := c.entries[at]
		if known && first != print {
			c.fail("replica %s stores another entry at term %d index %d", n.id, e.Term, e.Index)
		}
		c.entries[at] = print
	}
}

// observeApply checks that all replicas apply the same entries and that time
// stamps never decrease.
func (c *checker) observeApply(n *simNode, entries []*pb.LogEntry) {
	for _, e := range entries {
		print := appliedPrint{e.Term, xxhash.Sum64(e.Data)}
		first, known := c.applied[e.Index]
		if known && first != print {
			c.fail("replica %s applies another entry at index %d", n.id, e.Index)
		}
		c.applied[e.Index] = print
		c.stamps[e.Index] = e.UnixMs
		if e.UnixMs < c.stamps[e.Index-1] {
			c.fail("the time stamp of entry %d decreases", e.Index)
		}
	}
}

func (c *checker) observeInstall(n *simNode, meta *pb.SnapshotMeta) {
	if first, known := c.applied[meta.Index]; known && first.term != meta.Term {
		c.fail("replica %s installs index %d of term %d", n.id, meta.Index, meta.Term)
	}
}

// observeMessage checks that an identity votes once a term and speaks only
// for the folder that it was drawn for.
func (c *checker) observeMessage(n *simNode, m *pb.QuorumMessage) {
	if m.FromIdentity != n.identity {
		c.fail("replica %s speaks for another folder", n.id)
	}
	if m.Kind != pb.QuorumKind_QUORUM_VOTE_REPLY || m.Reject {
		return
	}
	b := ballot{m.FromIdentity, m.Term}
	first, known := c.ballots[b]
	if known && first != m.ToIdentity {
		c.fail("replica %s votes twice in term %d", n.id, m.Term)
	}
	c.ballots[b] = m.ToIdentity
}

// stamp orders the calls and returns of the history.
func (c *checker) stamp() int64 {
	c.sequence++
	return c.sequence
}

type registerInput struct {
	key   string
	write bool
	value string
}

type registerOutput struct {
	value   string
	unknown bool
}

// registerModel is a register for each key; a write returns what it replaced.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		var keys []string
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(registerInput).key
			if _, known := parts[key]; !known {
				keys = append(keys, key)
			}
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, key := range keys {
			out = append(out, parts[key])
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(registerInput), output.(registerOutput)
		legal := out.unknown || out.value == state.(string)
		if in.write {
			return legal, in.value
		}
		return legal, state
	},
}

// linearizable checks the history of the clients.
func (c *checker) linearizable() {
	if !porcupine.CheckOperations(registerModel, c.history) {
		c.fail("the history of %d operations is not linearizable", len(c.history))
	}
}
