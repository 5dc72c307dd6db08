package core

import (
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestOutboxDrainsInOrder(t *testing.T) {
	g := NewWithT(t)
	var o Outbox[int]
	o.Put(1)
	o.Put(2)
	g.Expect(o.Drain()).To(Equal([]int{1, 2}))
	g.Expect(o.Drain()).To(BeEmpty())
	o.Put(3)
	g.Expect(o.Drain()).To(Equal([]int{3}))
}

func TestDeadlinesAgreeWithSorting(t *testing.T) {
	base := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var d Deadlines[int]
		want := map[int]time.Time{}
		steps := rapid.IntRange(0, 60).Draw(t, "steps")
		for range steps {
			key := rapid.IntRange(0, 9).Draw(t, "key")
			if rapid.Bool().Draw(t, "set") {
				at := base.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * time.Second)
				d.Set(key, at)
				want[key] = at
				continue
			}
			_, present := want[key]
			if d.Remove(key) != present {
				t.Fatalf("remove of key %d reported %t", key, !present)
			}
			delete(want, key)
		}
		now := base.Add(15 * time.Second)
		expired := []time.Time{}
		for {
			key, ok := d.PopExpired(now)
			if !ok {
				break
			}
			expired = append(expired, want[key])
			delete(want, key)
		}
		if !sort.SliceIsSorted(expired, func(i, j int) bool { return expired[i].Before(expired[j]) }) {
			t.Fatalf("expired out of order: %v", expired)
		}
		for key, at := range want {
			if !at.After(now) {
				t.Fatalf("key %d was due at %v and did not expire", key, at)
			}
		}
		if d.Len() != len(want) {
			t.Fatalf("%d keys left, want %d", d.Len(), len(want))
		}
	})
}
