package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/briarcross/briarcross/kv"
	"github.com/briarcross/briarcross/pb"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"go.uber.org/goleak"
)

// failingStore fails synced commits while failing is set.
type failingStore struct {
	*kv.MemoryStore
	failing atomic.Bool
}

func (s *failingStore) Commit(batch kv.Batch, sync bool) error {
	if sync && s.failing.Load() {
		return eris.New("sync failed")
	}
	return s.MemoryStore.Commit(batch, sync)
}

func TestFailedSyncStopsReplicaWithoutAcknowledging(t *testing.T) {
	defer goleak.VerifyNone(t)
	expect := NewWithT(t)
	store := &failingStore{MemoryStore: kv.NewMemoryStore()}
	storageErrors := make(chan error, 2)
	ready := make(chan struct{})
	reportReady := sync.OnceFunc(func() { close(ready) })
	options := Options{
		ID: "a", Bootstrap: replicaList("a"), TickInterval: testTick, StateMachine: claimStateMachine{},
		Send: func(*pb.QuorumMessage) {}, OnStorageError: func(err error) { storageErrors <- err },
		OnLeadershipChange: func(uint64, bool) { reportReady() },
	}
	expect.Expect(options.validateAndSetDefaults()).To(Succeed())
	r, err := start(options, store, 1)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Eventually(ready, testTimeout, testTick).Should(BeClosed())

	store.failing.Store(true)
	_, failed := r.Propose(context.Background(), claimCommand("key", "value"))
	expect.Expect(failed.GetCode()).To(Equal(pb.ControlError_UNKNOWN))
	expect.Expect(<-storageErrors).To(MatchError(ContainSubstring("sync failed")))
	_, failed = r.Propose(context.Background(), claimCommand("key", "value"))
	expect.Expect(failed.GetCode()).To(Equal(pb.ControlError_NOT_LEADER))
	expect.Expect(r.Close()).To(Succeed())
	expect.Expect(storageErrors).To(BeEmpty())
}
