package cli

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

func (a *app) upstreamCommands() *ffcli.Command {
	return a.commandGroup("upstream", "Lists, drains and undrains upstreams.",
		a.operatorCommand("list", "upstream list [flags]", "Lists the upstreams and their services, models and state.", a.listUpstreams),
		a.operatorCommand("drain", "upstream drain [flags] UPSTREAM", "Stops new work to an upstream.",
			func(f *operatorFlags, c *operator.Client, args []string) error {
				return a.setUpstreamState(f, c, args, operator.PathDrain, "draining")
			}),
		a.operatorCommand("undrain", "upstream undrain [flags] UPSTREAM", "Allows new work to a drained upstream again.",
			func(f *operatorFlags, c *operator.Client, args []string) error {
				return a.setUpstreamState(f, c, args, operator.PathUndrain, "serving")
			}),
	)
}

func (a *app) listUpstreams(f *operatorFlags, c *operator.Client, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	upstreams, err := c.Upstreams()
	if err != nil {
		return err
	}
	response := &pb.UpstreamAnswer{Upstreams: upstreams}
	return a.printMessages(f.output, func() error { return a.printUpstreams(upstreams) }, response)
}

func (a *app) printUpstreams(upstreams []*pb.UpstreamReport) error {
	w := newTable(a.stdout)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tKIND\tSERVICES\tMODELS\tADAPTERS\tVERSION\tROLE\tSTATE\tSEEN\tORDER")
	for _, u := range upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", u.GetUpstream(), u.GetDataCentre(), u.GetKind(),
			listText(u.GetServices()), listText(u.GetModels()), listText(u.GetAdapters()), orDash(u.GetVersion()),
			orDash(u.GetRole()), upstreamState(u), timeText(u.GetSeenUnixMs()), orderText(u.GetOutstanding()))
	}
	return w.Flush()
}

func listText(items []string) string {
	return orDash(strings.Join(items, ","))
}

func upstreamState(u *pb.UpstreamReport) string {
	if u.GetDraining() {
		return "draining"
	}
	return "serving"
}

// setUpstreamState posts to the sidecar of an upstream and prints its new state.
func (a *app) setUpstreamState(f *operatorFlags, c *operator.Client, args []string, path, state string) error {
	id, err := oneArgument(args, "the upstream's ID")
	if err != nil {
		return err
	}
	address, err := sidecarURL(f, c, id)
	if err != nil {
		return err
	}
	sidecar, err := f.clientFor(address)
	if err != nil {
		return err
	}
	if err := sidecar.PostToSidecar(path); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "%s is %s\n", id, state)
	return err
}

// sidecarURL returns the base URL of an upstream's sidecar. Its scheme is that
// of the control replica's URL.
func sidecarURL(f *operatorFlags, c *operator.Client, id string) (string, error) {
	upstreams, err := c.Upstreams()
	if err != nil {
		return "", err
	}
	server, err := url.Parse(f.server)
	if err != nil {
		return "", exitErrorf(ExitUsage, "setting -server: %v", err)
	}
	for _, u := range upstreams {
		if u.GetUpstream() == id {
			return server.Scheme + "://" + u.GetHttp(), nil
		}
	}
	return "", exitErrorf(ExitFailed, "the leader has no report from upstream %s; run upstream list to see the known upstreams", id)
}
