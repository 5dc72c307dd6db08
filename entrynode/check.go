package entrynode

import (
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"github.com/briarcross/briarcross/internal/identifier"
)

const (
	// maxIDBytes limits the IDs of jobs and items, which storage keeps.
	maxIDBytes = 256
	// maxPathBytes limits the path of a job, and of an item with its query.
	maxPathBytes = 8 << 10
)

// checkRequestID accepts a request without an ID, which engines refuse. The routing table limits the
// length of headers.
func checkRequestID(id string) error {
	return identifier.CheckOptional("request ID", id, maxHeaderBytes)
}

func checkJobID(id string) error { return identifier.Check("job ID", id, maxIDBytes) }

func checkItemID(id string) error { return identifier.Check("item ID", id, maxIDBytes) }

// checkReadable accepts each ID that can be asked for. An older build may have accepted others than
// this one, and an ID that no job can have is unknown like any other.
func checkReadable(what, id string) error {
	if !utf8.ValidString(id) {
		return eris.Errorf("%s is not UTF-8: %s", what, identifier.Quote(id))
	}
	return nil
}

// check returns an error if the item cannot be sent to an engine as its caller wrote it.
func (i *JobItem) check() error {
	if err := checkItemID(i.ID); err != nil {
		return err
	}
	if err := identifier.Check("item path", i.Path, maxPathBytes); err != nil {
		return eris.Wrapf(err, "item %s", i.ID)
	}
	if !strings.HasPrefix(i.Path, "/") || strings.Contains(i.Path, " ") {
		return eris.Errorf("item %s: path must begin with a slash and have no spaces: %s", i.ID, identifier.Quote(i.Path))
	}
	for name, value := range i.Headers {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("item %s: %s is no name of a header", i.ID, identifier.Quote(name))
		}
		if !httpguts.ValidHeaderFieldValue(value) || !utf8.ValidString(value) {
			return eris.Errorf("item %s: header %s has an invalid value", i.ID, name)
		}
	}
	return nil
}

// check returns an error if storage cannot keep the job, or an item cannot be sent to an engine.
func (j *Job) check(id, path string) error {
	if err := checkJobID(id); err != nil {
		return err
	}
	if err := identifier.Check("job path", path, maxPathBytes); err != nil {
		return err
	}
	if len(j.Items) == 0 {
		return eris.New("job has no items")
	}
	for i := range j.Items {
		if err := j.Items[i].check(); err != nil {
			return err
		}
	}
	return nil
}
