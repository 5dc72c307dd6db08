package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func newTable(routes ...Route) *Table {
	return &Table{Version: 1, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
}

func newRoute(name, host, prefix string, splits ...Split) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Timeout: time.Second, Splits: splits}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	split := Split{"a", 1}
	table := newTable(
		newRoute("short", "h.example", "/p/", split),
		newRoute("long", "H.example", "/p/q/", split),
		newRoute("other", "i.example", "/", split),
	)
	g.Expect(table.Build()).To(Succeed())
	for path, name := range map[string]string{"/p/x": "short", "/p/q/x": "long", "/p/q": "short", "/p/": "short"} {
		found, ok := table.Match("h.EXAMPLE:8080", path)
		g.Expect(ok).To(BeTrue(), path)
		g.Expect(found.Name).To(Equal(name), path)
	}
	_, ok := table.Match("h.example", "/other")
	g.Expect(ok).To(BeFalse())
	_, ok = table.Match("j.example", "/p/x")
	g.Expect(ok).To(BeFalse())
}

func TestBuildRejectsInvalidTables(t *testing.T) {
	split := Split{"a", 1}
	noTimeout := newRoute("r", "h", "/p/", split)
	noTimeout.Timeout = 0
	for name, routes := range map[string][]Route{
		"unknown service":      {newRoute("r", "h", "/p/", Split{"c", 1})},
		"no service":           {newRoute("r", "h", "/p/")},
		"same host and prefix": {newRoute("r", "h", "/p/", split), newRoute("s", "H", "/p/", split)},
		"no weight":            {newRoute("r", "h", "/p/", Split{"a", 0}, Split{"b", 0})},
		"negative weight":      {newRoute("r", "h", "/p/", Split{"a", 2}, Split{"b", -1})},
		"no timeout":           {noTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(newTable(routes...).Build()).NotTo(Succeed())
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := newRoute("r", "h", "/p/", Split{"a", 3}, Split{"b", 0}, Split{"c", 1})
	counts := map[string]int{}
	for i := range uint64(400) {
		service, found := r.PickAmong(i, func(string) bool { return true })
		NewWithT(t).Expect(found).To(BeTrue())
		counts[service]++
	}
	NewWithT(t).Expect(counts).To(Equal(map[string]int{"a": 300, "c": 100}))
}

// Some services of a route have too little memory for a request.
func TestPickServiceLeavesOutServicesThatDoNotHoldARequest(t *testing.T) {
	g := NewWithT(t)
	table := &Table{Services: []Service{{Name: "a", TokenCapacity: 100}, {Name: "b", TokenCapacity: 1000}, {Name: "c"}}}
	r := newRoute("r", "h", "/p/", Split{"a", 8}, Split{"b", 1}, Split{"c", 0})
	all := func(string) bool { return true }
	for i := range uint64(20) {
		byWeight, _ := r.PickAmong(i, all)
		g.Expect(table.PickService(&r, i, 101, all)).To(Equal("b"))
		g.Expect(table.PickService(&r, i, 100, all)).To(Equal(byWeight))
		g.Expect(table.PickService(&r, i, 1001, all)).To(Equal(byWeight))
	}
	g.Expect(table.ServicesThatHold(&r, 1000)).To(Equal([]string{"b"}))
	g.Expect(table.ServicesThatHold(&r, 1001)).To(BeEmpty())
}

// All upstreams of one of the services of a route are lost. Requests for which it was drawn were
// refused, though the other service had slots.
func TestPickServiceLeavesOutServicesWithoutUpstreams(t *testing.T) {
	g := NewWithT(t)
	table := &Table{Services: []Service{{Name: "a"}, {Name: "b", TokenCapacity: 1000}, {Name: "c"}}}
	r := newRoute("r", "h", "/p/", Split{"a", 8}, Split{"b", 1}, Split{"c", 0})
	only := func(up string) func(string) bool { return func(service string) bool { return service == up } }
	for i := range uint64(20) {
		byWeight, _ := r.PickAmong(i, func(string) bool { return true })
		g.Expect(table.PickService(&r, i, 10, only("b"))).To(Equal("b"))
		g.Expect(table.PickService(&r, i, 10, only("c"))).To(Equal(byWeight), "a service without weight is none of the route's")
		g.Expect(table.PickService(&r, i, 1001, only("b"))).To(Equal("a"), "no upstream of b holds the request")
	}
}

func TestOnlyIdempotentAndResumableRequestsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Route{Kind: Idempotent}).Repeatable()).To(BeTrue())
	g.Expect((&Route{Kind: Streaming, Resumable: true}).Repeatable()).To(BeTrue())
	g.Expect((&Route{Kind: Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&Route{Kind: Mutating, Resumable: true}).Repeatable()).To(BeFalse())
}

// Match searched all routes of a host, and Build compared each with all others: an entry was
// busy for seconds with a change of a large table.
func BenchmarkMatch(b *testing.B) {
	for name, host := range map[string]func(int) string{"one host": oneHost, "hosts": hostOfItsOwn} {
		for _, count := range []int{46, 2_846, 17_000} {
			table := largeTable(host, count)
			b.Run(fmt.Sprintf("%s/%d routes", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					if _, found := table.Match(host(i%count), fmt.Sprintf("/%d/x", i%count)); !found {
						b.Fatal("no route")
					}
				}
			})
		}
	}
}

func BenchmarkBuild(b *testing.B) {
	for name, host := range map[string]func(int) string{"one host": oneHost, "hosts": hostOfItsOwn} {
		for _, count := range []int{46, 2_846, 17_000} {
			b.Run(fmt.Sprintf("%s/%d routes", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					largeTable(host, count)
				}
			})
		}
	}
}

func oneHost(int) string { return "h.example" }

func hostOfItsOwn(route int) string { return fmt.Sprintf("h%d.example", route) }

// largeTable returns a table with a number of routes.
func largeTable(host func(route int) string, count int) *Table {
	table := newTable()
	for i := range count {
		table.Routes = append(table.Routes, newRoute(fmt.Sprint(i), host(i), fmt.Sprintf("/%d/", i), Split{"a", 1}))
	}
	if err := table.Build(); err != nil {
		panic(err)
	}
	return table
}

// Hosts and prefixes must not be mistaken for each other: "ab" with "/c" is no prefix of "a".
func TestMatchFindsTheRoutesOfLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]string{"", "a", "ab", "a\x00b", "b"})
		paths := rapid.StringMatching(`[/ab\x00]{0,5}`)
		routes := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Place {
			return Place{hosts.Draw(t, "host"), paths.Draw(t, "prefix")}
		}), 0, 12, func(p Place) Place { return p }).Draw(t, "routes")
		table := newTable()
		for _, p := range routes {
			table.Routes = append(table.Routes, newRoute(p.Host+p.PathPrefix, p.Host, p.PathPrefix, Split{"a", 1}))
		}
		if err := table.Build(); err != nil {
			t.Fatal(err)
		}
		host, path := hosts.Draw(t, "requested host"), paths.Draw(t, "path")
		longest, matches := "", false
		for _, p := range routes {
			if p.Host == host && strings.HasPrefix(path, p.PathPrefix) && (!matches || len(p.PathPrefix) > len(longest)) {
				longest, matches = p.PathPrefix, true
			}
		}
		found, ok := table.Match(host, path)
		if ok != matches || ok && found.PathPrefix != longest {
			t.Fatalf("match of %q and %q: %v %v, not %q %v", host, path, ok, found, longest, matches)
		}
	})
}
