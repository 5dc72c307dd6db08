package routing

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func table(routes ...Route) *Table {
	return &Table{Version: 1, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
}

func route(name, host, prefix string, splits ...Split) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, Splits: splits}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	expect := NewWithT(t)
	one := Split{"a", 1}
	table := table(
		route("short", "h.example", "/p/", one),
		route("long", "H.example", "/p/q/", one),
		route("other", "i.example", "/", one),
	)
	expect.Expect(table.Build()).To(Succeed())
	for path, name := range map[string]string{"/p/x": "short", "/p/q/x": "long", "/p/q": "short", "/p/": "short"} {
		found, ok := table.Match("h.EXAMPLE:8080", path)
		expect.Expect(ok).To(BeTrue(), path)
		expect.Expect(found.Name).To(Equal(name), path)
	}
	_, ok := table.Match("h.example", "/other")
	expect.Expect(ok).To(BeFalse())
	_, ok = table.Match("j.example", "/p/x")
	expect.Expect(ok).To(BeFalse())
}

func TestBuildRejectsInvalidTables(t *testing.T) {
	one := Split{"a", 1}
	noTimeout := route("r", "h", "/p/", one)
	noTimeout.Timeout = 0
	for name, routes := range map[string][]Route{
		"unknown service": {route("r", "h", "/p/", Split{"c", 1})},
		"no service":      {route("r", "h", "/p/")},
		"same place":      {route("r", "h", "/p/", one), route("s", "H", "/p/", one)},
		"no weight":       {route("r", "h", "/p/", Split{"a", 0}, Split{"b", 0})},
		"negative weight": {route("r", "h", "/p/", Split{"a", 2}, Split{"b", -1})},
		"no timeout":      {noTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(table(routes...).Build()).NotTo(Succeed())
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := route("r", "h", "/p/", Split{"a", 3}, Split{"b", 0}, Split{"c", 1})
	counts := map[string]int{}
	for i := range uint64(400) {
		counts[r.PickService(i)]++
	}
	NewWithT(t).Expect(counts).To(Equal(map[string]int{"a": 300, "c": 100}))
}

func TestOnlyIdempotentAndResumableRequestsAreRepeatable(t *testing.T) {
	expect := NewWithT(t)
	expect.Expect((&Route{Kind: Idempotent}).Repeatable()).To(BeTrue())
	expect.Expect((&Route{Kind: Streaming, Resumable: true}).Repeatable()).To(BeTrue())
	expect.Expect((&Route{Kind: Streaming}).Repeatable()).To(BeFalse())
	expect.Expect((&Route{Kind: Mutating, Resumable: true}).Repeatable()).To(BeFalse())
}
