package origins

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
)

var start = time.UnixMilli(1_000_000)

func newRecord(id, version string) Record { return Record{id, Origin{"s", version}} }

func TestTheFirstOriginOfAStreamStays(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Add(start, newRecord("a", "1"))
	table.Add(start, newRecord("a", "2"))
	origin, known := table.Find(start, "a")
	expect.Expect(known).To(BeTrue())
	expect.Expect(origin.SoftwareVersion).To(Equal("1"))
}

func TestOriginsExpire(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	table.Add(start, newRecord("a", "1"))
	table.Add(start.Add(time.Second), newRecord("b", "1"))
	_, known := table.Find(start.Add(Retention), "a")
	expect.Expect(known).To(BeFalse())
	expect.Expect(table.OfService(start.Add(Retention), "s")).To(Equal([]Record{newRecord("b", "1")}))
	expect.Expect(table.OfService(start.Add(Retention), "other")).To(BeEmpty())
}

func TestTheTableIsBounded(t *testing.T) {
	expect := NewWithT(t)
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Add(start, newRecord(fmt.Sprint(i), "1"))
	}
	expect.Expect(table.origins).To(HaveLen(maxRecords))
	_, known := table.Find(start, "9")
	expect.Expect(known).To(BeFalse())
	_, known = table.Find(start, "10")
	expect.Expect(known).To(BeTrue())
}

// A request without an ID cannot be taken up.
func TestAnEmptyIDIsNotRecorded(t *testing.T) {
	table := NewTable()
	table.Add(start, newRecord("", "1"))
	_, known := table.Find(start, "")
	NewWithT(t).Expect(known).To(BeFalse())
}

func TestHomesChangeLittleWhenADaemonLeaves(t *testing.T) {
	expect := NewWithT(t)
	var addresses []string
	for i := range 20 {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	counts := make(map[string]int)
	for i := range 1000 {
		id := fmt.Sprint("stream-", i)
		homes := Homes(id, addresses, EntryHomes)
		expect.Expect(homes).To(HaveLen(EntryHomes))
		for _, home := range homes {
			counts[home]++
			remaining := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == home })
			moved := slices.DeleteFunc(Homes(id, remaining, EntryHomes), func(a string) bool { return slices.Contains(homes, a) })
			expect.Expect(moved).To(HaveLen(1))
		}
	}
	for _, address := range addresses {
		expect.Expect(counts[address]).To(BeNumerically("~", 1000*EntryHomes/20, 80), address)
	}
	expect.Expect(Homes("a", addresses[:2], EntryHomes)).To(ConsistOf(addresses[0], addresses[1]))
}

func TestHomesHaveTheHighestScores(t *testing.T) {
	expect := NewWithT(t)
	var addresses []string
	for i := range 50 {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for i := range 100 {
		id := fmt.Sprint("stream-", i)
		byScore := slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(id+"\x00"+b), xxhash.Sum64String(id+"\x00"+a))
		})
		expect.Expect(Homes(id, addresses, EntryHomes)).To(Equal(byScore[:EntryHomes]))
	}
	expect.Expect(Homes("a", nil, EntryHomes)).To(BeEmpty())
}

func BenchmarkHomes(b *testing.B) {
	var addresses []string
	for i := range 1000 {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:1", i/250, i%250))
	}
	for b.Loop() {
		Homes("stream", addresses, EntryHomes)
	}
}

// Callers choose the IDs of their requests. Records of long ones filled the memory of a
// daemon, and did not fit into a datagram.
func TestLongRequestIDsTakeLittleMemory(t *testing.T) {
	expect := NewWithT(t)
	now := time.UnixMilli(1_000_000)
	table := NewTable()
	prefix := strings.Repeat("x", 16<<10)
	for _, version := range []string{"1", "2"} {
		table.Add(now, Record{prefix + version, Origin{"s", version}})
	}
	for _, version := range []string{"1", "2"} {
		origin, known := table.Find(now, prefix+version)
		expect.Expect(known).To(BeTrue())
		expect.Expect(origin.SoftwareVersion).To(Equal(version))
	}
	_, known := table.Find(now, prefix)
	expect.Expect(known).To(BeFalse())
	for _, r := range table.OfService(now, "s") {
		expect.Expect(len(r.RequestID)).To(BeNumerically("<=", maxKeyBytes))
		expect.Expect(Key(r.RequestID)).To(Equal(r.RequestID))
	}
	expect.Expect(Key("short")).To(Equal("short"))
}
