package capacity

import (
	"github.com/briarcross/briarcross/lab/experiment"
	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/spread"
)

// Requirement is how much of one resource a role requires at the design size.
type Requirement struct {
	Role     string
	Quantity string
	// Basis describes the load for which Value is calculated.
	Basis string
	Value float64
	Unit  string
	// Limit is in Unit. It is zero if the resource has no limit.
	Limit float64
	// Mechanism describes the part of the design that determines Value.
	Mechanism string
	// Remedy describes a change that would bring Value within Limit.
	Remedy string
}

// WithinLimit reports whether Value is at most Limit, or there is no limit.
func (r Requirement) WithinLimit() bool { return r.Limit == 0 || r.Value <= r.Limit }

// fittedLines maps the name of a cost to its fitted line.
type fittedLines map[string]experiment.Fit

func linesByName(costs []CostSeries) fittedLines {
	lines := make(fittedLines, len(costs))
	for _, s := range costs {
		lines[s.Name] = s.Fit
	}
	return lines
}

// Values derived from the design size.
const (
	changesPerSecond      = float64(ChangesPerDay) / secondsPerDay
	itemsPerSecond        = float64(ItemsPerDay) / secondsPerDay
	liveJobs              = float64(JobsPerDay) * JobLifetimeHours / 24
	meanItemsPerJob       = float64(ItemsPerDay) / JobsPerDay
	secondsPerMicrosecond = 1e-6
)

// Requirements calculates the requirements of all roles from the measured costs.
func Requirements(costs []CostSeries) []Requirement {
	lines := linesByName(costs)
	requirements := controlRequirements(lines)
	requirements = append(requirements, batchRequirements(lines)...)
	requirements = append(requirements, entryRequirements(lines)...)
	return append(requirements, sidecarRequirements(lines)...)
}

func controlRequirements(lines fittedLines) []Requirement {
	const role = "control, configuration"
	watchers := float64(Daemons) / VotersPerGroup
	changeCPU := lines[SpreadChangeCPU].At(watchers) + lines[ConfigChangeCPU].At(Documents) + lines[QuorumLeaderCPU].At(1)
	cpu := (lines[SpreadIdleCPU].At(watchers) + changesPerSecond*changeCPU) * secondsPerMicrosecond
	watcherBytes := watchers * (lines[SpreadIdleBytes].Slope + changesPerSecond*lines[SpreadChangeBytes].Slope)
	logBytes := lines[QuorumIdleBytes].Slope + changesPerSecond*lines[QuorumBytes].At(1)
	sharedBytes := float64(Daemons)/ControlVMs*(lines[SpreadIdleBytes].Slope+changesPerSecond*lines[SpreadChangeBytes].Slope) + logBytes
	return []Requirement{
		{
			Role: role, Quantity: "processor", Value: cpu, Unit: "core", Limit: LimitCPUCores,
			Basis:     "one of 3 replicas with 867 watchers; 0.38 changes a second",
			Mechanism: "group commit, deltas by revision, expiry heaps",
		},
		{
			Role: role, Quantity: "bytes a second, 3 replicas serve all", Value: watcherBytes + logBytes, Unit: "B/s", Limit: LimitBytesPerSecond,
			Basis:     "867 watchers, heartbeats and changes; log heartbeats and appends of the leader",
			Mechanism: "deltas by revision; heartbeats of " + spread.DefaultHeartbeatInterval.String(),
			Remedy:    "let learners in the other control VMs serve watchers, and send a change once to each data centre and from there on",
		},
		{
			Role: role, Quantity: "bytes a second, 54 VMs share the watchers", Value: sharedBytes, Unit: "B/s", Limit: LimitBytesPerSecond,
			Basis:     "48 watchers on each; log heartbeats and appends of the leader",
			Mechanism: "not built: learners do not serve watchers yet",
			Remedy:    "slower heartbeats of the log (100 ms now) and of watchers (" + spread.DefaultHeartbeatInterval.String() + " now)",
		},
		{
			Role: role, Quantity: "memory of tables", Unit: "B", Limit: LimitMemoryBytes,
			Value:     lines[SpreadMemory].At(watchers) + lines[SnapshotBytes].At(Documents),
			Basis:     "867 watchers; 5,400 documents are on disk, counted once for the page cache",
			Mechanism: "documents in the key-value store, not in memory",
		},
		{
			Role: role, Quantity: "configuration snapshot for a restarted daemon", Unit: "B",
			Value: lines[SnapshotBytes].At(Documents), Basis: "5,400 documents",
			Mechanism: "snapshot only when the history does not reach back",
		},
	}
}

