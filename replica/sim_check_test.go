package replica

import (
	"fmt"

	"github.com/anishathalye/porcupine"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
	"github.com/cespare/xxhash/v2"
)

type termIndex struct{ term, index uint64 }

type entryFingerprint struct{ previousTerm, dataHash uint64 }

type appliedFingerprint struct{ term, dataHash uint64 }

type voterTerm struct{ identity, term uint64 }

// checker checks invariants of the whole group and keeps the first violation.
type checker struct {
	err     error
	leaders map[uint64]string
	entries map[termIndex]entryFingerprint
	applied map[uint64]appliedFingerprint
	// timestamps holds the timestamp of each applied entry by index, in Unix ms.
	timestamps map[uint64]uint64
	votes      map[voterTerm]uint64
	history    []porcupine.Operation
	sequence   int64
	// acknowledged counts the acknowledged writes.
	acknowledged     int
	elections        int
	snapshotInstalls int
}

func newChecker() *checker {
	return &checker{
		leaders:    make(map[uint64]string),
		entries:    make(map[termIndex]entryFingerprint),
		applied:    make(map[uint64]appliedFingerprint),
		timestamps: make(map[uint64]uint64),
		votes:      make(map[voterTerm]uint64),
	}
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// checkLeader checks that a term has at most one leader.
func (c *checker) checkLeader(n *simNode) {
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
		c.fail("replicas %s and %s are both leader in term %d", first, n.id, status.Term)
	}
}

func (c *checker) checkOutput(n *simNode, out quorum.Output) {
	switch out := out.(type) {
	case quorum.Save:
		c.checkSave(n, out.Entries)
	case quorum.Apply:
		c.checkApply(n, out.Entries)
	case quorum.InstallSnapshot:
		c.snapshotInstalls++
		c.checkInstall(n, out.Meta)
	case quorum.Send:
		c.checkMessage(n, out.Message)
	}
}

// checkSave checks the log matching property: entries with the same term and
// index have the same data and predecessors with the same term.
func (c *checker) checkSave(n *simNode, entries []*pb.LogEntry) {
	for _, e := range entries {
		fingerprint := entryFingerprint{n.entryTerms[e.Index-1], xxhash.Sum64(e.Data)}
		n.entryTerms[e.Index] = e.Term
		key := termIndex{e.Term, e.Index}
		first, known := c.entries[key]
		if known && first != fingerprint {
			c.fail("replica %s stores an entry at term %d index %d that differs from the one stored earlier", n.id, e.Term, e.Index)
		}
		c.entries[key] = fingerprint
	}
}

// checkApply checks that all replicas apply the same entries and that their
// timestamps never decrease.
func (c *checker) checkApply(n *simNode, entries []*pb.LogEntry) {
	for _, e := range entries {
		fingerprint := appliedFingerprint{e.Term, xxhash.Sum64(e.Data)}
		first, known := c.applied[e.Index]
		if known && first != fingerprint {
			c.fail("replica %s applies an entry at index %d that differs from the one applied earlier", n.id, e.Index)
		}
		c.applied[e.Index] = fingerprint
		c.timestamps[e.Index] = e.UnixMs
		if e.UnixMs < c.timestamps[e.Index-1] {
			c.fail("the timestamp of entry %d is lower than that of the previous entry", e.Index)
		}
	}
}

func (c *checker) checkInstall(n *simNode, meta *pb.SnapshotMeta) {
	if first, known := c.applied[meta.Index]; known && first.term != meta.Term {
		c.fail("replica %s installs a snapshot at index %d with term %d, which is not the term of the applied entry", n.id, meta.Index, meta.Term)
	}
}

// checkMessage checks that messages carry the identity of the sender's folder
// and that an identity votes for at most one candidate in a term.
func (c *checker) checkMessage(n *simNode, m *pb.QuorumMessage) {
	if m.FromIdentity != n.identity {
		c.fail("replica %s sent a message with the identity of another folder", n.id)
	}
	if m.Kind != pb.QuorumKind_QUORUM_VOTE_REPLY || m.Reject {
		return
	}
	key := voterTerm{m.FromIdentity, m.Term}
	first, known := c.votes[key]
	if known && first != m.ToIdentity {
		c.fail("replica %s voted for two candidates in term %d", n.id, m.Term)
	}
	c.votes[key] = m.ToIdentity
}

// nextTimestamp returns the logical time of a call or return in the history.
func (c *checker) nextTimestamp() int64 {
	c.sequence++
	return c.sequence
}

type registerInput struct {
	key   string
	write bool
	value string
}

type registerOutput struct {
	value          string
	outcomeUnknown bool
}

// registerModel has one register per key. A write returns the replaced value.
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
		legal := out.outcomeUnknown || out.value == state.(string)
		if in.write {
			return legal, in.value
		}
		return legal, state
	},
}

// checkLinearizable checks that the history of all clients is linearizable.
func (c *checker) checkLinearizable() {
	if !porcupine.CheckOperations(registerModel, c.history) {
		c.fail("the history of %d operations is not linearizable", len(c.history))
	}
}
