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
	// Customers replaces those of the table.
	Customers *customers.Registry
	// Digest is that of the table after the change.
	Digest uint64
}

// Settings is what a change replaces as a whole.
type Settings struct {
	Services []Service
	Limits   Limits
	Digest   uint64
}

// Apply returns the table after a change, and the places of the routes that differ. Its cost
// grows with the change, not with the table. It returns an error if the change is that of
// another version, or does not lead to the table that it was made for.
func (t *Table) Apply(c Change) (*Table, []Place, error) {
	if c.BaseVersion != t.Version || c.Version <= t.Version {
		return nil, nil, eris.Errorf("change from version %d to %d does not apply to version %d", c.BaseVersion, c.Version, t.Version)
	}
	next := &Table{
		Version: c.Version, Services: t.Services, Limits: t.Limits, SettingsDigest: t.SettingsDigest, HedgeShare: t.HedgeShare,
		Customers: c.Customers, routesDigest: t.routesDigest,
	}
	if c.Settings != nil {
		next.Services, next.Limits, next.SettingsDigest = c.Settings.Services, c.Settings.Limits, c.Settings.Digest
	}
	txn := t.byPlace.Txn()
	var changed []Place
	for _, place := range c.Removed {
		removed, known := txn.Delete(place.key())
		if !known {
			return nil, nil, eris.Errorf("no route at host %q and prefix %q to remove", place.Host, place.PathPrefix)
		}
		next.routesDigest -= removed.Digest
		changed = append(changed, place)
	}
	serviceNames := next.serviceNames()
	for i := range c.Routes {
		added := &c.Routes[i]
		if err := added.validate(serviceNames); err != nil {
			return nil, nil, err
		}
		if other, exists := txn.Insert(added.Place().key(), added); exists {
			return nil, nil, eris.Errorf("routes %s and %s have the same host and prefix", other.Name, added.Name)
		}
		next.routesDigest += added.Digest
		changed = append(changed, added.Place())
	}
	next.byPlace = txn.Commit()
	if next.Digest() != c.Digest {
		return nil, nil, eris.Errorf("the change from version %d to %d leads to another table than it was made for", c.BaseVersion, c.Version)
	}
	return next, changed, nil
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
