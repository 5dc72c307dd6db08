package node

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/briarcross/briarcross/dispatch"
	"github.com/briarcross/briarcross/fleet"
	"github.com/briarcross/briarcross/routing"
)

// The first update of a control replica has the routing table and the upstreams. An
// entry that has the table takes requests.
func TestUpstreamsAreUsableBeforeTheRoutingTable(t *testing.T) {
	expect := NewWithT(t)
	settings := &Settings{ID: "entry", Role: RoleEntry, Address: "127.79.250.1:18001", HeartbeatInterval: time.Second}
	granted := false
	var d *Dispatcher
	decodeTable := func([]byte) (*routing.Table, error) {
		_, refused := d.Slots.Acquire(context.Background(), dispatch.SlotRequest{Service: "s"})
		granted = refused == nil
		return &routing.Table{Version: 1}, nil
	}
	d, err := NewDispatcher(settings, log.New(io.Discard), decodeTable, func(fleet.Upstream) {}, nil)
	expect.Expect(err).NotTo(HaveOccurred())
	defer d.Close()
	u := fleet.Upstream{ID: "u", Service: "s", Address: "u:1", Slots: 1, Phase: fleet.Ready}
	d.applyViewChanges(ViewChanges{Routing: &Routing{Version: 1}, Upstreams: []fleet.Upstream{u}, PhaseChanges: []fleet.Upstream{u}})
	expect.Expect(d.Table()).NotTo(BeNil())
	expect.Expect(granted).To(BeTrue())
}
