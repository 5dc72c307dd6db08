package replica

import (
	"fmt"

	"github.com/briarcross/briarcross/pb"
	"github.com/briarcross/briarcross/quorum"
)

func (r *Replica) publishStatus() {
	status := r.core.Status()
	r.statusLock.Lock()
	defer r.statusLock.Unlock()
	r.status = status
}

func (r *Replica) currentStatus() quorum.Status {
	r.statusLock.Lock()
	defer r.statusLock.Unlock()
	return r.status
}

// Leader returns the leader that this replica knows of, and whether it is this
// replica itself. The ID is empty if no leader is known.
func (r *Replica) Leader() (id, address string, leading bool) {
	status := r.currentStatus()
	for _, member := range status.Membership.GetReplicas() {
		if member.Id == status.LeaderID {
			address = member.Address
		}
	}
	return status.LeaderID, address, status.Leading
}

// withLeader adds the leader to an error, so that the caller can try there next.
func (r *Replica) withLeader(err *pb.ControlError) *pb.ControlError {
	if err != nil {
		err.Leader, err.LeaderAddress, _ = r.Leader()
	}
	return err
}

// Status returns the state of the group that this replica knows of. Only the
// leader knows the match index and the activity of other replicas. The field
// Daemons is not set.
func (r *Replica) Status() *pb.StatusAnswer {
	status := r.currentStatus()
	answer := &pb.StatusAnswer{
		Leader:       status.LeaderID,
		Term:         status.Term,
		CommitIndex:  status.CommitIndex,
		AppliedIndex: status.AppliedIndex,
		Repair:       describeRepair(status.Membership.GetRepair()),
	}
	for _, member := range status.Membership.GetReplicas() {
		answer.Replicas = append(answer.Replicas, r.memberStatus(status, member))
	}
	return answer
}

func (r *Replica) memberStatus(status quorum.Status, member *pb.Replica) *pb.ReplicaStatus {
	if member.Id == r.options.ID {
		return &pb.ReplicaStatus{Replica: member, MatchIndex: status.StableIndex, Active: true}
	}
	for _, p := range status.Peers {
		if p.ID == member.Id {
			return &pb.ReplicaStatus{Replica: member, MatchIndex: p.MatchIndex, Active: p.Active}
		}
	}
	return &pb.ReplicaStatus{Replica: member}
}

// describeRepair describes the latest replacement of a lost replica.
func describeRepair(repair *pb.Repair) string {
	switch repair.GetPhase() {
	case pb.RepairPhase_REPAIR_LEARNING:
		return fmt.Sprintf("replacing %s: %s copies the state", repair.Lost, repair.Spare)
	case pb.RepairPhase_REPAIR_PROMOTED:
		return fmt.Sprintf("replacing %s: %s votes, %s is being removed", repair.Lost, repair.Spare, repair.Lost)
	case pb.RepairPhase_REPAIR_DONE:
		return fmt.Sprintf("done: %s replaced %s", repair.Spare, repair.Lost)
	case pb.RepairPhase_REPAIR_ABANDONED:
		return fmt.Sprintf("replacing %s: %s was lost", repair.Lost, repair.Spare)
	}
	return "none"
}
