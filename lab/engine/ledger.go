package labengine

import "slices"

// LedgerEntry counts the outcomes of all requests with one ID.
type LedgerEntry struct {
	ID        string `json:"id"`
	Started   int    `json:"started"`
	Finished  int    `json:"finished"`
	Cancelled int    `json:"cancelled"`
	Refused   int    `json:"refused"`
	// Tokens is the number of tokens generated for the ID, over all of its starts.
	Tokens int `json:"tokens"`
}

// ledger holds one entry for each request ID; entries are never removed.
type ledger struct {
	rowByID map[string]int
	rows    []LedgerEntry
}

func (l *ledger) entry(id string) *LedgerEntry {
	if l.rowByID == nil {
		l.rowByID = make(map[string]int)
	}
	row, ok := l.rowByID[id]
	if !ok {
		row = len(l.rows)
		l.rowByID[id] = row
		l.rows = append(l.rows, LedgerEntry{ID: id})
	}
	return &l.rows[row]
}

func (l *ledger) all() []LedgerEntry { return slices.Clone(l.rows) }
