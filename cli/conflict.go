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
	a.printTitledDocuments("the documents as they stand:", failure.Current)
	a.printTitledDocuments("your documents:", failure.Wanted)
	_, _ = fmt.Fprintln(a.stderr, "nothing was changed. Take over into your file what you want to keep of the documents")
	_, _ = fmt.Fprintln(a.stderr, "as they stand, set each revision in it to the one shown there, and apply it again.")
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
