package controld

import (
	"flag"
	"strings"
	"time"

	"github.com/briarcross/briarcross/daemon"
	"github.com/briarcross/briarcross/pb"
)

const (
	minTick = time.Millisecond
	maxTick = time.Second
)

// Settings configure a control replica.
type Settings struct {
	daemon.Settings
	// Folder is the data folder; empty keeps the state in memory only.
	Folder string
	// Replicas are the initial replicas, as id@address@data-centre.
	Replicas daemon.StringList
	// Spares are the replicas that may replace a lost one, in the same form.
	Spares daemon.StringList
	// Join starts the replica as a spare that waits to be added to the group.
	Join bool
	// Tick is the length of one tick of the replicated log.
	Tick time.Duration
	// RepairAfter is the time without contact after which a spare replaces a
	// replica.
	RepairAfter time.Duration
	// LeaseTime is how long a sidecar may send no lease request before its
	// leases of batch items end.
	LeaseTime time.Duration
	// PollInterval is the longest time between two lease requests of a sidecar.
	PollInterval time.Duration
	// SettleTime is the time after a change of leader before orders are issued to
	// upstreams.
	SettleTime time.Duration
	// WeightBytesPerSecond is the read rate of the weight store; 0 means no limit.
	WeightBytesPerSecond uint64
	// WeightBytes is the number of bytes that one load reads from the weight
	// store.
	WeightBytes uint64
}

// Register adds the flags of the settings to a flag set.
func (s *Settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.StringVar(&s.Folder, "data", "", "data folder; empty keeps the state in memory only")
	fs.Var(&s.Replicas, "replicas", "initial replicas as id@address@data-centre, separated by commas")
	fs.Var(&s.Spares, "spares", "spare replicas, which may replace a lost one, written like -replicas")
	fs.BoolVar(&s.Join, "join", false, "start as a spare that waits to be added")
	fs.DurationVar(&s.Tick, "tick", 50*time.Millisecond, "length of one tick of the replicated log")
	fs.DurationVar(&s.RepairAfter, "repair-after", 30*time.Second, "time without contact after which a spare replaces a replica")
	fs.DurationVar(&s.LeaseTime, "lease-time", 10*time.Second, "how long the lease of a batch item lasts without renewal")
	fs.DurationVar(&s.SettleTime, "placement-settle", 15*time.Second, "time after a change of leader before orders are issued to upstreams")
	fs.Uint64Var(&s.WeightBytesPerSecond, "weight-rate", 0, "read rate of the weight store in bytes per second; 0 means no limit")
	fs.Uint64Var(&s.WeightBytes, "weight-bytes", 0, "bytes that one load reads from the weight store")
	fs.DurationVar(&s.PollInterval, "poll-time", 500*time.Millisecond, "longest time between two lease requests of a sidecar")
}

// Check returns a daemon.SettingError for the first invalid setting.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	if _, err := parseReplicas("spares", s.Spares); err != nil {
		return err
	}
	replicas, err := parseReplicas("replicas", s.Replicas)
	if err != nil {
		return err
	}
	if !s.Join && !containsReplica(replicas, s.ID) {
		return daemon.NewSettingError("replicas", "must contain this replica's id "+s.ID+" unless -join is set")
	}
	if s.Tick < minTick || s.Tick > maxTick {
		return daemon.NewSettingError("tick", "must be between 1ms and 1s")
	}
	if s.SettleTime <= 0 {
		return daemon.NewSettingError("placement-settle", "must be positive")
	}
	if s.RepairAfter <= 0 {
		return daemon.NewSettingError("repair-after", "must be positive")
	}
	if s.LeaseTime <= s.PollInterval || s.PollInterval <= 0 {
		return daemon.NewSettingError("lease-time", "must be longer than -poll-time, which must be positive")
	}
	return nil
}

func containsReplica(replicas []*pb.Replica, id string) bool {
	for _, replica := range replicas {
		if replica.GetId() == id {
			return true
		}
	}
	return false
}

func parseReplicas(setting string, items []string) ([]*pb.Replica, error) {
	replicas := make([]*pb.Replica, 0, len(items))
	for _, item := range items {
		parts := strings.Split(item, "@")
		const fields = 3
		if len(parts) != fields {
			return nil, daemon.NewSettingError(setting, "must be written as id@address@data-centre, not "+item)
		}
		if err := daemon.CheckAddress(setting, parts[1]); err != nil {
			return nil, err
		}
		replicas = append(replicas, &pb.Replica{Id: parts[0], Address: parts[1], DataCentre: parts[2]})
	}
	return replicas, nil
}
