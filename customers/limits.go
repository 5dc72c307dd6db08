package customers

// Limits returns the quotas by the names of the customers that have one.
func (r *Registry) Limits() map[string]Quota {
	limits := make(map[string]Quota)
	r.byName.Root().Walk(func(_ []byte, held *holder) bool {
		if held.Quota.Limited() {
			limits[held.Name] = held.Quota
		}
		return false
	})
	return limits
}
