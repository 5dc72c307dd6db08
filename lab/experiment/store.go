package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Record is the content of one results file: the measures of one commit.
type Record struct {
	// Commit names the revision that was measured.
	Commit string `json:"commit"`
	// UnixSeconds is the time of the latest run.
	UnixSeconds int64     `json:"unix_seconds"`
	Seed        uint64    `json:"seed"`
	Machine     string    `json:"machine"`
	Measures    []Measure `json:"measures"`
}

const (
	dirMode        = 0o755
	resultFileMode = 0o644
)

// Save writes a record to the file COMMIT.json in dir. It keeps measures of other
// names that the file already contains, so a run of one experiment replaces only
// the measures of that experiment.
func Save(dir string, record Record) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "experiment: create results directory")
	}
	file := filepath.Join(dir, record.Commit+".json")
	earlier, err := readRecord(file)
	if err != nil && !os.IsNotExist(eris.Cause(err)) {
		return err
	}
	record.Measures = mergeMeasures(earlier.Measures, record.Measures)
	text, err := json.MarshalIndent(record, "", "  ")
	if err != nil {
		return eris.Wrap(err, "experiment: encode results")
	}
	return eris.Wrap(os.WriteFile(file, append(text, '\n'), resultFileMode), "experiment: write results")
}

func mergeMeasures(earlier, later []Measure) []Measure {
	merged := slices.DeleteFunc(slices.Clone(earlier), func(m Measure) bool {
		return slices.ContainsFunc(later, func(l Measure) bool { return l.Name == m.Name })
	})
	return append(merged, later...)
}

func readRecord(file string) (Record, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Record{}, eris.Wrap(err, "experiment: read results")
	}
	var record Record
	err = json.Unmarshal(text, &record)
	return record, eris.Wrapf(err, "experiment: decode %s", file)
}

// ReadHistory returns all records in dir, oldest first.
func ReadHistory(dir string) ([]Record, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, eris.Wrap(err, "experiment: list results")
	}
	var records []Record
	for _, file := range files {
		record, err := readRecord(file)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int {
		if a.UnixSeconds != b.UnixSeconds {
			return int(a.UnixSeconds - b.UnixSeconds)
		}
		return strings.Compare(a.Commit, b.Commit)
	})
	return records, nil
}

// PreviousValue returns the value of a measure, and the commit, of the latest
// record that contains the measure and belongs to another commit than the given
// one. It returns false if there is no such record.
func PreviousValue(records []Record, commit, name string) (float64, string, bool) {
	for _, record := range slices.Backward(records) {
		if record.Commit == commit {
			continue
		}
		for _, m := range record.Measures {
			if m.Name == name {
				return m.Value, record.Commit, true
			}
		}
	}
	return 0, "", false
}
