package load

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/briarcross/briarcross/engine"
	labengine "github.com/briarcross/briarcross/lab/engine"
)

// checkLedgers asks the fake engines how often each request that may run once
// only has started, over all engines together.
func (r *Runner) checkLedgers(ctx context.Context) {
	if len(r.plan.Engines) == 0 {
		return
	}
	slices.Sort(r.once)
	starts := make(map[string]int)
	for _, base := range r.plan.Engines {
		entries, err := fetchLedger(ctx, base)
		if err != nil {
			r.violate("the ledger of %s could not be read: %v", base, err)
			continue
		}
		for _, entry := range entries {
			starts[entry.ID] += entry.Started
		}
	}
	for _, id := range r.once {
		if starts[id] > 1 {
			r.violate("request %s may run once only and started %d times", id, starts[id])
		}
	}
}

func fetchLedger(ctx context.Context, base string) ([]labengine.LedgerEntry, error) {
	client := engine.NewPlainClient(base, engine.Options{})
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
