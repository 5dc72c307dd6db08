package load

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
)

// checkLedgers adds a violation for each non-idempotent request that started
// more than once, summed over the ledgers of all engines.
func (r *Runner) checkLedgers(ctx context.Context) {
	if len(r.plan.Engines) == 0 {
		return
	}
	slices.Sort(r.nonIdempotentIDs)
	starts := make(map[string]int)
	for _, baseURL := range r.plan.Engines {
		entries, err := fetchLedger(ctx, baseURL)
		if err != nil {
			r.addViolation("the ledger of %s could not be read: %v", baseURL, err)
			continue
		}
		for _, entry := range entries {
			starts[entry.ID] += entry.Started
		}
	}
	for _, id := range r.nonIdempotentIDs {
		if starts[id] > 1 {
			r.addViolation("request %s may run once only and started %d times", id, starts[id])
		}
	}
}

func fetchLedger(ctx context.Context, baseURL string) ([]labengine.LedgerEntry, error) {
	client := engine.NewPlainClient(baseURL, engine.Options{})
	defer client.Close()
	var body []byte
	request := engine.Request{Method: "GET", Path: labengine.PathLedger}
	result := client.Run(ctx, request, func(part engine.ResponsePart) error {
		if data, ok := part.(engine.ResponseData); ok {
			body = append(body, data.Payload...)
		}
		return nil
	})
	if result.Err != nil {
		return nil, result.Err
	}
	var entries []labengine.LedgerEntry
	err := json.Unmarshal(body, &entries)
	return entries, err
}
