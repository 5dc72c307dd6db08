package entrynode

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/briarcross/briarcross/pb"
)

func soundItem() JobItem {
	return JobItem{ID: "e5", Path: "/p/1?x=%ff", Headers: map[string]string{"Model": "m"}}
}

// Storage could not keep such jobs, or engines got another request than the caller had written.
func TestJobsThatCannotBeKeptOrSentAreInvalid(t *testing.T) {
	sound := Job{Items: []JobItem{soundItem()}}
	NewWithT(t).Expect(sound.check("7c41", "/p/7c41")).To(Succeed())
	for _, id := range []string{"", "7c\xff", "7c\n", strings.Repeat("7", 1000)} {
		NewWithT(t).Expect(sound.check(id, "/p")).To(HaveOccurred(), "%q", id)
	}
	NewWithT(t).Expect(sound.check("7c41", "/p\xff")).To(HaveOccurred())
	empty := Job{}
	NewWithT(t).Expect(empty.check("7c41", "/p")).To(HaveOccurred())
	for name, spoil := range map[string]func(*JobItem){
		"no ID": func(i *JobItem) { i.ID = "" }, "broken ID": func(i *JobItem) { i.ID = "e\xff" }, "long ID": func(i *JobItem) { i.ID = strings.Repeat("e", 1000) },
		"no path": func(i *JobItem) { i.Path = "" }, "relative path": func(i *JobItem) { i.Path = "p" }, "second request": func(i *JobItem) { i.Path = "/p HTTP/1.1\r\nHost: x\r\n\r\nGET /q" },
		"space": func(i *JobItem) { i.Path = "/p q" }, "broken path": func(i *JobItem) { i.Path = "/\xff" }, "long path": func(i *JobItem) { i.Path = "/" + strings.Repeat("p", 1<<20) },
		"header name": func(i *JobItem) { i.Headers["A b"] = "x" }, "line feed in header": func(i *JobItem) { i.Headers["A"] = "x\r\nB: y" }, "broken header": func(i *JobItem) { i.Headers["A"] = "\xff" },
	} {
		item := soundItem()
		spoil(&item)
		job := Job{Items: []JobItem{soundItem(), item}}
		err := job.check("7c41", "/p")
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
		NewWithT(t).Expect(len(err.Error())).To(BeNumerically("<", 1000), name)
	}
}

// FuzzJobItem checks that storage can keep each item that is accepted.
func FuzzJobItem(f *testing.F) {
	f.Add("e5", "/p", "Model", "m")
	f.Add("e\xff", "/p\r\n", "A b", "\x00")
	f.Fuzz(func(t *testing.T, id, path, name, value string) {
		job := Job{Items: []JobItem{{ID: id, Path: path, Headers: map[string]string{name: value}}}}
		if job.check(id, path) != nil {
			return
		}
		submit := &pb.PageSubmit{JobId: id, Path: path, Items: []*pb.PageItem{{Id: id, Path: path, Headers: []*pb.HeaderField{{Name: name, Value: value}}}}}
		if _, err := proto.Marshal(submit); err != nil {
			t.Fatal(err)
		}
		if strings.ContainsAny(path, " \r\n") {
			t.Fatalf("%q would end the request line", path)
		}
	})
}

// A refusal of a request says what is wrong with it.
func TestRefusalOfABadRequestSaysWhy(t *testing.T) {
	expect := NewWithT(t)
	n := &Node{metrics: newMetrics(), logger: log.New(io.Discard)}
	w := httptest.NewRecorder()
	err := checkJobID("7c\xff")
	n.refuse(w, "7c\xff", refusal{reason: invalidID, status: http.StatusBadRequest, cause: err})
	expect.Expect(w.Code).To(Equal(http.StatusBadRequest))
	expect.Expect(w.Body.String()).To(Equal("invalid_id: job ID is not UTF-8: \"7c\\xff\"\n"))
}
