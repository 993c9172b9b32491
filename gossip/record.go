package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Record is a replicated item; of two with the same key the higher stamp wins.
type Record struct {
	Key     string
	Stamp   uint64
	Payload []byte
}

// Buckets is the number of buckets whose hashes a Sync compares.
const Buckets = 64

// Digest holds the hash of each bucket.
type Digest [Buckets]uint64

// store holds the records with their bucket hashes.
type store struct {
	records map[string]Record
	buckets [Buckets]map[string]struct{}
	digest  Digest
}

func newStore() *store {
	s := &store{records: map[string]Record{}}
	for i := range s.buckets {
		s.buckets[i] = map[string]struct{}{}
	}
	return s
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// mark is the hash of a record's key and stamp.
func mark(r Record) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], r.Stamp)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// put takes over a record if it is newer; false if it is not.
func (s *store) put(r Record) bool {
	old, known := s.records[r.Key]
	if known && old.Stamp >= r.Stamp {
		return false
	}
	b := bucketOf(r.Key)
	if known {
		s.digest[b] ^= mark(old)
	}
	s.digest[b] ^= mark(r)
	s.records[r.Key] = r
	s.buckets[b][r.Key] = struct{}{}
	return true
}

func (s *store) remove(key string) {
	old, known := s.records[key]
	if !known {
		return
	}
	b := bucketOf(key)
	s.digest[b] ^= mark(old)
	delete(s.records, key)
	delete(s.buckets[b], key)
}

// differing returns the records in buckets whose hash is not that of d.
func (s *store) differing(d Digest) []Record {
	var out []Record
	for b := range s.buckets {
		if s.digest[b] == d[b] {
			continue
		}
		for key := range s.buckets[b] {
			out = append(out, s.records[key])
		}
	}
	return out
}
