package customers

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func define(name string, keys ...string) Definition {
	return Definition{Customer: Customer{Name: name}, Keys: keys}
}

func TestCustomersAreFoundByTheirKeys(t *testing.T) {
	expect := NewWithT(t)
	longest := strings.Repeat("k", MaxKeyBytes)
	urgent := 0
	registry, err := Build([]Definition{
		{Customer: Customer{Name: "one", Priority: &urgent, Quota: Quota{PerSecond: 0.5, Burst: 2}}, Keys: []string{"k-1", longest}},
		define("One", "k 2", "~"),
		define("revoked"),
	})
	expect.Expect(err).NotTo(HaveOccurred())
	for key, name := range map[string]string{"k-1": "one", longest: "one", "k 2": "One", "~": "One"} {
		customer, known := registry.ByKey(key)
		expect.Expect(known).To(BeTrue())
		expect.Expect(customer.Name).To(Equal(name))
	}
	for _, key := range []string{"", "k-", "k-1 ", "K-1", longest + "k"} {
		_, known := registry.ByKey(key)
		expect.Expect(known).To(BeFalse())
	}
	one, known := registry.ByName("one")
	expect.Expect(known).To(BeTrue())
	expect.Expect(*one.Priority).To(BeZero())
	expect.Expect(one.Quota).To(Equal(Quota{PerSecond: 0.5, Burst: 2}))
	_, known = registry.ByName("revoked")
	expect.Expect(known).To(BeTrue())
	_, known = registry.ByName("ONE")
	expect.Expect(known).To(BeFalse())
}

// An invalid definition must be refused with an error that names the customer and holds no
// part of a key.
func TestInvalidCustomersAreRejected(t *testing.T) {
	limited := func(rate, burst float64) Definition {
		return Definition{Customer: Customer{Name: "acme", Quota: Quota{PerSecond: rate, Burst: burst}}}
	}
	for name, definitions := range map[string][]Definition{
		"two customers with one key": {define("acme", "secret-1", "secret-2"), define("other", "secret-3", "secret-2")},
		"a key twice":                {define("acme", "secret-1", "secret-2", "secret-1")},
		"name twice":                 {define("acme"), define("other"), define("acme")},
		"line feed in name":          {define("acme\nx", "secret-1")},
		"null byte in name":          {define("acme\x00x", "secret-1")},
		"delete in name":             {define("acme\x7f", "secret-1")},
		"space after name":           {define("acme ", "secret-1")},
		"tab before name":            {define("\tacme", "secret-1")},
		"empty key":                  {define("acme", "secret-1", "")},
		"long key":                   {define("acme", strings.Repeat("secret", MaxKeyBytes/6+1))},
		"line feed in key":           {define("acme", "secret\n")},
		"accent in key":              {define("acme", "secrét")},
		"delete in key":              {define("acme", "secret\x7f")},
		"negative rate":              {limited(-0.1, 0)},
		"infinite rate":              {limited(math.Inf(1), 0)},
		"rate that is no number":     {limited(math.NaN(), 0)},
		"negative burst":             {limited(1, -1)},
		"infinite burst":             {limited(1, math.Inf(1))},
		"burst that is no number":    {limited(1, math.NaN())},
	} {
		t.Run(name, func(t *testing.T) {
			expect := NewWithT(t)
			_, err := Build(definitions)
			expect.Expect(err).To(MatchError(ContainSubstring("acme")))
			expect.Expect(err.Error()).NotTo(ContainSubstring("secr"))
		})
	}
	for _, definitions := range [][]Definition{{define("", "secret-1")}, {define("a", "secret-1"), define("", "secret-2")}} {
		_, err := Build(definitions)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring("has no name")))
	}
}

// The registry must not keep the keys in memory: a dump of an entry would show them.
func TestRegistryHoldsNoKeys(t *testing.T) {
	registry, err := Build([]Definition{define("acme", "secret-1")})
	expect := NewWithT(t)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(fmt.Sprintf("%+v", registry)).NotTo(ContainSubstring("secret"))
	expect.Expect(registry.byKey.Len()).To(Equal(1))
	registry.byKey.Root().Walk(func(d []byte, held *holder) bool {
		expect.Expect(string(d)).NotTo(ContainSubstring("secret"))
		expect.Expect(fmt.Sprintf("%+v", *held)).NotTo(ContainSubstring("secret"))
		return false
	})
}

// BenchmarkBuild builds the registry of a change with 10,000 customers of 3 keys each and
// reports what it keeps in memory.
func BenchmarkBuild(b *testing.B) {
	definitions := make([]Definition, 10_000)
	for i := range definitions {
		name := fmt.Sprintf("customer-%d", i)
		definitions[i] = define(name, name+"-key-1-0123456789abcdef", name+"-key-2-0123456789abcdef", name+"-key-3-0123456789abcdef")
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	registry, err := Build(definitions)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build(definitions); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-B")
	runtime.KeepAlive(registry)
}

func BenchmarkByKey(b *testing.B) {
	registry, err := Build([]Definition{define("acme", "0123456789abcdef0123456789abcdef")})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, known := registry.ByKey("0123456789abcdef0123456789abcdef"); !known {
			b.Fatal("the key is unknown")
		}
	}
}
