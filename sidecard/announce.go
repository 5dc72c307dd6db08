package sidecard

import (
	"context"
	"time"

	"github.com/briarcross/briarcross/engine"
	"github.com/briarcross/briarcross/member"
	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/sidecar"
)

// onReadinessChange records whether the configuration is confirmed and, once it
// is, announces the upstream as serving.
func (d *Daemon) onReadinessChange(ready bool) {
	d.readiness.SetConfigured(ready)
	if ready && !d.draining.Load() {
		d.announce(pb.MemberState_MEMBER_SERVING)
	}
}

// announce sets the member that the announcer sends to the registrars when it
// differs enough from what they know.
func (d *Daemon) announce(state pb.MemberState) {
	d.announcedState.Store(int32(state))
	d.announcer.Post(member.SetMember{Member: &pb.Member{
		Id:          d.settings.ID,
		Incarnation: d.identity.Incarnation,
		Address:     d.settings.Listen,
		DataCentre:  d.settings.DataCentre,
		Services:    d.settings.Services,
		State:       state,
		Load:        d.metrics.load(),
	}})
}

// handleDatagram passes a registrar's response to the announcer.
func (d *Daemon) handleDatagram(e *pb.Envelope) {
	d.announcer.Post(member.Datagram{From: e.GetHeader().GetReplyAddress(), Message: e.GetMember()})
}

func (d *Daemon) executeAnnouncerOutput(out member.Output) {
	send, ok := out.(member.SendTo)
	socket := d.datagramSocket.Load()
	if !ok || socket == nil {
		return
	}
	envelope := &pb.Envelope{Body: &pb.Envelope_Member{Member: send.Message}}
	if err := socket.Send(send.Address, envelope); err != nil {
		d.logger.Debug("cannot send the announcement to the registrar", "registrar", send.Address, "error", err)
	}
}

// announceLoad keeps the announced load up to date for entries that have not
// received it in a response of this sidecar.
func (d *Daemon) announceLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			if state := pb.MemberState(d.announcedState.Load()); state != pb.MemberState_MEMBER_UNSPECIFIED {
				d.announce(state)
			}
		}
	}
}

// pollLoad passes the load that the engine reports to the core. It lags behind
// the actual load.
func (d *Daemon) pollLoad() {
	if d.settings.Kind != KindModel {
		return
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(d.ctx, loadTimeout)
			load, err := d.engine.Load(ctx)
			cancel()
			if err == nil {
				d.core.Post(sidecar.EngineLoad{Running: load.Running, Queued: load.Waiting, KVFree: freeKVFraction(load)})
			}
		}
	}
}

func freeKVFraction(load engine.Load) float64 {
	if load.KVCapacity == 0 {
		return 1
	}
	return 1 - float64(load.KVTokens)/float64(load.KVCapacity)
}
