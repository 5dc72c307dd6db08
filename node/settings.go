package node

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

// The roles of daemons.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	RoleStore   = "store"
)

// Settings are what a daemon is told at its start. Seeds may change while it
// runs.
type Settings struct {
	ID         string
	Role       string
	DataCentre string
	// Address is for streams and datagrams of other daemons.
	Address string
	// Listen is where the daemon listens for others, if they reach it at Address
	// through a translation; empty means Address.
	Listen string
	// Seeds are the addresses of a few control replicas.
	Seeds []string
	// FirstStart is set while the deployment starts for the first time.
	FirstStart bool
	// Folder is the data folder, where the VM has a disk.
	Folder string
	// Callers is where an entry serves callers, Ready its readiness.
	Callers string
	Ready   string
	// Operators is where a control replica serves operators and upstreams.
	Operators string
	// Metrics is where the daemon serves its metrics; empty serves none.
	Metrics string
	// Tolerate is the number of replicas that may be lost at the same time.
	Tolerate int
	// Heartbeat is the interval of the upstreams' heartbeats.
	Heartbeat time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// Retention is the time after its submission for which a job is readable.
	Retention time.Duration
	// CatchUp is the time in which a returned replica has to be a full member.
	CatchUp time.Duration
	// MemoryBytes is the memory of the process; zero if unknown.
	MemoryBytes int64
}

const (
	// repairShare is the part of CatchUp that passes in silence before a spare
	// replaces a voter; the rest is for copying the state.
	repairShare = 0.45
	// defaultCatchUp is used where the settings name none.
	defaultCatchUp = 4500 * time.Millisecond
)

// RepairAfter is the silence after which a spare replaces a voter.
func (s *Settings) RepairAfter() time.Duration {
	catchUp := s.CatchUp
	if catchUp <= 0 {
		catchUp = defaultCatchUp
	}
	return time.Duration(repairShare * float64(catchUp))
}

// Check reports the first wrong setting of a role.
func (s *Settings) Check(role string) error {
	if s.ID == "" {
		return daemon.NewSettingError("id", "is missing")
	}
	if err := daemon.CheckAddress("address", s.Address); err != nil {
		return err
	}
	if err := daemon.CheckAddresses("seeds", s.Seeds); err != nil {
		return err
	}
	switch role {
	case RoleEntry:
		if err := daemon.CheckAddress("callers", s.Callers); err != nil {
			return err
		}
		return daemon.CheckAddress("ready", s.Ready)
	case RoleControl:
		if err := daemon.CheckAddress("operators", s.Operators); err != nil {
			return err
		}
		return s.checkFolder()
	case RoleStore:
		return s.checkFolder()
	}
	return eris.Errorf("no such role: %s", role)
}

func (s *Settings) checkFolder() error {
	if s.Folder == "" {
		return daemon.NewSettingError("folder", "is missing")
	}
	return nil
}

// ListenAddress returns where the daemon listens for other daemons.
func (s *Settings) ListenAddress() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Address
}

// Identity returns this start's identity.
func (s *Settings) Identity() *transport.Identity {
	return &transport.Identity{ID: s.ID, Incarnation: uint64(time.Now().UnixNano()), Address: s.Address}
}

// Self describes the daemon to others.
func (s *Settings) Self(identity *transport.Identity) *pb.Daemon {
	return &pb.Daemon{
		Id:          s.ID,
		Role:        s.Role,
		DataCentre:  s.DataCentre,
		Address:     s.Address,
		Incarnation: identity.Incarnation,
	}
}

// GroupSize is the number of replicas that keep a majority with the tolerated
// losses.
func (s *Settings) GroupSize() int {
	return 2*s.Tolerate + 1
}
