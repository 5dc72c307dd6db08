package cli

import (
	"errors"
	"fmt"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

// printConflict shows both versions of the documents that a change lost
// against, and what to do.
func (a *app) printConflict(err error) {
	var failure *operator.Failure
	if !errors.As(err, &failure) || failure.Kind != operator.Conflict {
		return
	}
	a.printVersion("the documents as they stand:", failure.CurrentDocuments)
	a.printVersion("your documents:", failure.SubmittedDocuments)
	_, _ = fmt.Fprintln(a.err, "nothing was changed. Take over into your file what you want to keep of the documents")
	_, _ = fmt.Fprintln(a.err, "as they stand, set each revision in it to the one shown there, and apply it again.")
}

func (a *app) printVersion(title string, documents []*pb.Document) {
	if len(documents) == 0 {
		_, _ = fmt.Fprintf(a.err, "%s none\n", title)
		return
	}
	text, err := config.Format(documents)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.err, "%s\n%s", title, text)
}
