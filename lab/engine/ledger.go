package labengine

import "slices"

// LedgerEntry counts what happened to the requests with one ID.
type LedgerEntry struct {
	ID        string `json:"id"`
	Started   int    `json:"started"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Refused   int    `json:"refused"`
	// Tokens generated for the ID, over all of its starts.
	Tokens int `json:"tokens"`
}

// ledger keeps one entry for each request ID for the life of the engine.
type ledger struct {
	byID  map[string]int
	table []LedgerEntry
}

func (l *ledger) entry(id string) *LedgerEntry {
	if l.byID == nil {
		l.byID = make(map[string]int)
	}
	row, ok := l.byID[id]
	if !ok {
		row = len(l.table)
		l.byID[id] = row
		l.table = append(l.table, LedgerEntry{ID: id})
	}
	return &l.table[row]
}

func (l *ledger) all() []LedgerEntry { return slices.Clone(l.table) }
