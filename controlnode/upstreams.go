package controlnode

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/internal/durable"
	"github.com/briarcross/briarcross/internal/identifier"
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

const (
	upstreamsFileName = "upstreams"
	checksumBytes     = 8
)

// Each replica also saves its table of upstreams to disk. After all daemons were
// down, they can then use upstreams at once; the next heartbeats may take
// seconds. The saved table may be stale and is not replicated: an engine that
// receives a request meant for another instance rejects it.

func (n *Node) upstreamsPath() string {
	return filepath.Join(n.settings.DataDir, upstreamsFileName)
}

// loadUpstreams loads the table that was saved before the start.
func (n *Node) loadUpstreams() {
	raw, err := os.ReadFile(n.upstreamsPath())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var saved *pb.FleetUpdate
	if err == nil {
		saved, err = decodeUpstreams(raw)
	}
	if err != nil {
		n.logger.Warn(eventlog.UpstreamsNotLoaded, "error", err)
		return
	}
	now := n.now()
	// With more than this age, an upstream is used only if no other is left, until its next
	// heartbeat. The time since the table was saved is unknown. All age alike, so that the
	// upstream of an address that was heard last is still known.
	aged := now.Add(-node.MaxMissedHeartbeats*n.settings.HeartbeatInterval - time.Millisecond)
	for _, heartbeat := range saved.GetUpstreams() {
		upstream := node.DecodeHeartbeat(aged, heartbeat)
		if err := upstream.Check(); err != nil {
			n.logger.Warn(eventlog.HeartbeatRejected, "upstream", identifier.Loggable(upstream.ID), "reason", "invalid", "from", n.upstreamsPath(), "error", err)
			continue
		}
		n.upstreams.Restore(upstream)
	}
	for _, u := range n.upstreams.All() {
		n.logUpstream(u, sourceSaved)
	}
	// A daemon that subscribes before the first maintenance must not take them for heard.
	n.expireUpstreams()
}

// saveUpstreams writes the table to disk if it has unsaved changes.
func (n *Node) saveUpstreams() {
	n.upstreamLock.Lock()
	if !n.upstreamsUnsaved {
		n.upstreamLock.Unlock()
		return
	}
	n.upstreamsUnsaved = false
	saved := &pb.FleetUpdate{}
	now := n.now()
	for _, u := range n.upstreams.All() {
		saved.Upstreams = append(saved.Upstreams, node.EncodeHeartbeat(now, u))
	}
	n.upstreamLock.Unlock()
	if omitted := pb.RemoveUnencodable(saved); len(omitted) > 0 {
		n.logger.Error(eventlog.RecordNotSaved, "records", len(omitted), "first", omitted[0])
	}
	raw, err := encodeUpstreams(saved)
	if err == nil {
		err = durable.WriteFile(n.upstreamsPath(), raw)
	}
	if err != nil {
		n.logger.Warn(eventlog.UpstreamsNotSaved, "error", err)
	}
}

func encodeUpstreams(saved *pb.FleetUpdate) ([]byte, error) {
	raw, err := proto.Marshal(saved)
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw)), err
}

func decodeUpstreams(raw []byte) (*pb.FleetUpdate, error) {
	if len(raw) < checksumBytes {
		return nil, eris.New("decode upstreams file: shorter than its checksum of 8 bytes")
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, eris.New("decode upstreams file: checksum does not match the content")
	}
	saved := &pb.FleetUpdate{}
	return saved, proto.Unmarshal(body, saved)
}
