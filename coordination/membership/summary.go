package membership

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/protocol/targetapi"
)

// summaryLeases is the lifetime of a summary in target leases. Summaries may live longer than entries: they are relayed
// by more instances, and the receiving data centre checks the target again before it dispatches.
const summaryLeases = 3

// maxSummaries limits the stored summaries of other data centres. It allows for 500 models, as many adapters and
// services, and 6 data centres.
const maxSummaries = 16384

// ModelSummary tells other data centres how many targets a data centre has for one model, adapter or plain service.
type ModelSummary struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	// Name is the model or, if Service is set, the plain service.
	Name    string
	Adapter string
	Service bool
	// Ready counts the usable targets, FreeWork is the sum of their free slots, Leaving counts the draining targets.
	Ready    int
	FreeWork int
	Leaving  int
	// AgeMs is the time since the data centre computed the summary.
	AgeMs uint32
}

// summaryKey identifies a model, adapter or plain service in any data centre.
type summaryKey struct {
	name, adapter string
	service       bool
}

type summaryRecord struct {
	summary ModelSummary
	madeAt  time.Time
}

// remoteSummaries holds the summaries of other data centres and the index of the summary that was sent last.
type remoteSummaries struct {
	mu sync.Mutex
	// items is keyed by name and data centre; size is the number of its records.
	items  map[summaryKey]map[string]summaryRecord
	size   int
	cursor int
}

// Summarise returns the sorted summaries of this data centre, one for each model, adapter and plain service.
func (t *Table) Summarise(now time.Time) []ModelSummary {
	counts := make(map[summaryKey]*ModelSummary)
	for _, entry := range t.All() {
		if !now.Before(entry.ExpiresAt) {
			continue
		}
		for _, key := range summaryKeys(&entry.Announcement) {
			s := counts[key]
			if s == nil {
				s = &ModelSummary{DataCentre: entry.Announcement.DataCentre, Name: key.name, Adapter: key.adapter, Service: key.service}
				counts[key] = s
			}
			if entry.Announcement.Leaving {
				s.Leaving++
				continue
			}
			s.Ready++
			s.FreeWork += entry.FreeWork()
		}
	}
	list := make([]ModelSummary, 0, len(counts))
	for _, s := range counts {
		list = append(list, *s)
	}
	sortSummaries(list)
	return list
}

func summaryKeys(a *targetapi.Announcement) []summaryKey {
	if a.Kind == targetapi.Service {
		return []summaryKey{{name: a.Service, service: true}}
	}
	notLeaving := *a
	notLeaving.Leaving = false
	var names []summaryKey
	for _, key := range indexKeys(&notLeaving) {
		parts := strings.Split(key, "\x00")
		names = append(names, summaryKey{name: parts[1], adapter: parts[2]})
	}
	return names
}

func sortSummaries(list []ModelSummary) {
	slices.SortFunc(list, func(a, b ModelSummary) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// Summaries returns a frame of at most limitBytes with summaries for another instance. Successive frames cycle through
// all summaries. relay includes those received from other data centres, for instances of the same data centre.
func (t *Table) Summaries(now time.Time, limitBytes int, relay bool) ([]byte, error) {
	if limitBytes < MinDeltaBytes {
		return nil, errors.Errorf("byte limit %d of a summary frame is below %d", limitBytes, MinDeltaBytes)
	}
	list := t.Summarise(now)
	if relay {
		list = append(list, t.receivedSummaries(now)...)
	}
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	var items []cbor.RawMessage
	remaining := limitBytes - frameOverheadBytes
	for range list {
		r.cursor = (r.cursor + 1) % len(list)
		data, err := cbor.Marshal(&list[r.cursor])
		if err != nil {
			return nil, errors.Wrap(err, "encode a summary")
		}
		if len(data) > remaining {
			r.cursor--
			break
		}
		remaining -= len(data)
		items = append(items, data)
	}
	return cbor.Marshal(items)
}

func (t *Table) receivedSummaries(now time.Time) []ModelSummary {
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ModelSummary
	for _, byDataCentre := range r.items {
		list = append(list, t.unexpiredSummaries(now, byDataCentre)...)
	}
	sortSummaries(list)
	return list
}

// unexpiredSummaries returns the summaries that have not expired, with their current age.
func (t *Table) unexpiredSummaries(now time.Time, byDataCentre map[string]summaryRecord) []ModelSummary {
	var list []ModelSummary
	for _, record := range byDataCentre {
		if !t.summaryExpired(now, record.madeAt) {
			s := record.summary
			s.AgeMs = ageMs(now, record.madeAt)
			list = append(list, s)
		}
	}
	return list
}

func (t *Table) summaryExpired(now, madeAt time.Time) bool {
	return now.Sub(madeAt) >= summaryLeases*t.opts.TargetLease
}

// MergeSummaries stores the summaries of a frame. maxTransit is as in Merge. A summary replaces only an older one.
func (t *Table) MergeSummaries(now time.Time, maxTransit time.Duration, data []byte) error {
	var list []ModelSummary
	if err := cbor.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "decode a summary frame")
	}
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		r.items = make(map[summaryKey]map[string]summaryRecord)
	}
	for _, s := range list {
		madeAt := now.Add(-max(maxTransit, 0) - time.Duration(s.AgeMs)*time.Millisecond)
		if s.DataCentre == t.opts.DataCentre || s.DataCentre == "" || t.summaryExpired(now, madeAt) {
			continue
		}
		if err := t.storeSummary(now, s, madeAt); err != nil {
			return err
		}
	}
	return nil
}

// storeSummary stores a summary unless the stored one is as new. remote.mu is held.
func (t *Table) storeSummary(now time.Time, s ModelSummary, madeAt time.Time) error {
	r := &t.remote
	key := summaryKey{name: s.Name, adapter: s.Adapter, service: s.Service}
	old, ok := r.items[key][s.DataCentre]
	if ok && !madeAt.After(old.madeAt) {
		return nil
	}
	if !ok {
		if r.size >= maxSummaries {
			t.dropExpiredSummaries(now)
		}
		if r.size >= maxSummaries {
			return errors.Errorf("table of summaries is full: %d summaries of other data centres", maxSummaries)
		}
		if r.items[key] == nil {
			r.items[key] = make(map[string]summaryRecord)
		}
		r.size++
	}
	r.items[key][s.DataCentre] = summaryRecord{summary: s, madeAt: madeAt}
	return nil
}

// dropExpiredSummaries is called when the table of summaries is full. remote.mu is held.
func (t *Table) dropExpiredSummaries(now time.Time) {
	for key, byDataCentre := range t.remote.items {
		for dataCentre, record := range byDataCentre {
			if t.summaryExpired(now, record.madeAt) {
				delete(byDataCentre, dataCentre)
				t.remote.size--
			}
		}
		if len(byDataCentre) == 0 {
			delete(t.remote.items, key)
		}
	}
}

// RemoteReplicas returns the summaries of a model and adapter from other data centres with a usable target for them.
func (t *Table) RemoteReplicas(now time.Time, model, adapter string) []ModelSummary {
	return t.readySummaries(now, summaryKey{name: model, adapter: adapter})
}

// RemoteServices returns the summaries of a plain service from the other data centres with a usable target for it.
func (t *Table) RemoteServices(now time.Time, name string) []ModelSummary {
	return t.readySummaries(now, summaryKey{name: name, service: true})
}

func (t *Table) readySummaries(now time.Time, key summaryKey) []ModelSummary {
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(t.unexpiredSummaries(now, r.items[key]), func(s ModelSummary) bool { return s.Ready == 0 })
	sortSummaries(list)
	return list
}
