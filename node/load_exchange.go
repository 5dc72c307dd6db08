package node

import (
	"slices"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
)

const (
	// maxMeshDaemons is the number of daemons up to which each sends its load reports
	// to all others. The datagrams of a mesh grow with the square of its size.
	maxMeshDaemons = 32
	// relaysPerDataCentre is the number of entries of a data centre that exchange
	// summaries with other data centres. Each works alone if the other fails.
	relaysPerDataCentre = 2
	// maxReportsPerSecond limits the datagrams that a daemon sends in large data
	// centres.
	maxReportsPerSecond = 1500
)

// loadExchange decides which daemons exchange load reports. A small fleet is a
// mesh. In a larger one, the daemons of a data centre form a mesh, and two relays of
// each data centre send its summary to the relays of the others, which forward it. A
// summary is too late for preempting batch items: requests for that go directly to the
// daemons that run these.
type loadExchange struct {
	selfAddress string
	dataCentre  string
	// batchRunners holds the times at which storage daemons were last known to run
	// batch items, by address.
	batchRunners map[string]time.Time
}

func newLoadExchange(selfAddress, dataCentre string) *loadExchange {
	return &loadExchange{selfAddress: selfAddress, dataCentre: dataCentre, batchRunners: make(map[string]time.Time)}
}

// recordBatchRunners records that storage daemons run batch items. It reports
// whether one of them did not before.
func (x *loadExchange) recordBatchRunners(now time.Time, addresses []string) (joined bool) {
	for _, address := range addresses {
		last, known := x.batchRunners[address]
		joined = joined || !known || now.Sub(last) >= PeerTimeout
		x.batchRunners[address] = now
	}
	return joined
}

// runsBatch reports whether a storage daemon ran batch items recently.
func (x *loadExchange) runsBatch(now time.Time, d *pb.Daemon) bool {
	last, known := x.batchRunners[d.GetAddress()]
	return known && now.Sub(last) < PeerTimeout
}

// exchangePlan lists the addresses to which a daemon sends its load reports and
// summaries.
type exchangePlan struct {
	// reports get the daemon's own report.
	reports []string
	// summaries are the relays of other data centres that get the summary of this
	// one. Empty unless the daemon is a relay.
	summaries []string
	// forwards get the summaries that arrive from other data centres. Empty unless
	// the daemon is a relay.
	forwards []string
	// batchRunners are the storage daemons that run batch items, localRunners those of
	// this data centre.
	batchRunners []string
	localRunners []string
}

// plan decides over the known entries and storage daemons, which must be sorted by
// address.
func (x *loadExchange) plan(now time.Time, daemons []*pb.Daemon) exchangePlan {
	entries := make(map[string][]string)
	entryCount := 0
	var local, others []string
	var plan exchangePlan
	for _, d := range daemons {
		isEntry := d.GetRole() == RoleEntry
		if !isEntry && !x.runsBatch(now, d) {
			continue
		}
		address, isLocal := d.GetAddress(), d.GetDataCentre() == x.dataCentre
		switch {
		case isEntry:
			entryCount++
			entries[d.GetDataCentre()] = append(entries[d.GetDataCentre()], address)
		case isLocal:
			plan.localRunners = append(plan.localRunners, address)
		}
		switch {
		case address == x.selfAddress:
			continue
		case isLocal:
			local = append(local, address)
		default:
			others = append(others, address)
		}
		if !isEntry {
			plan.batchRunners = append(plan.batchRunners, address)
		}
	}
	plan.reports = local
	if entryCount <= maxMeshDaemons {
		plan.reports = append(plan.reports, others...)
		return plan
	}
	index := slices.Index(entries[x.dataCentre], x.selfAddress)
	if index < 0 || index >= relaysPerDataCentre {
		return plan
	}
	plan.forwards = local
	for dataCentre, relays := range entries {
		if dataCentre != x.dataCentre {
			plan.summaries = append(plan.summaries, relays[min(index, len(relays)-1)])
		}
	}
	slices.Sort(plan.summaries)
	return plan
}

