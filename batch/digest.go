package batch

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/pb"
)

// digestJob adds the service and the endpoint to the content digest.
func (in *Intake) digestJob() {
	in.digestField([]byte(in.options.Service))
	in.digestField([]byte(in.options.Endpoint))
}

// digestItem adds an item to the content digest. Blank lines are not part of it.
func (in *Intake) digestItem(item *pb.Item) {
	in.digestField([]byte(item.GetCustomId()))
	in.digestField(item.GetBody())
}

// digestField adds a field after its length, so that the borders between fields
// matter.
func (in *Intake) digestField(field []byte) {
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(field)))
	in.digest.Write(size[:])
	in.digest.Write(field)
}
