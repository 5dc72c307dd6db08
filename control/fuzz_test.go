package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/internal/record"
	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// FuzzApply checks that no decodable command or query makes a replica panic, and
// that two replicas return the same results.
func FuzzApply(f *testing.F) {
	claim := &pb.ClaimOpen{Caller: "c", Key: "k", RequestId: "r"}
	order := &pb.OrderIssue{ChangeId: "o", Order: &pb.Order{
		Upstream: "u", Kind: pb.OrderKind_ORDER_LOAD_MODEL, Subject: "m", WeightBytes: 1 << 40,
	}, WeightBytesPerSecond: 1 << 30}
	for _, c := range []*pb.Command{
		putProfile("id", 1000, 0, profileText),
		{UnixMs: 1, Op: &pb.Command_ClaimOpen{ClaimOpen: claim}},
		{UnixMs: 2, Op: &pb.Command_ClaimClose{ClaimClose: &pb.ClaimClose{Caller: "c", Key: "k", RequestId: "r"}}},
		{UnixMs: 3, Op: &pb.Command_OrderIssue{OrderIssue: order}},
		{UnixMs: 4, Op: &pb.Command_OrderFinish{OrderFinish: &pb.OrderFinish{Upstream: "u", FencingNumber: 1}}},
	} {
		f.Add(record.Encode(c), record.Encode(&pb.Query{Query: &pb.Query_Config{Config: &pb.ConfigQuery{}}}))
	}
	f.Fuzz(func(t *testing.T, command, query []byte) {
		c, q := &pb.Command{}, &pb.Query{}
		if proto.Unmarshal(command, c) != nil || proto.Unmarshal(query, q) != nil {
			return
		}
		first, second := newReplica(), newReplica()
		for range 2 {
			if !proto.Equal(first.apply(c), second.apply(c)) {
				t.Fatal("two replicas returned different results for the same command")
			}
		}
		first.state.Query(first.store, q)
		first.state.UpdateSince(kv.Reader(first.store), c.GetUnixMs())
	})
}
