package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/pb"
)

const (
	describeHistoryLimit = 100
	defaultHistoryLimit  = 20
)

func (a *app) historyCommand() *ffcli.Command {
	fs := newFlagSet("history")
	flags := &operatorFlags{}
	flags.register(fs)
	limit := fs.Uint("limit", defaultHistoryLimit, "maximum number of changes")
	before := fs.Uint64("before", 0, "show only changes before this revision; 0 starts at the latest")
	return a.withDefaults(&ffcli.Command{
		Name:       "history",
		ShortUsage: "briarcross history [flags] [profile/NAME | service/NAME]",
		ShortHelp:  "Shows accepted changes, latest first.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			records, err := c.History(*before, uint32(*limit))
			if err != nil {
				return err
			}
			if len(args) > 0 {
				records = recordsWithDocument(args[0], records)
			}
			response := &pb.ConfigHistoryAnswer{Records: records}
			return a.printMessages(flags.output, func() error { return a.printHistory(records) }, response)
		},
	})
}

// recordsWithDocument returns the records that wrote or deleted the document with
// a key.
func recordsWithDocument(key string, records []*pb.ConfigRecord) []*pb.ConfigRecord {
	var matching []*pb.ConfigRecord
	for _, record := range records {
		if slices.Contains(writtenKeys(record), key) || slices.Contains(record.GetDeleted(), key) {
			matching = append(matching, record)
		}
	}
	return matching
}

func writtenKeys(record *pb.ConfigRecord) []string {
	keys := make([]string, 0, len(record.GetDocuments()))
	for _, document := range record.GetDocuments() {
		keys = append(keys, config.Key(document))
	}
	return keys
}

func (a *app) printHistory(records []*pb.ConfigRecord) error {
	w := newTable(a.stdout)
	_, _ = fmt.Fprintln(w, "REVISION\tTIME\tOPERATOR\tWRITTEN\tDELETED")
	for _, record := range records {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", revisionText(record.GetRevision()), timeText(record.GetUnixMs()),
			orDash(record.GetOperator()), orDash(strings.Join(writtenKeys(record), ",")), orDash(strings.Join(record.GetDeleted(), ",")))
	}
	return w.Flush()
}

// timeText formats a Unix time in milliseconds; zero means unknown.
func timeText(unixMs uint64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(int64(unixMs)).UTC().Format(time.RFC3339)
}
