package node

import (
	"context"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// reportPause is the shortest time between two load reports; it bounds the
	// datagrams of a daemon under load.
	reportPause = 20 * time.Millisecond
	// reportInterval is the longest time between two load reports.
	reportInterval = 250 * time.Millisecond
	// PeerTimeout is the age at which a load report is dropped. The runs of a
	// VM that lost its power go on at the engines until they end, and nothing
	// can stop them; batch items take several seconds.
	PeerTimeout = 5 * time.Second
)

// Reports exchanges load reports with the other daemons that place requests.
type Reports struct {
	datagrams  *transport.DatagramSocket
	view       *View
	self       string
	dataCentre string
	loads      func() []dispatch.UpstreamLoad
	changed    chan struct{}
	// sequence is used by Run only.
	sequence uint64
}

// NewReports returns an exchange that sends what loads returns.
func NewReports(d *transport.DatagramSocket, view *View, settings *Settings, loads func() []dispatch.UpstreamLoad) *Reports {
	return &Reports{
		datagrams: d, view: view, self: settings.Address, dataCentre: settings.DataCentre, loads: loads, changed: make(chan struct{}, 1),
	}
}

// Changed has a report sent soon. It never blocks.
func (r *Reports) Changed() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends.
func (r *Reports) Run(ctx context.Context) {
	idle := time.NewTicker(reportInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
		case <-r.changed:
		}
		r.send()
		pause(ctx, reportPause)
	}
}

func (r *Reports) send() {
	r.sequence++
	report := &pb.LoadReport{Sequence: r.sequence, DataCentre: r.dataCentre}
	for _, load := range r.loads() {
		report.Loads = append(report.Loads, &pb.UpstreamLoad{
			Id:        load.Upstream,
			Online:    uint32(load.Online),
			Batch:     uint32(load.Batch),
			SuspectMs: uint32(load.SuspectFor.Milliseconds()),
			Failures:  uint32(load.Failures),
		})
	}
	for _, peer := range r.view.Daemons(RoleEntry, RoleStore) {
		if peer.GetAddress() == r.self {
			continue
		}
		// A lost report is replaced by the next one.
		_ = r.datagrams.Send(peer.GetAddress(), &pb.Envelope{Body: &pb.Envelope_LoadReport{LoadReport: report}})
	}
}

// DecodeReport reads the report of another daemon.
func DecodeReport(header *pb.Header, report *pb.LoadReport) dispatch.LoadReport {
	decoded := dispatch.LoadReport{
		Peer:        header.GetSender(),
		Incarnation: header.GetIncarnation(),
		Sequence:    report.GetSequence(),
		DataCentre:  report.GetDataCentre(),
	}
	for _, load := range report.GetLoads() {
		decoded.Loads = append(decoded.Loads, dispatch.UpstreamLoad{
			Upstream:   load.GetId(),
			Online:     int(load.GetOnline()),
			Batch:      int(load.GetBatch()),
			SuspectFor: time.Duration(load.GetSuspectMs()) * time.Millisecond,
			Failures:   int(load.GetFailures()),
		})
	}
	return decoded
}
