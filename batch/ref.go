package batch

import "github.com/briarcross/briarcross/pb"

// ItemRef names one lease of one item.
type ItemRef struct {
	JobID string
	Index uint32
	// FencingNumber grows with each lease; a later leader's numbers are
	// greater than those of all earlier leaders.
	FencingNumber uint64
}

// itemKey names an item.
type itemKey struct {
	jobID string
	index uint32
}

func (r ItemRef) key() itemKey {
	return itemKey{r.JobID, r.Index}
}

func (r ItemRef) message() *pb.LeaseRef {
	return &pb.LeaseRef{JobId: r.JobID, Index: r.Index, FencingNumber: r.FencingNumber}
}

func refOf(m *pb.LeaseRef) ItemRef {
	return ItemRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}

func refOfResult(m *pb.ItemResult) ItemRef {
	return ItemRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}

// RefOf returns the name of a leased item.
func RefOf(m *pb.LeasedItem) ItemRef {
	return ItemRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}
