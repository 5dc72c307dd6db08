package batch

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// FuzzIntake checks that any input is either accepted, with one item for each
// line that is not blank, or rejected with a LineError without leaving any key in
// the store.
func FuzzIntake(f *testing.F) {
	line := `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}`
	f.Add([]byte(line))
	f.Add([]byte(line + "\n\n" + line + "\r\n"))
	f.Add([]byte(line + line))
	f.Add([]byte("{}\n"))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/completions","body":{}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":[1]}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{}}x`))
	f.Add([]byte(" \n\t\n"))
	f.Add([]byte{0xff, 0x00, '\n'})
	f.Fuzz(func(t *testing.T, input []byte) {
		store := kv.NewMemoryStore()
		state := NewState()
		index := uint64(0)
		propose := func(_ context.Context, c *pb.Command) (*pb.CommandResult, *pb.ControlError) {
			index++
			b := store.NewBatch()
			result, _ := state.Apply(b, index, c)
			if err := store.Commit(b, false); err != nil {
				t.Fatal(err)
			}
			return result, nil
		}
		intake := NewIntake(IntakeOptions{
			JobID:          "job",
			Caller:         "caller",
			IdempotencyKey: "key",
			Endpoint:       simEndpoint,
			ChunkItems:     2,
			MaxLineBytes:   4096,
		})
		job, err := intake.Submit(context.Background(), bytes.NewReader(input), propose)
		if err == nil {
			checkAccepted(t, input, job)
			return
		}
		var lineError *LineError
		if !errors.As(err, &lineError) || lineError.Line == 0 {
			t.Fatalf("error %v is not a LineError with a line number", err)
		}
		store.Scan([]byte{storePrefix}, nil, func(key, _ []byte) bool {
			t.Fatalf("key %q of a rejected job is left in the store", key)
			return false
		})
	})
}

func checkAccepted(t *testing.T, input []byte, job *pb.Job) {
	t.Helper()
	wantItems := uint32(0)
	for _, line := range bytes.Split(input, []byte("\n")) {
		if len(bytes.TrimSpace(line)) > 0 {
			wantItems++
		}
	}
	if job.GetState() != pb.JobState_JOB_RUNNING || job.GetItems() != wantItems {
		t.Fatalf("a job of %d lines is %v with %d items, want JOB_RUNNING with one item for each line", wantItems, job.GetState(), job.GetItems())
	}
}
