package cli

import (
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

func (a *app) statusCommand() *ffcli.Command {
	return a.operatorCommand("status", "status [flags]", "Shows the control replicas, the repair state and the revision in force on each daemon.",
		func(f *operatorFlags, c *operator.Client, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			status, err := c.Status()
			if err != nil {
				return err
			}
			return a.printMessages(f.output, func() error { return a.printStatus(status) }, status)
		})
}

func (a *app) printStatus(status *pb.StatusAnswer) error {
	w := newTable(a.stdout)
	if status.GetStale() {
		_, _ = fmt.Fprintln(w, "no leader confirmed this status: it is this replica's own and may be old")
	}
	_, _ = fmt.Fprintf(w, "leader %s, term %d, commit %d, configuration revision %d, repair: %s\n\n",
		orDash(status.GetLeader()), status.GetTerm(), status.GetCommitIndex(), status.GetConfigRevision(), orDash(status.GetRepair()))
	_, _ = fmt.Fprintln(w, "REPLICA\tDATA CENTRE\tADDRESS\tROLE\tMATCH\tACTIVE")
	for _, r := range status.GetReplicas() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", r.GetReplica().GetId(), r.GetReplica().GetDataCentre(),
			r.GetReplica().GetAddress(), replicaRole(r, status.GetLeader()), r.GetMatchIndex(), r.GetActive())
	}
	_, _ = fmt.Fprintln(w, "\nDAEMON\tROLE\tDATA CENTRE\tREVISION\tIN FORCE")
	for _, d := range status.GetDaemons() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\n", d.GetDaemon(), d.GetRole(), d.GetDataCentre(),
			d.GetRevision(), d.GetRevision() >= status.GetConfigRevision())
	}
	return w.Flush()
}

func replicaRole(r *pb.ReplicaStatus, leader string) string {
	switch {
	case r.GetReplica().GetId() == leader:
		return "leader"
	case r.GetReplica().GetLearner():
		return "learner"
	default:
		return "follower"
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
