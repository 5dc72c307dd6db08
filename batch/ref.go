package batch

import "github.com/briarcross/briarcross/pb"

// LeaseRef identifies one lease of one item.
type LeaseRef struct {
	JobID string
	// Index is the position of the item in its job.
	Index uint32
	// FencingNumber increases with each grant; a leader's numbers are greater
	// than those of all earlier leaders.
	FencingNumber uint64
}

// itemKey identifies an item.
type itemKey struct {
	jobID string
	index uint32
}

func (r LeaseRef) itemKey() itemKey {
	return itemKey{r.JobID, r.Index}
}

func (r LeaseRef) toProto() *pb.LeaseRef {
	return &pb.LeaseRef{JobId: r.JobID, Index: r.Index, FencingNumber: r.FencingNumber}
}

func leaseRefFromProto(m *pb.LeaseRef) LeaseRef {
	return LeaseRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}

func leaseRefOfResult(m *pb.ItemResult) LeaseRef {
	return LeaseRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}

// LeaseRefOf returns the reference of a leased item's lease.
func LeaseRefOf(m *pb.LeasedItem) LeaseRef {
	return LeaseRef{m.GetJobId(), m.GetIndex(), m.GetFencingNumber()}
}
