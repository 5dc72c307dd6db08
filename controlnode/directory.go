package controlnode

import (
	"slices"

	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

// directory numbers the changes of a list of daemons, so that subscribers get only
// what has changed.
type directory struct {
	entries map[string]directoryEntry
	changes uint64
}

// directoryEntry is a daemon, or a removed one if daemon is nil, with the number of
// its latest change.
type directoryEntry struct {
	daemon *pb.Daemon
	change uint64
}

func newDirectory() *directory {
	return &directory{entries: make(map[string]directoryEntry)}
}

// update replaces the list of daemons and reports whether it changed anything.
func (d *directory) update(daemons []*pb.Daemon) bool {
	before := d.changes
	listed := make(map[string]bool, len(daemons))
	for _, daemon := range daemons {
		listed[daemon.GetAddress()] = true
		if d.entries[daemon.GetAddress()].daemon.GetIncarnation() != daemon.GetIncarnation() {
			d.set(daemon.GetAddress(), daemon)
		}
	}
	for address, entry := range d.entries {
		if entry.daemon != nil && !listed[address] {
			d.set(address, nil)
		}
	}
	return d.changes != before
}

func (d *directory) set(address string, daemon *pb.Daemon) {
	d.changes++
	d.entries[address] = directoryEntry{daemon, d.changes}
}

// since returns the changes after a change number, or nil if there are none.
func (d *directory) since(change uint64) *pb.DaemonChanges {
	if change == d.changes {
		return nil
	}
	changes := &pb.DaemonChanges{}
	for address, entry := range d.entries {
		switch {
		case entry.change <= change:
		case entry.daemon != nil:
			changes.Added = append(changes.Added, entry.daemon)
		case change > 0:
			changes.Removed = append(changes.Removed, address)
		}
	}
	slices.Sort(changes.Removed)
	return changes
}

// list returns all daemons, sorted by address.
func (d *directory) list() []*pb.Daemon {
	var daemons []*pb.Daemon
	for _, entry := range d.entries {
		if entry.daemon != nil {
			daemons = append(daemons, entry.daemon)
		}
	}
	return node.UniqueDaemons(daemons)
}
