package cli

import (
	"errors"
	"fmt"

	"github.com/briarcross/briarcross/config"
	"github.com/briarcross/briarcross/operator"
	"github.com/briarcross/briarcross/pb"
)

// printConflict prints the current and the submitted version of the documents
// in conflict and how to resolve it. It ignores other errors.
func (a *app) printConflict(err error) {
	var failure *operator.Failure
	if !errors.As(err, &failure) || failure.Kind != operator.Conflict {
		return
	}
	a.printTitledDocuments("current documents:", failure.CurrentDocuments)
	a.printTitledDocuments("submitted documents:", failure.SubmittedDocuments)
	_, _ = fmt.Fprintln(a.stderr, "nothing was changed. Merge the current documents into your file as needed,")
	_, _ = fmt.Fprintln(a.stderr, "set each revision in it to that of the current document, and apply it again.")
}

func (a *app) printTitledDocuments(title string, documents []*pb.Document) {
	if len(documents) == 0 {
		_, _ = fmt.Fprintf(a.stderr, "%s none\n", title)
		return
	}
	text, err := config.Format(documents)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.stderr, "%s\n%s", title, text)
}
