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

// summaryLeases is the life of a summary in target leases. Summaries pass through more instances than entries, and
// the receiving data centre checks the target again before it dispatches.
const summaryLeases = 3

// maxSummaries bounds the summaries of other data centres: 500 models, as many adapters and services, 6 data centres.
const maxSummaries = 16384

// ModelSummary is what another data centre needs to know of one model, adapter or plain service.
type ModelSummary struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	// Name is the model or, if Service is set, the plain service.
	Name    string
	Adapter string
	Service bool
	// Ready counts the targets that may get new work and FreeWork their free slots. Leaving counts those that drain.
	Ready    int
	FreeWork int
	Leaving  int
	// AgeMs is the time since the summary was made.
	AgeMs uint32
}

// summaryName names what is summarised, apart from the data centre.
type summaryName struct {
	name, adapter string
	service       bool
}

type summaryRecord struct {
	summary ModelSummary
	madeAt  time.Time
}

// remoteSummaries holds the summaries of other data centres and the place up to which the own ones were sent.
type remoteSummaries struct {
	mu sync.Mutex
	// items is by name and data centre; size counts its records.
	items  map[summaryName]map[string]summaryRecord
	size   int
	cursor int
}

// Summarise counts the targets of this data centre per model, adapter and plain service, sorted.
func (t *Table) Summarise(now time.Time) []ModelSummary {
	counts := make(map[summaryName]*ModelSummary)
	for _, entry := range t.All() {
		if !now.Before(entry.ExpiresAt) {
			continue
		}
		for _, key := range summaryNames(&entry.Announcement) {
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

func summaryNames(a *targetapi.Announcement) []summaryName {
	if a.Kind == targetapi.Service {
		return []summaryName{{name: a.Service, service: true}}
	}
	staying := *a
	staying.Leaving = false
	var names []summaryName
	for _, key := range keysOf(&staying) {
		part := strings.Split(key, "\x00")
		names = append(names, summaryName{name: part[1], adapter: part[2]})
	}
	return names
}

func sortSummaries(list []ModelSummary) {
	slices.SortFunc(list, func(a, b ModelSummary) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// Summaries returns a frame of at most limitBytes with summaries for another instance. Successive frames go round all
// of them. relay includes those received from other data centres, for instances of the same data centre.
func (t *Table) Summaries(now time.Time, limitBytes int, relay bool) ([]byte, error) {
	if limitBytes < MinDeltaBytes {
		return nil, errors.Errorf("byte limit %d of a summary frame is below %d", limitBytes, MinDeltaBytes)
	}
	list := t.Summarise(now)
	if relay {
		list = append(list, t.received(now)...)
	}
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	var items []cbor.RawMessage
	left := limitBytes - frameOverheadBytes
	for range list {
		r.cursor = (r.cursor + 1) % len(list)
		data, err := cbor.Marshal(&list[r.cursor])
		if err != nil {
			return nil, errors.Wrap(err, "encode a summary")
		}
		if len(data) > left {
			r.cursor--
			break
		}
		left -= len(data)
		items = append(items, data)
	}
	return cbor.Marshal(items)
}

func (t *Table) received(now time.Time) []ModelSummary {
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ModelSummary
	for _, byCentre := range r.items {
		list = append(list, t.fresh(now, byCentre)...)
	}
	sortSummaries(list)
	return list
}

// fresh lists the records that have not expired, with their age.
func (t *Table) fresh(now time.Time, byCentre map[string]summaryRecord) []ModelSummary {
	var list []ModelSummary
	for _, record := range byCentre {
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

// MergeSummaries takes a frame of summaries. transit is as in Merge. A summary replaces an older one only.
func (t *Table) MergeSummaries(now time.Time, transit time.Duration, data []byte) error {
	var list []ModelSummary
	if err := cbor.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "summary frame")
	}
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		r.items = make(map[summaryName]map[string]summaryRecord)
	}
	for _, s := range list {
		madeAt := now.Add(-max(transit, 0) - time.Duration(s.AgeMs)*time.Millisecond)
		if s.DataCentre == t.opts.DataCentre || s.DataCentre == "" || t.summaryExpired(now, madeAt) {
			continue
		}
		if err := t.storeSummary(now, s, madeAt); err != nil {
			return err
		}
	}
	return nil
}

// storeSummary keeps a summary that is newer than the stored one. remote.mu is held.
func (t *Table) storeSummary(now time.Time, s ModelSummary, madeAt time.Time) error {
	r := &t.remote
	key := summaryName{name: s.Name, adapter: s.Adapter, service: s.Service}
	old, ok := r.items[key][s.DataCentre]
	if ok && !madeAt.After(old.madeAt) {
		return nil
	}
	if !ok {
		if r.size >= maxSummaries {
			t.dropExpiredSummaries(now)
		}
		if r.size >= maxSummaries {
			return errors.Errorf("more than %d summaries of other data centres", maxSummaries)
		}
		if r.items[key] == nil {
			r.items[key] = make(map[string]summaryRecord)
		}
		r.size++
	}
	r.items[key][s.DataCentre] = summaryRecord{summary: s, madeAt: madeAt}
	return nil
}

// dropExpiredSummaries makes room. remote.mu is held.
func (t *Table) dropExpiredSummaries(now time.Time) {
	for key, byCentre := range t.remote.items {
		for dataCentre, record := range byCentre {
			if t.summaryExpired(now, record.madeAt) {
				delete(byCentre, dataCentre)
				t.remote.size--
			}
		}
		if len(byCentre) == 0 {
			delete(t.remote.items, key)
		}
	}
}

// RemoteReplicas returns the summaries of a model and adapter in other data centres that have a ready target.
func (t *Table) RemoteReplicas(now time.Time, model, adapter string) []ModelSummary {
	return t.remoteReady(now, summaryName{name: model, adapter: adapter})
}

// RemoteServices returns the summaries of a plain service in other data centres that have a target.
func (t *Table) RemoteServices(now time.Time, name string) []ModelSummary {
	return t.remoteReady(now, summaryName{name: name, service: true})
}

func (t *Table) remoteReady(now time.Time, name summaryName) []ModelSummary {
	r := &t.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(t.fresh(now, r.items[name]), func(s ModelSummary) bool { return s.Ready == 0 })
	sortSummaries(list)
	return list
}
