package capacity

import (
	"time"

	"github.com/briarcross/briarcross/spread"
)

// The size to design for.
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

// Limits of what a daemon may spend on control.
const (
	// LimitCPUCores is a share of one core.
	LimitCPUCores = 0.049
	// LimitMemoryBytes is in bytes.
	LimitMemoryBytes = 32 << 20
	// LimitBytesPerSecond is in bytes a second, both ways together.
	LimitBytesPerSecond = 3 << 10
	// LimitActivationSeconds is the time until a change is in force, in seconds.
	LimitActivationSeconds = 17
)

// What the size does not state and the page assumes.
const (
	secondsPerDay = 86_400
	// Sidecars each stand before four engines of one VM.
	Sidecars = 2500
	// Entries are the daemons that are neither sidecars nor control.
	Entries = Daemons - Sidecars - ControlVMs
	// Documents are one service and one profile for each customer.
	Documents = 2 * Customers
	// JobLifetimeHours is the time for which a job is live.
	JobLifetimeHours = 8
	// VotersPerGroup form a group of control replicas.
	VotersPerGroup = 3
	// RegistrarsPerMember hold each member.
	RegistrarsPerMember = 3
	// MeanRequestSeconds is the mean time of a request: 264 tokens at 50 ms.
	MeanRequestSeconds = 13
	// SubsetSize is the number of members that an entry would work with for each
	// service.
	SubsetSize = 40
	// VMsPerRack share a rack or a switch.
	VMsPerRack = 40
	// LeaseSeconds is the configuration lease of package spread.
	LeaseSeconds = int(spread.DefaultLease / time.Second)
)
