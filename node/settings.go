package node

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/clientlimit"
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

// Settings configure a daemon. They are read at its start; only Seeds may change
// while it runs.
type Settings struct {
	ID         string
	Role       string
	DataCentre string
	// Address is the address at which other daemons reach this one, for streams
	// and datagrams.
	Address string
	// BindAddress is the address to listen on for other daemons if they reach
	// Address through address translation; empty means Address.
	BindAddress string
	// Seeds are the addresses of some control replicas, used to discover the rest.
	Seeds []string
	// FirstStart is set during the first start of the deployment.
	FirstStart bool
	// DataDir is the data directory on a VM that has a disk.
	DataDir string
	// CallersAddress is the address at which an entry serves callers, ReadyAddress
	// the one of its readiness check.
	CallersAddress string
	ReadyAddress   string
	// OperatorsAddress is the address at which a control replica serves operators
	// and upstreams.
	OperatorsAddress string
	// MetricsAddress is the address of the metrics server; empty disables it.
	MetricsAddress string
	// ToleratedLosses is the number of replicas of a group that may be lost at the
	// same time.
	ToleratedLosses int
	// HeartbeatInterval is the time between two heartbeats of an upstream.
	HeartbeatInterval time.Duration
	// GracePeriod is the time within which the process has to end after the signal
	// to stop.
	GracePeriod time.Duration
	// JobRetention is the time for which a job stays readable after its submission.
	JobRetention time.Duration
	// CatchUpTimeout is the time within which a replica that returns has to be a
	// full member again.
	CatchUpTimeout time.Duration
	// HedgeShare is the share of requests that an entry may hedge, from 0 to 1, where the
	// configuration states none.
	HedgeShare float64
	// MemoryBytes is the memory limit of the process; zero means unknown.
	MemoryBytes int64
	// Descriptors is the limit of the open descriptors of the process; zero means unknown.
	Descriptors int64
	// Clients limits what callers may hold at an entry or a storage replica.
	Clients daemon.ClientSettings
	// DiskBytes is the size of the disk of DataDir; zero means unknown.
	DiskBytes int64
	// MaxJobItems limits the items of a job at an entry; zero means defaultMaxJobItems.
	MaxJobItems int
	// MaxOpenItems and MaxOpenBytes limit the items of the open jobs at a storage replica, and their
	// size; zero means what MemoryBytes and DiskBytes allow.
	MaxOpenItems int
	MaxOpenBytes int64
	// Quota is how strictly the quotas of customers are kept.
	Quota QuotaTolerance
}

// QuotaTolerance is the tolerance in the quotas of customers: in each sliding window, all
// entries together may exceed a quota by a share of it and by a number of requests.
type QuotaTolerance struct {
	// Window is the length of the window; zero means defaultQuotaWindow.
	Window time.Duration
	Over   float64
	Slack  float64
}

const (
	// repairDelayShare is the part of CatchUpTimeout for which a voter may be silent
	// before a spare replaces it; the rest is for copying the state.
	repairDelayShare = 0.45
	// defaultCatchUp is the CatchUpTimeout if none is set.
	defaultCatchUp = 4500 * time.Millisecond
	// defaultMaxJobItems is MaxJobItems if none is set.
	defaultMaxJobItems = 1000
	// openItemBytes is the memory of an open item at a leader: its place in the index, in the search
	// for items that can start, and in the scheduler. openMemoryShare is the part of the memory for
	// open items, openDiskShare the part of the disk.
	openItemBytes   = 512
	openMemoryShare = 0.125
	openDiskShare   = 0.25
	// defaultMemoryBytes and defaultDiskBytes hold where the limits are unknown.
	defaultMemoryBytes = 1 << 30
	defaultDiskBytes   = 4 << 30
	// defaultQuotaWindow is QuotaTolerance.Window if none is set.
	defaultQuotaWindow = 5 * time.Second
)

// ClientLimits returns the limits of what callers may hold.
func (s *Settings) ClientLimits() (clientlimit.Limits, error) {
	return s.Clients.Limits(s.MemoryBytes, s.Descriptors)
}

// JobItemLimit returns the limit of the items of a job.
func (s *Settings) JobItemLimit() int {
	if s.MaxJobItems > 0 {
		return s.MaxJobItems
	}
	return defaultMaxJobItems
}

// BacklogLimit returns the limit of the open jobs at a storage replica.
func (s *Settings) BacklogLimit() clientlimit.Backlog {
	limit := clientlimit.Backlog{Items: s.MaxOpenItems, Bytes: s.MaxOpenBytes}
	if limit.Items == 0 {
		limit.Items = int(openMemoryShare * float64(cmp.Or(s.MemoryBytes, defaultMemoryBytes)) / openItemBytes)
	}
	if limit.Bytes == 0 {
		limit.Bytes = int64(openDiskShare * float64(cmp.Or(s.DiskBytes, defaultDiskBytes)))
	}
	return limit
}

// RepairAfter returns the time without contact after which a spare replaces a
// voter.
func (s *Settings) RepairAfter() time.Duration {
	catchUp := s.CatchUpTimeout
	if catchUp <= 0 {
		catchUp = defaultCatchUp
	}
	return time.Duration(repairDelayShare * float64(catchUp))
}

// Check returns an error for the first invalid setting of a daemon of this role.
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
	if err := s.Clients.Check(); err != nil {
		return err
	}
	if err := s.checkJobLimits(); err != nil {
		return err
	}
	switch role {
	case RoleEntry:
		if err := daemon.CheckAddress("callers", s.CallersAddress); err != nil {
			return err
		}
		if err := daemon.CheckAddress("ready", s.ReadyAddress); err != nil {
			return err
		}
		// The negation covers NaN.
		if !(s.HedgeShare >= 0 && s.HedgeShare <= 1) {
			return daemon.NewSettingError("hedge-share", "must be from 0 to 1")
		}
		return nil
	case RoleControl:
		if err := daemon.CheckAddress("operators", s.OperatorsAddress); err != nil {
			return err
		}
		return s.checkFolder()
	case RoleStore:
		return s.checkFolder()
	}
	return eris.Errorf("no such role: %s", role)
}

func (s *Settings) checkJobLimits() error {
	switch {
	case s.MaxJobItems < 0:
		return daemon.NewSettingError("max-job-items", "must not be negative")
	case s.MaxOpenItems < 0:
		return daemon.NewSettingError("max-open-items", "must not be negative")
	case s.MaxOpenBytes < 0:
		return daemon.NewSettingError("max-open-bytes", "must not be negative")
	}
	return nil
}

func (s *Settings) checkFolder() error {
	if s.DataDir == "" {
		return daemon.NewSettingError("folder", "is missing")
	}
	return nil
}

// ListenAddress returns the address to listen on for other daemons.
func (s *Settings) ListenAddress() string {
	if s.BindAddress != "" {
		return s.BindAddress
	}
	return s.Address
}

// Identity returns an identity with a new incarnation.
func (s *Settings) Identity() *transport.Identity {
	return &transport.Identity{ID: s.ID, Incarnation: uint64(time.Now().UnixNano()), Address: s.Address}
}

// Self returns the record with which the daemon registers at control replicas.
func (s *Settings) Self(identity *transport.Identity) *pb.Daemon {
	return &pb.Daemon{
		Id:          s.ID,
		Role:        s.Role,
		DataCentre:  s.DataCentre,
		Address:     s.Address,
		Incarnation: identity.Incarnation,
	}
}

// GroupSize returns the number of replicas that still have a majority after
// ToleratedLosses.
func (s *Settings) GroupSize() int {
	return 2*s.ToleratedLosses + 1
}
