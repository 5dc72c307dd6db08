package routing

import (
	"github.com/rotisserie/eris"

	"github.com/briarcross/briarcross/customers"
)

// Change is the difference between a table and a later version of it.
type Change struct {
	BaseVersion uint64
	Version     uint64
	// Removed lists the places whose routes are removed before Routes are added.
	Removed []Place
	Routes  []Route
	// Settings replaces the services and limits unless it is nil.
	Settings *Settings
	// Customers replaces those of the table. ChangedCustomers names those that differ.
	Customers        *customers.Registry
	ChangedCustomers []string
	// Digest is that of the table after the change.
	Digest uint64
}

// Difference is what differs between two versions of a table: the places of routes, and the names
// of customers.
type Difference struct {
	Places    []Place
	Customers []string
}

// Add adds another difference.
func (d *Difference) Add(other Difference) {
	d.Places = append(d.Places, other.Places...)
	d.Customers = append(d.Customers, other.Customers...)
}

// Settings is what a change replaces as a whole.
type Settings struct {
	Services []Service
	Limits   Limits
	Digest   uint64
}

// Apply returns the table after a change, and what differs. Its cost
// grows with the change, not with the table. It returns an error if the change is that of
// another version, or does not lead to the table that it was made for.
func (t *Table) Apply(c Change) (*Table, Difference, error) {
	none := Difference{}
	if c.BaseVersion != t.Version || c.Version <= t.Version {
		return nil, none, eris.Errorf("change from version %d to %d does not apply to version %d", c.BaseVersion, c.Version, t.Version)
	}
	next := &Table{
		Version: c.Version, Services: t.Services, Limits: t.Limits, SettingsDigest: t.SettingsDigest, HedgeShare: t.HedgeShare,
		Customers: c.Customers, routesDigest: t.routesDigest,
	}
	if c.Settings != nil {
		next.Services, next.Limits, next.SettingsDigest = c.Settings.Services, c.Settings.Limits, c.Settings.Digest
	}
	txn := t.byPlace.Txn()
	difference := Difference{Customers: c.ChangedCustomers}
	for _, place := range c.Removed {
		removed, known := txn.Delete(place.key())
		if !known {
			return nil, none, eris.Errorf("no route at host %q and prefix %q to remove", place.Host, place.PathPrefix)
		}
		next.routesDigest -= removed.Digest
		difference.Places = append(difference.Places, place)
	}
	serviceNames := next.serviceNames()
	for i := range c.Routes {
		added := &c.Routes[i]
		if err := added.validate(serviceNames); err != nil {
			return nil, none, err
		}
		if other, exists := txn.Insert(added.Place().key(), added); exists {
			return nil, none, eris.Errorf("routes %s and %s have the same host and prefix", other.Name, added.Name)
		}
		next.routesDigest += added.Digest
		difference.Places = append(difference.Places, added.Place())
	}
	next.byPlace = txn.Commit()
	if next.Digest() != c.Digest {
		return nil, none, eris.Errorf("the change from version %d to %d leads to another table than it was made for", c.BaseVersion, c.Version)
	}
	return next, difference, nil
}

// Digest returns the sum of the digests of all elements of the table. It does not depend on
// their order.
func (t *Table) Digest() uint64 {
	digest := t.routesDigest + t.SettingsDigest
	if t.Customers != nil {
		digest += t.Customers.Digest()
	}
	return digest
}
