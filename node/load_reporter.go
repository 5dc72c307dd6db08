package node

import (
	"context"
	"time"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/transport"
)

const (
	// minReportInterval is the minimum time between two load reports. It limits the
	// rate of datagrams of a daemon under load.
	minReportInterval = 20 * time.Millisecond
	// maxReportInterval is the maximum time between two load reports.
	maxReportInterval = 250 * time.Millisecond
	// PeerTimeout is the age at which a load report is discarded. If a VM loses
	// power, its runs continue at the engines until they end, and nothing can stop
	// them; batch items take several seconds.
	PeerTimeout = 5 * time.Second
)

// LoadReporter sends load reports to the other daemons that use the same
// upstreams.
type LoadReporter struct {
	datagrams    *transport.DatagramSocket
	view         *View
	selfAddress  string
	dataCentre   string
	loads        func() []dispatch.UpstreamLoad
	loadsChanged chan struct{}
	// sequence is the number of the last report; only Run uses it.
	sequence uint64
}

// NewLoadReporter returns a reporter that sends the current result of loads.
func NewLoadReporter(d *transport.DatagramSocket, view *View, settings *Settings, loads func() []dispatch.UpstreamLoad) *LoadReporter {
	return &LoadReporter{
		datagrams: d, view: view, selfAddress: settings.Address, dataCentre: settings.DataCentre, loads: loads, loadsChanged: make(chan struct{}, 1),
	}
}

// LoadsChanged makes Run send a report soon. It never blocks.
func (r *LoadReporter) LoadsChanged() {
	select {
	case r.loadsChanged <- struct{}{}:
	default:
	}
}

// Run sends reports until the context ends: after each change, and at least
// every maxReportInterval.
func (r *LoadReporter) Run(ctx context.Context) {
	idle := time.NewTicker(maxReportInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
		case <-r.loadsChanged:
		}
		r.send()
		sleep(ctx, minReportInterval)
	}
}

func (r *LoadReporter) send() {
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
		if peer.GetAddress() == r.selfAddress {
			continue
		}
		// A failed send is ignored: the next report replaces a lost one.
		_ = r.datagrams.Send(peer.GetAddress(), &pb.Envelope{Body: &pb.Envelope_LoadReport{LoadReport: report}})
	}
}

// DecodeLoadReport decodes the load report of another daemon.
func DecodeLoadReport(header *pb.Header, report *pb.LoadReport) dispatch.LoadReport {
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