func batchRequirements(lines fittedLines) []Requirement {
	const role = "control, batch"
	const groups = ControlVMs / VotersPerGroup
	cpu := (itemsPerSecond*lines[BatchCPU].Slope + Sidecars*lines[LeaseIdleCPU].Slope) * secondsPerMicrosecond
	logBytes := itemsPerSecond * lines[BatchBytes].Slope * (VotersPerGroup - 1)
	leaseBytes := Sidecars * lines[LeaseIdleBytes].Slope
	return []Requirement{
		{
			Role: role, Quantity: "processor of the leader, one group", Value: cpu, Unit: "core", Limit: LimitCPUCores,
			Basis:     "197 items a second accepted and settled in chunks of 256, 2,500 sidecars asking",
			Mechanism: "256 items a command; leases in the leader's memory",
		},
		{
			Role: role, Quantity: "bytes a second of the leader, one group", Value: logBytes + leaseBytes, Unit: "B/s", Limit: LimitBytesPerSecond,
			Basis:     "197 items a second with bodies of 1 KiB each way to two followers; 2,500 sidecars asking",
			Mechanism: "group commit; parked requests of idle sidecars",
			Remedy:    "batch groups for each region (the group ID is in every message and key), and bodies outside the log",
		},
		{
			Role: role, Quantity: "bytes a second of the leader, 18 groups", Value: (logBytes + leaseBytes) / groups, Unit: "B/s", Limit: LimitBytesPerSecond,
			Basis:     "the same, shared by 18 groups of 3 on 54 VMs",
			Mechanism: "not built: one group today",
			Remedy:    "bodies outside the log; the item bodies alone exceed the limit on 54 VMs, so they have to count as data, not control",
		},
		{
			Role: role, Quantity: "memory of live jobs, one group", Unit: "B", Limit: LimitMemoryBytes,
			Value:     liveJobs * (lines[JobMemory].Slope + meanItemsPerJob*lines[BatchMemory].Slope),
			Basis:     "18,333 live jobs of 309 items (8 h)",
			Mechanism: "a summary and two bitmaps for each live job",
		},
		{
			Role: role, Quantity: "memory of the largest job", Unit: "B", Limit: LimitMemoryBytes,
			Value: lines[BatchMemory].At(LargestJobItems), Basis: "970,000 items",
			Mechanism: "two bitmaps; items and results on disk",
		},
	}
}

