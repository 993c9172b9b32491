package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Record is a replicated key-value entry. Of two records with the same key, the one
// with the higher stamp wins.
type Record struct {
	Key     string
	Stamp   uint64
	Payload []byte
}

// DigestBuckets is the number of buckets of records, each with a hash in a Digest.
const DigestBuckets = 64

// Digest holds one hash per bucket of records.
type Digest [DigestBuckets]uint64

// store holds the records by key and keeps the hash of each bucket up to date.
type store struct {
	records map[string]Record
	buckets [DigestBuckets]map[string]struct{}
	digest  Digest
}

func newStore() *store {
	s := &store{records: map[string]Record{}}
	for i := range s.buckets {
		s.buckets[i] = map[string]struct{}{}
	}
	return s
}

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % DigestBuckets) }

// recordHash returns the hash of a record's key and stamp.
func recordHash(r Record) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], r.Stamp)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// putIfNewer stores a record unless one with the same or a higher stamp is stored. It
// reports whether it stored the record.
func (s *store) putIfNewer(r Record) bool {
	old, known := s.records[r.Key]
	if known && old.Stamp >= r.Stamp {
		return false
	}
	b := bucketOf(r.Key)
	if known {
		s.digest[b] ^= recordHash(old)
	}
	s.digest[b] ^= recordHash(r)
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
	s.digest[b] ^= recordHash(old)
	delete(s.records, key)
	delete(s.buckets[b], key)
}

// differing returns the records in the buckets whose hash differs from that in d.
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
