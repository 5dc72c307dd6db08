package customers

import (
	"crypto/sha256"
	"math"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/rotisserie/eris"
)

// MaxKeyBytes limits the length of a key.
const MaxKeyBytes = 1024

// Quota limits the requests of a customer at all entries together.
type Quota struct {
	// PerSecond is the number of requests a second; zero means no limit.
	PerSecond float64
	// Burst is the number of requests that may exceed PerSecond at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Customer holds keys, sends requests and owns batch jobs.
type Customer struct {
	Name string
	// Priority replaces the priority of routes unless it is nil; zero is the most urgent.
	Priority *int
	Quota    Quota
}

// Definition is a customer with its keys, as the operator configured it.
type Definition struct {
	Customer
	Keys []string
	// Digest identifies the text of the definition in sums of digests.
	Digest uint64
}

// keyDigest is the SHA-256 digest of a key.
type keyDigest [sha256.Size]byte

// holder is a customer with what Change needs to remove it.
type holder struct {
	Customer
	keys   []keyDigest
	digest uint64
}

// Registry finds the customers of a deployment. It does not change: Change derives another one,
// which shares all customers that stay.
type Registry struct {
	byKey  *iradix.Tree[*holder]
	byName *iradix.Tree[*holder]
	digest uint64
}

// Build validates the definitions and returns their registry. Errors name customers,
// never keys.
func Build(definitions []Definition) (*Registry, error) {
	return NewRegistry().Change(nil, definitions)
}

// NewRegistry returns a registry without customers.
func NewRegistry() *Registry {
	return &Registry{byKey: iradix.New[*holder](), byName: iradix.New[*holder]()}
}

// Change returns a registry without the customers whose names are removed, and with those that
// are added. It returns an error if it does not know one that is removed.
func (r *Registry) Change(removed []string, added []Definition) (*Registry, error) {
	c := registryChange{byKey: r.byKey.Txn(), byName: r.byName.Txn(), digest: r.digest}
	for _, name := range removed {
		if err := c.remove(name); err != nil {
			return nil, err
		}
	}
	for i := range added {
		if err := c.add(i, &added[i]); err != nil {
			return nil, err
		}
	}
	return &Registry{byKey: c.byKey.Commit(), byName: c.byName.Commit(), digest: c.digest}, nil
}

// Len returns the number of customers.
func (r *Registry) Len() int { return r.byName.Len() }

// Digest returns the sum of the digests of the customers.
func (r *Registry) Digest() uint64 { return r.digest }

// registryChange is a change of a registry that is being made.
type registryChange struct {
	byKey  *iradix.Txn[*holder]
	byName *iradix.Txn[*holder]
	digest uint64
}

func (c *registryChange) remove(name string) error {
	removed, known := c.byName.Delete([]byte(name))
	if !known {
		return eris.Errorf("customer %q is not known", name)
	}
	for _, key := range removed.keys {
		c.byKey.Delete(key[:])
	}
	c.digest -= removed.digest
	return nil
}

// add adds the customer at a position of the configuration.
func (c *registryChange) add(position int, definition *Definition) error {
	customer := &definition.Customer
	_, isDuplicate := c.byName.Get([]byte(customer.Name))
	switch {
	case customer.Name == "":
		return eris.Errorf("customer %d has no name", position)
	case !validName(customer.Name):
		return eris.Errorf("the name of customer %q is not a valid header value", customer.Name)
	case isDuplicate:
		return eris.Errorf("two customers are named %q", customer.Name)
	case !validRate(customer.Quota.PerSecond):
		return eris.Errorf("the rate of customer %q is negative or not finite", customer.Name)
	case !validRate(customer.Quota.Burst):
		return eris.Errorf("the burst of customer %q is negative or not finite", customer.Name)
	}
	// The holder does not keep the keys of the definition in memory.
	held := &holder{Customer: *customer, digest: definition.Digest}
	c.byName.Insert([]byte(held.Name), held)
	c.digest += held.digest
	for i, key := range definition.Keys {
		if !ValidKey(key) {
			return eris.Errorf("key %d of customer %q is empty, longer than %d bytes or not printable ASCII", i, held.Name, MaxKeyBytes)
		}
		d := keyDigest(sha256.Sum256([]byte(key)))
		switch other, known := c.byKey.Get(d[:]); {
		case !known:
		case other == held:
			return eris.Errorf("customer %q has the same key twice", held.Name)
		default:
			return eris.Errorf("customers %q and %q have the same key", other.Name, held.Name)
		}
		c.byKey.Insert(d[:], held)
		held.keys = append(held.keys, d)
	}
	return nil
}

// ValidKey reports whether a string can be a key of a customer.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for _, b := range []byte(key) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

// validName reports whether a name can be sent as the value of a header. Receivers strip
// spaces and tabs at both ends, which would make two names the same.
func validName(name string) bool {
	if strings.Trim(name, " \t") != name {
		return false
	}
	for _, b := range []byte(name) {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func validRate(rate float64) bool {
	return rate >= 0 && !math.IsInf(rate, 1)
}

// ByKey returns the customer who holds a key.
func (r *Registry) ByKey(key string) (*Customer, bool) {
	d := sha256.Sum256([]byte(key))
	return customerOf(r.byKey.Get(d[:]))
}

// ByName returns a customer by its name.
func (r *Registry) ByName(name string) (*Customer, bool) {
	return customerOf(r.byName.Get([]byte(name)))
}

func customerOf(held *holder, known bool) (*Customer, bool) {
	if !known {
		return nil, false
	}
	return &held.Customer, true
}
