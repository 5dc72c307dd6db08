package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// jobStatus holds the fields of a batch job that the demonstration reads.
type jobStatus struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Counts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// itemResult holds the fields of an item's result that the demonstration reads.
type itemResult struct {
	CustomID string          `json:"custom_id"`
	Error    json.RawMessage `json:"error"`
}

func (r itemResult) failed() bool {
	return len(r.Error) > 0 && string(r.Error) != "null"
}

func (d *demo) callJSON(method, url string, body []byte, decoded any) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/jsonl")
	request.Header.Set("Briarcross-Caller", "consultant")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("call entry: unexpected status %d: %s", response.StatusCode, responseBody)
	}
	return json.Unmarshal(responseBody, decoded)
}

func (d *demo) submitJob(entry int, lines []byte) (jobStatus, error) {
	var submitted jobStatus
	err := d.callJSON(http.MethodPost, d.cluster.EntryURL(entry)+"/v1/batches", lines, &submitted)
	return submitted, err
}

func (d *demo) readJob(id string) (jobStatus, error) {
	var job jobStatus
	err := d.callJSON(http.MethodGet, d.cluster.EntryURL(0)+"/v1/batches/"+id, nil, &job)
	return job, err
}

func (d *demo) showBatch() error {
	job, err := d.submitJob(0, d.records)
	if err != nil {
		return err
	}
	d.printf("   %d records accepted as job %s\n", job.Counts.Total, job.ID)
	resubmitted, err := d.submitJob(1, d.records)
	if err != nil {
		return err
	}
	if resubmitted.ID != job.ID {
		return eris.Errorf("resubmitting the records through another entry created a new job, %s", resubmitted.ID)
	}
	d.printf("   resubmitted through another entry: same job\n")
	err = await("the job is completed", func() (bool, error) {
		current, err := d.readJob(job.ID)
		return current.Status == "completed", err
	})
	if err != nil {
		return err
	}
	return d.checkResults(job)
}

// checkResults checks that each record has one result, in the order of the
// records, and that the number of failed records is that of the invalid ones.
func (d *demo) checkResults(submitted jobStatus) error {
	results, err := d.readResults(submitted.ID)
	if err != nil {
		return err
	}
	records, err := parseResults(d.records)
	if err != nil {
		return err
	}
	if len(results) != len(records) {
		return eris.Errorf("job has %d results for %d records", len(results), len(records))
	}
	failed := 0
	for i, r := range results {
		if r.CustomID != records[i].CustomID {
			return eris.Errorf("result %d belongs to record %s, want %s", i, r.CustomID, records[i].CustomID)
		}
		if r.failed() {
			failed++
			d.printf("   %s failed permanently: %s\n", r.CustomID, r.Error)
		}
	}
	if failed != expectedFailedRecords {
		return eris.Errorf("%d records failed, want %d", failed, expectedFailedRecords)
	}
	d.printf("   %d results, one for each record, %d done and %d failed permanently\n", len(results), len(results)-failed, failed)
	return nil
}

func (d *demo) readResults(id string) ([]itemResult, error) {
	request, err := http.NewRequest(http.MethodGet, d.cluster.EntryURL(0)+"/v1/batches/"+id+"/results", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Briarcross-Caller", "consultant")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return parseResults(responseBody)
}

func parseResults(text []byte) ([]itemResult, error) {
	var parsed []itemResult
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, len(text)+1)
	for scanner.Scan() {
		var r itemResult
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, err
		}
		parsed = append(parsed, r)
	}
	return parsed, scanner.Err()
}

// showCancellation submits a long job, cancels it while it runs, and checks that
// the engines start no further items of it.
func (d *demo) showCancellation() error {
	submitted, err := d.submitJob(0, longJobLines())
	if err != nil {
		return err
	}
	err = await("an engine has started an item of the job", func() (bool, error) {
		return d.startedItemCount(submitted.ID) > 0, nil
	})
	if err != nil {
		return err
	}
	var cancelled jobStatus
	url := d.cluster.EntryURL(1) + "/v1/batches/" + submitted.ID + "/cancel"
	if err := d.callJSON(http.MethodPost, url, nil, &cancelled); err != nil {
		return err
	}
	if cancelled.Status != "cancelled" {
		return eris.Errorf("status of the job after cancellation is %s, want cancelled", cancelled.Status)
	}
	err = await("the sidecars hold no requests", func() (bool, error) {
		return d.runningRequestCount() == 0, nil
	})
	if err != nil {
		return err
	}
	startedItems := d.startedItemCount(submitted.ID)
	job, err := d.readJob(submitted.ID)
	if err != nil {
		return err
	}
	if startedLater := d.startedItemCount(submitted.ID); startedLater != startedItems || job.Status != "cancelled" {
		return eris.Errorf("engines started %d items after the job had stopped; job status is %s", startedLater-startedItems, job.Status)
	}
	d.printf("   job of %d records cancelled through another entry; %d were started, none is still running\n", submitted.Counts.Total, startedItems)
	return nil
}
