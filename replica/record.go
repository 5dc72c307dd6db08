package replica

import (
	"encoding/binary"

	"github.com/briarcross/briarcross/kv"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Keys of the store. The prefixes are followed by the index of a log entry, or
// by the generation and a key of the state machine.
const (
	keyApplied    = "applied"
	keyBase       = "base"
	keyBootstrap  = "bootstrap"
	keyGeneration = "generation"
	keyHardState  = "hardstate"
	keyIdentity   = "identity"
	keyStarts     = "starts"
	keyWrites     = "writes"
	prefixLog     = "log/"
	prefixMachine = "machine/"
)

const checksumBytes = 8

func logKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(prefixLog), index)
}

func machinePrefix(generation uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(prefixMachine), generation)
}

func recordChecksum(key, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(key)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// addChecksum prepends a checksum of key and payload to the payload.
func addChecksum(key, payload []byte) []byte {
	value := make([]byte, 0, checksumBytes+len(payload))
	value = binary.BigEndian.AppendUint64(value, recordChecksum(key, payload))
	return append(value, payload...)
}

// verifyChecksum verifies the checksum and returns the payload without it.
func verifyChecksum(key, value []byte) ([]byte, error) {
	if len(value) < checksumBytes {
		return nil, eris.Errorf("record %q is damaged: its %d bytes are shorter than a checksum", key, len(value))
	}
	payload := value[checksumBytes:]
	if binary.BigEndian.Uint64(value) != recordChecksum(key, payload) {
		return nil, eris.Errorf("record %q is damaged: its checksum does not match", key)
	}
	return payload, nil
}

func setMessage(batch kv.Batch, key []byte, m proto.Message) {
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(eris.Wrapf(err, "encode record %q", key))
	}
	batch.Set(key, addChecksum(key, payload))
}

// readMessage reads a record into m and reports whether the record exists.
func readMessage(reader kv.Reader, key string, m proto.Message) (bool, error) {
	value, ok := reader.Get([]byte(key))
	if !ok {
		return false, nil
	}
	return true, decodeMessage([]byte(key), value, m)
}

func decodeMessage(key, value []byte, m proto.Message) error {
	payload, err := verifyChecksum(key, value)
	if err != nil {
		return err
	}
	return eris.Wrapf(proto.Unmarshal(payload, m), "record %q is damaged", key)
}

func setNumber(batch kv.Batch, key string, n uint64) {
	batch.Set([]byte(key), addChecksum([]byte(key), binary.BigEndian.AppendUint64(nil, n)))
}

// readNumber reads a number. It returns zero if there is none.
func readNumber(reader kv.Reader, key string) (uint64, error) {
	value, ok := reader.Get([]byte(key))
	if !ok {
		return 0, nil
	}
	payload, err := verifyChecksum([]byte(key), value)
	if err != nil {
		return 0, err
	}
	if len(payload) != 8 {
		return 0, eris.Errorf("record %q is damaged: its number has %d bytes instead of 8", key, len(payload))
	}
	return binary.BigEndian.Uint64(payload), nil
}

func encodeNumbers(numbers ...uint64) []byte {
	var raw []byte
	for _, n := range numbers {
		raw = binary.BigEndian.AppendUint64(raw, n)
	}
	return raw
}
