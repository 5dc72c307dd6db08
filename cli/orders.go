package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

// Arguments that name what an order loads or unloads.
const (
	subjectModel   = "model"
	subjectAdapter = "adapter"
)

func (a *app) orderCommands() *ffcli.Command {
	return a.commandGroup("order", "Issues orders to upstreams and shows them.",
		a.loadOrderCommand("load", "Orders an upstream to load a model or adapter.", map[string]pb.OrderKind{
			subjectModel:   pb.OrderKind_ORDER_LOAD_MODEL,
			subjectAdapter: pb.OrderKind_ORDER_LOAD_ADAPTER,
		}),
		a.loadOrderCommand("unload", "Orders an upstream to unload a model or adapter.", map[string]pb.OrderKind{
			subjectModel:   pb.OrderKind_ORDER_UNLOAD_MODEL,
			subjectAdapter: pb.OrderKind_ORDER_UNLOAD_ADAPTER,
		}),
		a.roleOrderCommand(),
		a.operatorCommand("show", "order show [flags] UPSTREAM", "Shows an upstream's outstanding and last finished order.", a.showOrders),
	)
}

// orderFlags are the flags of the commands that issue orders.
type orderFlags struct {
	operatorFlags
	changeID string
	version  string
}

func (a *app) loadOrderCommand(name, help string, kinds map[string]pb.OrderKind) *ffcli.Command {
	return a.issueOrderCommand(name, name+" [flags] UPSTREAM model|adapter NAME", help, func(args []string) (*pb.Order, error) {
		const count = 3
		if len(args) != count {
			return nil, exitErrorf(ExitUsage, "expected three arguments: UPSTREAM, model or adapter, and NAME; flags come before them")
		}
		kind, known := kinds[args[1]]
		if !known {
			return nil, exitErrorf(ExitUsage, "expected model or adapter as the second argument, not %s", args[1])
		}
		return &pb.Order{Upstream: args[0], Kind: kind, Subject: args[2]}, nil
	})
}

func (a *app) roleOrderCommand() *ffcli.Command {
	return a.issueOrderCommand("role", "role [flags] UPSTREAM ROLE", "Orders an upstream to change its role.", func(args []string) (*pb.Order, error) {
		const count = 2
		if len(args) != count {
			return nil, exitErrorf(ExitUsage, "expected two arguments: UPSTREAM and ROLE; flags come before them")
		}
		return &pb.Order{Upstream: args[0], Kind: pb.OrderKind_ORDER_SET_ROLE, Subject: args[1]}, nil
	})
}

func (a *app) issueOrderCommand(name, usage, help string, parse func(args []string) (*pb.Order, error)) *ffcli.Command {
	fs := newFlagSet(name)
	flags := &orderFlags{}
	flags.register(fs)
	fs.StringVar(&flags.changeID, "change-id", "", "change ID, to repeat an order whose outcome is unknown; empty creates a new ID")
	fs.StringVar(&flags.version, "version", "", "version to load; empty lets the upstream choose")
	return a.withDefaults(&ffcli.Command{
		Name:       name,
		ShortUsage: "briarcross order " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			order, err := parse(args)
			if err != nil {
				return err
			}
			order.Version = flags.version
			return a.issueAndPrint(flags, order)
		},
	})
}

func (a *app) issueAndPrint(flags *orderFlags, order *pb.Order) error {
	c, err := flags.client()
	if err != nil {
		return err
	}
	if flags.changeID == "" {
		flags.changeID = newChangeID()
	}
	result, err := issueOrderWithRetry(c, &pb.OrderIssue{ChangeId: flags.changeID, Order: order})
	if outcomeUnknown(err) {
		return exitErrorf(ExitOutcomeUnknown, "%v; run the command again with -change-id %s", err, flags.changeID)
	}
	if err != nil {
		return err
	}
	if !result.GetAccepted() {
		return exitErrorf(ExitConflict, "the order was not issued: %s%s", result.GetReason(), retryAfterText(result.GetRetryAfterMs()))
	}
	return a.printMessages(flags.output, func() error {
		_, err := fmt.Fprintf(a.stdout, "issued %s\n", orderText(result.GetOrder()))
		return err
	}, result)
}

// issueOrderWithRetry sends an order, up to maxSubmitAttempts times with the same
// change ID while its outcome is unknown.
func issueOrderWithRetry(c *operator.Client, issue *pb.OrderIssue) (result *pb.OrderResult, err error) {
	for range maxSubmitAttempts {
		if result, err = c.IssueOrder(issue); !outcomeUnknown(err) {
			return result, err
		}
	}
	return result, err
}

func retryAfterText(milliseconds uint64) string {
	if milliseconds == 0 {
		return ""
	}
	return fmt.Sprintf("; try again in %d ms", milliseconds)
}

func newChangeID() string {
	const length = 16
	var id [length]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func (a *app) showOrders(f *operatorFlags, c *operator.Client, args []string) error {
	upstream, err := oneArgument(args, "the upstream's ID")
	if err != nil {
		return err
	}
	response, err := c.Orders(upstream)
	if err != nil {
		return err
	}
	return a.printMessages(f.output, func() error { return a.printOrders(response) }, response)
}

func (a *app) printOrders(response *pb.OrderAnswer) error {
	finished := orderText(response.GetFinished())
	if response.GetFinished() != nil {
		finished += ", " + finishedOutcomeText(response)
	}
	w := newTable(a.stdout)
	_, _ = fmt.Fprintf(w, "fencing number\t%d\n", response.GetFencingNumber())
	_, _ = fmt.Fprintf(w, "outstanding\t%s\n", orderText(response.GetOutstanding()))
	_, _ = fmt.Fprintf(w, "finished last\t%s\n", finished)
	return w.Flush()
}

func finishedOutcomeText(response *pb.OrderAnswer) string {
	if response.GetFinishedDone() {
		return "done"
	}
	return "not done: " + orDash(response.GetFinishedReason())
}

// orderText formats an order on one line.
func orderText(order *pb.Order) string {
	if order == nil {
		return "-"
	}
	kind := strings.ToLower(strings.TrimPrefix(order.GetKind().String(), "ORDER_"))
	text := fmt.Sprintf("%d %s %s", order.GetFencingNumber(), strings.ReplaceAll(kind, "_", " "), order.GetSubject())
	if order.GetVersion() != "" {
		text += " version " + order.GetVersion()
	}
	return text
}
