// Package events logs numbered events and keeps the latest ones in memory, from which the timeline of all processes is
// built.
package events

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Capacity is the number of events that an instance keeps.
const Capacity = 10_000

// Fields are the details of one event. They never hold tokens, keys or message contents.
type Fields map[string]any

// Record is one recorded event.
type Record struct {
	AtUs       int64  `json:"at_us"`
	Sequence   uint64 `json:"sequence"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Number     int    `json:"number"`
	Name       string `json:"name"`
	Fields     Fields `json:"fields,omitempty"`
}

// Recorder logs events and keeps the latest ones in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	log        *logrus.Logger
	instance   string
	dataCentre string
	now        func() time.Time
	onEvent    func(Definition)

	capacity uint64

	mu       sync.Mutex
	ring     []Record
	sequence uint64
}

// NewRecorder returns a recorder for one instance that keeps Capacity events.
func NewRecorder(log *logrus.Logger, instance, dataCentre string, now func() time.Time) *Recorder {
	return NewBoundedRecorder(log, instance, dataCentre, now, Capacity)
}

// NewBoundedRecorder returns a recorder that keeps the given number of events, for processes with little memory.
func NewBoundedRecorder(log *logrus.Logger, instance, dataCentre string, now func() time.Time, capacity int) *Recorder {
	return &Recorder{log: log, instance: instance, dataCentre: dataCentre, now: now, capacity: uint64(capacity),
		ring: make([]Record, 0, min(capacity, 256))}
}

// Record writes one event to the log and to the ring buffer. Debug events are only logged: at one or more per request
// they would evict the rarer events.
func (r *Recorder) Record(d Definition, fields Fields) {
	fields = bounded(fields)
	entry := r.log.WithFields(logrus.Fields(fields)).WithField("event", d.Number)
	entry.Log(d.Level, d.Name)
	if r.onEvent != nil {
		r.onEvent(d)
	}
	if d.Level >= logrus.DebugLevel {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	record := Record{
		AtUs: r.now().UnixMicro(), Sequence: r.sequence, Instance: r.instance, DataCentre: r.dataCentre,
		Number: d.Number, Name: d.Name, Fields: fields,
	}
	if uint64(len(r.ring)) < r.capacity {
		r.ring = append(r.ring, record)
		return
	}
	r.ring[(r.sequence-1)%r.capacity] = record
}

// maxFieldBytes bounds a text in a field. Clients and targets choose some of them, such as paths and ids, and the events are kept.
const maxFieldBytes = 1024

// bounded returns the fields with texts that are at most maxFieldBytes long and refer to no longer one.
func bounded(fields Fields) Fields {
	for _, value := range fields {
		if text, ok := value.(string); !ok || len(text) <= maxFieldBytes {
			continue
		}
		shortened := make(Fields, len(fields))
		maps.Copy(shortened, fields)
		for name, value := range shortened {
			if text, ok := value.(string); ok && len(text) > maxFieldBytes {
				shortened[name] = fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(text[:maxFieldBytes], ""), len(text))
			}
		}
		return shortened
	}
	return fields
}

// Since returns the kept events after a sequence number, oldest first. If there are more than limit, it returns the
// latest ones.
func (r *Recorder) Since(sequence uint64, limit int) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(1)
	if r.sequence > r.capacity {
		oldest = r.sequence - r.capacity + 1
	}
	first := max(sequence+1, oldest)
	if r.sequence >= first && r.sequence-first+1 > uint64(limit) {
		first = r.sequence - uint64(limit) + 1
	}
	var records []Record
	for s := first; s <= r.sequence; s++ {
		records = append(records, r.ring[(s-1)%r.capacity])
	}
	return records
}

// OnEvent sets a function that is called for every event. Call it before the first event is recorded.
func (r *Recorder) OnEvent(f func(Definition)) { r.onEvent = f }
