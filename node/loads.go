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
	datagrams *transport.Datagrams
	view      *View
	self      string
	loads     func() []dispatch.Load
	changed   chan struct{}
	// sequence is used by Run only.
	sequence uint64
}

// NewReports returns an exchange that sends what loads returns.
func NewReports(d *transport.Datagrams, view *View, self string, loads func() []dispatch.Load) *Reports {
	return &Reports{datagrams: d, view: view, self: self, loads: loads, changed: make(chan struct{}, 1)}
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
	// Sequence numbers start at the clock, so that they grow across restarts.
	r.sequence = max(r.sequence+1, uint64(time.Now().UnixMilli()))
	report := &pb.LoadReport{Sequence: r.sequence}
	for _, load := range r.loads() {
		report.Loads = append(report.Loads, &pb.UpstreamLoad{
			Id:     load.Upstream,
			Online: uint32(load.Online),
			Batch:  uint32(load.Batch),
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

// DecodeLoads returns the loads of a report.
func DecodeLoads(report *pb.LoadReport) []dispatch.Load {
	loads := make([]dispatch.Load, 0, len(report.GetLoads()))
	for _, load := range report.GetLoads() {
		loads = append(loads, dispatch.Load{
			Upstream: load.GetId(),
			Online:   int(load.GetOnline()),
			Batch:    int(load.GetBatch()),
		})
	}
	return loads
}
