package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

func (a *app) statusCommand() *ffcli.Command {
	fs := newFlagSet("status")
	flags := &operatorFlags{}
	flags.register(fs)
	return a.command(&ffcli.Command{
		Name:       "status",
		ShortUsage: "briarcross status [flags]",
		ShortHelp:  "Shows the control replicas, repair, and the revision in force on each daemon.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			status, err := operator.NewClient(flags.server).Status()
			if err != nil {
				return err
			}
			if flags.output == "json" {
				return a.printJSON(status)
			}
			return a.printStatus(status)
		},
	})
}

func (a *app) printStatus(status *pb.StatusAnswer) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "leader %s, term %d, commit %d, configuration revision %d, repair: %s\n\n",
		status.GetLeader(), status.GetTerm(), status.GetCommitIndex(), status.GetConfigRevision(), orDash(status.GetRepair()))
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
