package capacity

import (
	"time"

	"github.com/briarcross/briarcross/spread"
)

// The design size.
const (
	Daemons           = 2600
	Engines           = 10_000
	ControlVMs        = 54
	RequestsPerSecond = 110_000
	TokensPerSecond   = 29_000_000
	ItemsPerDay       = 17_000_000
	JobsPerDay        = 55_000
	LargestJobItems   = 970_000
	Customers         = 2700
	Models            = 9
	Regions           = 7
	DataCentres       = 27
	ChangesPerDay     = 33_000
	LostVMsPerDay     = 100
	RestartsPerDay    = 1100
)

// Limits of the resources that a daemon may use for control work.
const (
	// LimitCPUCores is the limit of processor time, as a share of one core.
	LimitCPUCores    = 0.049
	LimitMemoryBytes = 32 << 20
	// LimitBytesPerSecond is the limit of sent and received bytes together.
	LimitBytesPerSecond = 3 << 10
	// LimitActivationSeconds is the limit of the time until a change is in force.
	LimitActivationSeconds = 17
)

// Assumptions that the design size does not include.
const (
	secondsPerDay = 86_400
	// Sidecars is the number of sidecars; each serves the four engines of one VM.
	Sidecars = 2500
	// Entries is the number of daemons that are neither sidecars nor control
	// replicas.
	Entries = Daemons - Sidecars - ControlVMs
	// Documents is the number of documents: one service and one profile for each
	// customer.
	Documents = 2 * Customers
	// JobLifetimeHours is the time for which a job is live.
	JobLifetimeHours = 8
	// VotersPerGroup is the number of voters in a group of control replicas.
	VotersPerGroup = 3
	// RegistrarsPerMember is the number of registrars to which a member announces
	// itself.
	RegistrarsPerMember = 3
	// MeanRequestSeconds is the mean duration of a request: 264 tokens at 50 ms.
	MeanRequestSeconds = 13
	// SubsetSize is the number of members of each service among which an entry
	// would choose.
	SubsetSize = 40
	// VMsPerRack is the number of VMs that share a rack or a switch.
	VMsPerRack = 40
	// LeaseSeconds is the duration of the configuration lease of package spread.
	LeaseSeconds = int(spread.DefaultLeaseDuration / time.Second)
)