// reportInterval is the shortest time between two reports to a number of daemons.
func reportInterval(recipients int) time.Duration {
	return max(minReportInterval, time.Duration(recipients)*time.Second/maxReportsPerSecond)
}

// encodeLoads encodes loads for a load report.
func encodeLoads(loads []dispatch.UpstreamLoad) []*pb.UpstreamLoad {
	encoded := make([]*pb.UpstreamLoad, 0, len(loads))
	for _, load := range loads {
		message := &pb.UpstreamLoad{
			Id:                load.Upstream,
			Online:            uint32(load.Online),
			Batch:             uint32(load.Batch),
			SuspectMs:         uint32(load.SuspectFor.Milliseconds()),
			Failures:          uint32(load.Failures),
			Leaving:           load.Leaving,
			LeavingBornUnixMs: load.LeavingStartUnixMs,
			Tokens:            uint64(load.Tokens),
		}
		if rate := load.Rate; rate != (dispatch.UpstreamRate{}) {
			message.Rate = &pb.UpstreamRate{
				BornUnixMs: rate.StartUnixMs, Stated: rate.Stated, PerSecond: rate.PerSecond, AgeMs: milliseconds(rate.Age), Sent: rate.Sent, KnownForMs: milliseconds(rate.KnownFor),
			}
		}
		if speed := load.Speed; speed != (dispatch.UpstreamSpeed{}) {
			message.Speed = &pb.UpstreamSpeed{
				FirstMs: float32(speed.FirstMs), EventMs: float32(speed.EventMs), Weight: float32(speed.Events), BornUnixMs: speed.StartUnixMs,
			}
		}
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeLoadReport decodes the load report of another daemon, or the summary of
// another data centre.
func DecodeLoadReport(header *pb.Header, report *pb.LoadReport) dispatch.LoadReport {
	decoded := dispatch.LoadReport{
		Peer:        header.GetSender(),
		Incarnation: header.GetIncarnation(),
		Sequence:    report.GetSequence(),
		DataCentre:  report.GetDataCentre(),
	}
	if report.GetRelay() != "" {
		decoded.Peer = "summary " + report.GetDataCentre()
		decoded.Incarnation = report.GetRelayIncarnation()
		decoded.Summary = true
	}
	for _, load := range report.GetLoads() {
		decoded.Loads = append(decoded.Loads, dispatch.UpstreamLoad{
			Upstream:           load.GetId(),
			Online:             int(load.GetOnline()),
			Batch:              int(load.GetBatch()),
			SuspectFor:         time.Duration(load.GetSuspectMs()) * time.Millisecond,
			Failures:           int(load.GetFailures()),
			Leaving:            load.GetLeaving(),
			LeavingStartUnixMs: load.GetLeavingBornUnixMs(),
			Tokens:             int(load.GetTokens()),
			Rate:               decodeRate(load.GetRate()),
			Speed:              decodeSpeed(load.GetSpeed()),
		})
	}
	return decoded
}

func decodeRate(rate *pb.UpstreamRate) dispatch.UpstreamRate {
	return dispatch.UpstreamRate{
		StartUnixMs: rate.GetBornUnixMs(), Stated: rate.GetStated(), PerSecond: rate.GetPerSecond(),
		Age: time.Duration(rate.GetAgeMs()) * time.Millisecond, Sent: rate.GetSent(), KnownFor: time.Duration(rate.GetKnownForMs()) * time.Millisecond,
	}
}

func decodeSpeed(speed *pb.UpstreamSpeed) dispatch.UpstreamSpeed {
	return dispatch.UpstreamSpeed{
		FirstMs: float64(speed.GetFirstMs()), EventMs: float64(speed.GetEventMs()), Events: float64(speed.GetWeight()), StartUnixMs: speed.GetBornUnixMs(),
	}
}
