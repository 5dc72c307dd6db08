package node

import (
	"strings"

	"github.com/charmbracelet/log"

	"github.com/briarcross/briarcross/eventlog"
	"github.com/briarcross/briarcross/pb"
)

// LogMembers logs the membership of a group if it differs from previous, and
// returns the formatted membership, to be passed as previous the next time.
func LogMembers(logger *log.Logger, group string, status *pb.StatusAnswer, previous string) string {
	var members strings.Builder
	for _, r := range status.GetReplicas() {
		members.WriteString(r.GetReplica().GetAddress())
		if r.GetReplica().GetLearner() {
			members.WriteString("(learner)")
		}
		members.WriteByte(' ')
	}
	if members.String() != previous {
		logger.Info(eventlog.MembersChanged, "group", group, "members", members.String(),
			"term", status.GetTerm(), "index", status.GetCommitIndex())
	}
	return members.String()
}