func entryRequirements(lines fittedLines) []Requirement {
	const role = "entry"
	registeredMembers := float64(Sidecars) * RegistrarsPerMember / Entries
	announcementBytes := registeredMembers * lines[MemberBytes].Slope
	subscriptionBytes := 2 * Entries * lines[MemberBytes].Intercept
	configBytes := lines[SpreadIdleBytes].Slope + changesPerSecond*lines[SpreadChangeBytes].Slope
	requestsPerSecond := float64(RequestsPerSecond) / Entries
	membersPerService := float64(Sidecars) / Models
	decisionCPU := func(members float64) float64 {
		return requestsPerSecond * lines[GateRequestCPU].At(members) * secondsPerMicrosecond
	}
	return []Requirement{
		{
			Role: role, Quantity: "processor for members", Unit: "core", Limit: LimitCPUCores,
			Value:     lines[MemberCPU].At(registeredMembers) * secondsPerMicrosecond,
			Basis:     "registrar of 163 sidecars (2,500 × 3 / 46)",
			Mechanism: "rendezvous hashing over registrars, deltas by version",
		},
		{
			Role: role, Quantity: "bytes a second for members", Unit: "B/s", Limit: LimitBytesPerSecond,
			Value:     announcementBytes + subscriptionBytes + configBytes,
			Basis:     "163 members announced each second; 46 registrars followed and 46 entries served; configuration",
			Mechanism: "heartbeats of " + member.DefaultHeartbeatInterval.String() + " to 3 registrars; each entry follows every registrar",
			Remedy:    "registrars for each data centre (two entries) in place of all 46, and heartbeats of 5 s with leave messages repeated",
		},
		{
			Role: role, Quantity: "processor for decisions, all members of a service", Unit: "core", Limit: LimitCPUCores,
			Value:     decisionCPU(membersPerService),
			Basis:     "2,391 requests a second, 278 members for each of 9 models",
			Mechanism: "the choice looks at every member of the service",
			Remedy:    "a deterministic subset for each entry and service, as in the row below, or a choice that samples the members",
		},
		{
			Role: role, Quantity: "processor for decisions, subset of 40", Unit: "core", Limit: LimitCPUCores,
			Value:     decisionCPU(SubsetSize),
			Basis:     "2,391 requests a second, 40 members",
			Mechanism: "not built: an entry works with every member of a service",
		},
		{
			Role: role, Quantity: "memory of tables", Unit: "B", Limit: LimitMemoryBytes,
			Value: Sidecars*lines[MemberTableMemory].Slope + registeredMembers*lines[RegistrarMemory].Slope +
				requestsPerSecond*MeanRequestSeconds*lines[GateMemory].Slope + lines[SnapshotBytes].At(Documents),
			Basis:     "2,500 members, 163 announced, 31,087 requests in flight (13 s each), 5,400 documents",
			Mechanism: "one table row for each; bodies and buffers of requests are not counted",
		},
	}
}

func sidecarRequirements(lines fittedLines) []Requirement {
	const role = "sidecar"
	requestsPerSecond := float64(RequestsPerSecond) / Sidecars
	tokensPerSecond := float64(TokensPerSecond) / Sidecars
	controlCPU := RegistrarsPerMember*lines[AnnouncerCPU].Slope + lines[SpreadDaemonCPU].Slope + lines[WorkerIdleCPU].Slope
	requestCPU := requestsPerSecond*lines[SidecarRequestCPU].Intercept + tokensPerSecond*lines[SidecarRequestCPU].Slope
	const queuedRequests = 256 * Engines / Sidecars
	return []Requirement{
		{
			Role: role, Quantity: "processor", Unit: "core", Limit: LimitCPUCores,
			Value:     (controlCPU + requestCPU) * secondsPerMicrosecond,
			Basis:     "announcing, following, asking; 44 requests and 11,600 tokens a second through the core",
			Mechanism: "every token costs one table update and no scan",
		},
		{
			Role: role, Quantity: "bytes a second", Unit: "B/s", Limit: LimitBytesPerSecond,
			Value: RegistrarsPerMember*lines[MemberBytes].Slope + lines[SpreadIdleBytes].Slope +
				changesPerSecond*lines[SpreadChangeBytes].Slope + lines[LeaseIdleBytes].Slope,
			Basis:     "3 registrars each second, configuration, asking for items",
			Mechanism: "short datagrams; changes as deltas; parked requests",
		},
		{
			Role: role, Quantity: "memory of tables", Unit: "B", Limit: LimitMemoryBytes,
			Value:     queuedRequests*lines[SidecarMemory].Slope + lines[SnapshotBytes].At(Documents),
			Basis:     "4 full queues of 256 requests, 5,400 documents",
			Mechanism: "one table row for each request; bodies are not counted",
		},
	}
}
