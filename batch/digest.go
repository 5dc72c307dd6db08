package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/pb"
)

// digestJob starts the digest with what the job is besides its items.
func (in *Intake) digestJob() {
	in.digestField([]byte(in.options.Service))
	in.digestField([]byte(in.options.Endpoint))
}

// digestItem adds an item to the digest. Blank lines do not count.
func (in *Intake) digestItem(item *pb.Item) {
	in.digestField([]byte(item.GetCustomId()))
	in.digestField(item.GetBody())
}

func (in *Intake) digestField(field []byte) {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(field)))
	in.digest.Write(size[:])
	in.digest.Write(field)
}
