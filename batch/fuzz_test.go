package batch

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
)

// FuzzIntake checks that any input is either accepted whole, with as many
// items as it has lines that are not blank, or refused and removed whole.
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
			JobID:        "job",
			Caller:       "caller",
			Key:          "key",
			Endpoint:     simEndpoint,
			ChunkItems:   2,
			MaxLineBytes: 4096,
		})
		job, err := intake.Read(context.Background(), bytes.NewReader(input), propose)
		if err == nil {
			checkAccepted(t, input, job)
			return
		}
		var lineError *LineError
		if !errors.As(err, &lineError) || lineError.Line == 0 {
			t.Fatalf("error %v does not name a line", err)
		}
		store.Scan([]byte{keyPrefix}, nil, func(key, _ []byte) bool {
			t.Fatalf("key %q is left of a refused job", key)
			return false
		})
	})
}

func checkAccepted(t *testing.T, input []byte, job *pb.Job) {
	t.Helper()
	lines := uint32(0)
	for _, line := range bytes.Split(input, []byte("\n")) {
		if len(bytes.TrimSpace(line)) > 0 {
			lines++
		}
	}
	if job.GetState() != pb.JobState_JOB_RUNNING || job.GetItems() != lines {
		t.Fatalf("%d lines were accepted as %v with %d items", lines, job.GetState(), job.GetItems())
	}
}
