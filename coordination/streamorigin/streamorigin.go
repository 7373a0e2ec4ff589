// Package streamorigin remembers where streams began: at which service, and at which software version of its targets. What two
// versions write does not fit together, so a stream may go on only at the version that began it, also when its caller takes
// it up through another gateway.
//
// Load pattern: two versions serve side by side, all connections of a gateway break, and hundreds of callers take their
// streams up through the other gateways, or through the same one after a restart.
package streamorigin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonhoist/tarragonhoist/state/shard"
)

const (
	// MinLife is the least time for which a stream is expected to be taken up by a caller that does not state how long it waits.
	MinLife = time.Minute
	// maxStreams bounds the streams of a Table. The least recently used ones are dropped first.
	maxStreams = 1 << 16
	// maxJournal bounds the records of a Journal.
	maxJournal = 1 << 14
)

// ID identifies a stream.
type ID uint64

// IDOf returns the ID of the stream whose first event was brought by the attempt of a caller with the given request id.
func IDOf(attempt string) ID { return ID(xxhash.Sum64String(attempt)) }

// Origin is where a stream began.
type Origin struct {
	Service         string `json:"service"`
	SoftwareVersion string `json:"software_version"`
}

// Record is the origin of one stream.
type Record struct {
	Stream ID
	Origin Origin
	// ExpiresAt is when the caller stops waiting for the stream.
	ExpiresAt time.Time
}

// Table holds the origins of streams. It is safe for concurrent use.
type Table struct {
	streams *shard.Map[ID, known]
}

type known struct {
	origin    Origin
	expiresAt time.Time
	// ambiguous is set if two origins were recorded for the stream, for example because a caller used a request id twice.
	ambiguous bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{streams: shard.New[ID, known](shard.DefaultShards, maxStreams, func(id ID) uint64 { return shard.Uint64Hash(uint64(id)) }, nil)}
}

// Put records the origin of a stream.
func (t *Table) Put(r Record) {
	t.streams.Update(r.Stream, func(k *known) {
		if *k != (known{}) && k.origin != r.Origin {
			k.ambiguous = true
		}
		k.origin = r.Origin
		if r.ExpiresAt.After(k.expiresAt) {
			k.expiresAt = r.ExpiresAt
		}
	})
}

// Get returns the origin of a stream.
func (t *Table) Get(now time.Time, stream ID) (origin Origin, ok bool) {
	t.streams.View(stream, func(k *known) {
		origin, ok = k.origin, !k.ambiguous && now.Before(k.expiresAt)
	})
	return origin, ok
}

// Journal holds the records of one process in their order, so that they can be passed on. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	records []Record
	first   uint64 // sequence number of records[0]
	// added is closed and replaced with each record.
	added chan struct{}
}

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{added: make(chan struct{})} }

// Add appends a record.
func (j *Journal) Add(r Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.records) >= maxJournal {
		j.dropLocked(1)
	}
	j.records = append(j.records, r)
	close(j.added)
	j.added = make(chan struct{})
}

// Since returns up to limit records that were added after the first n and have not expired, and the n to continue from.
// added is closed with the next record.
func (j *Journal) Since(now time.Time, n uint64, limit int) (records []Record, next uint64, added <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	expired := 0
	for expired < len(j.records) && !now.Before(j.records[expired].ExpiresAt) {
		expired++
	}
	j.dropLocked(expired)
	next = max(n, j.first)
	for _, r := range j.records[min(next-j.first, uint64(len(j.records))):] {
		if len(records) == limit {
			break
		}
		next++
		if now.Before(r.ExpiresAt) {
			records = append(records, r)
		}
	}
	return records, next, j.added
}

// dropLocked drops the oldest records.
func (j *Journal) dropLocked(n int) {
	j.records = j.records[n:]
	j.first += uint64(n)
}
