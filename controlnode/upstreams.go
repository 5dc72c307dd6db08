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
	"github.com/briarcross/briarcross/node"
	"github.com/briarcross/briarcross/pb"
)

const (
	upstreamsFileName = "upstreams"
	checksumBytes     = 8
)

// The table of upstreams is kept on the disk besides, so that the daemons have
// upstreams to use right after all of them were down: the next heartbeats may
// take seconds. It is a hint and needs no agreement, since an upstream that is
// not the one that was meant says so.

func (n *Node) upstreamsPath() string {
	return filepath.Join(n.settings.DataDir, upstreamsFileName)
}

// loadUpstreams reads the table as it was before the start.
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
	now := time.Now()
	for _, beat := range saved.GetUpstreams() {
		// Until they are heard again, they are used only in place of none.
		beat.AgeMs = uint32((node.MaxMissedHeartbeats * n.settings.HeartbeatInterval).Milliseconds())
		n.upstreams.Apply(node.DecodeHeartbeat(now, beat))
	}
}

// saveUpstreams writes the table if it changed.
func (n *Node) saveUpstreams() {
	n.upstreamLock.Lock()
	if !n.unsaved {
		n.upstreamLock.Unlock()
		return
	}
	n.unsaved = false
	saved := &pb.FleetUpdate{}
	now := time.Now()
	for _, u := range n.upstreams.All() {
		saved.Upstreams = append(saved.Upstreams, node.EncodeHeartbeat(now, u))
	}
	n.upstreamLock.Unlock()
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
		return nil, eris.New("the file of upstreams is cut short")
	}
	body, sum := raw[:len(raw)-checksumBytes], raw[len(raw)-checksumBytes:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, eris.New("the file of upstreams is damaged")
	}
	saved := &pb.FleetUpdate{}
	return saved, proto.Unmarshal(body, saved)
}
