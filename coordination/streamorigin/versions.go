package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Versions remembers which software versions of each service have served lately. It is safe for concurrent use.
type Versions struct {
	mu     sync.Mutex
	seenAt map[Origin]time.Time
	// since is the time from which on all versions are known.
	since time.Time
	// life is the longest time from the begin of a stream until its caller takes it up for the last time.
	life time.Duration
	// forgot is set once a version was dropped.
	forgot bool
}

// NewVersions returns a Versions whose observation starts now.
func NewVersions(now time.Time) *Versions {
	return &Versions{since: now, life: MinLife, seenAt: make(map[Origin]time.Time)}
}

// VersionHistory is what a Versions knows, in a form that outlives its process.
type VersionHistory struct {
	// Versions are sorted.
	Versions []Origin      `json:"versions"`
	Complete bool          `json:"complete"`
	Life     time.Duration `json:"life_ns"`
}

// Equal reports whether two histories are the same.
func (h VersionHistory) Equal(other VersionHistory) bool {
	return h.Complete == other.Complete && h.Life == other.Life && slices.Equal(h.Versions, other.Versions)
}

// History returns what is known now.
func (v *Versions) History(now time.Time) VersionHistory {
	v.mu.Lock()
	defer v.mu.Unlock()
	h := VersionHistory{Complete: v.completeLocked(now), Life: v.life}
	for o := range v.seenAt {
		h.Versions = append(h.Versions, o)
	}
	slices.SortFunc(h.Versions, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.SoftwareVersion, b.SoftwareVersion))
	})
	return h
}

// Restore adds the history of an earlier process of the same instance. Its versions count as observed now, since the time since
// the end of that process is not known.
func (v *Versions) Restore(now time.Time, h VersionHistory) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range h.Versions {
		v.seenAt[o] = now
	}
	v.life = max(v.life, h.Life)
	if h.Complete {
		v.since, v.forgot = time.Time{}, true
	}
}

// StartComplete declares that no stream began before the observation started.
func (v *Versions) StartComplete() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.since = time.Time{}
}

// Observe records that a target of a service runs a software version.
func (v *Versions) Observe(now time.Time, o Origin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seenAt[o] = now
}

// ExtendLife has versions remembered for at least as long as streams live.
func (v *Versions) ExtendLife(now time.Time, life time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if life <= v.life {
		return
	}
	if known := now.Add(-v.life); v.forgot && known.After(v.since) {
		v.since = known // what ended before was forgotten
	}
	v.life = life
}

// Forget drops versions that have not been observed for as long as streams live.
func (v *Versions) Forget(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for o, at := range v.seenAt {
		if now.Sub(at) > v.life {
			delete(v.seenAt, o)
			v.forgot = true
		}
	}
}

// Of returns the versions of a service at which streams may have begun that callers still take up. complete is set if these
// are all.
func (v *Versions) Of(now time.Time, service string) (versions []string, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for o, at := range v.seenAt {
		if o.Service == service && now.Sub(at) <= v.life {
			versions = append(versions, o.SoftwareVersion)
		}
	}
	return versions, v.completeLocked(now)
}

func (v *Versions) completeLocked(now time.Time) bool { return now.Sub(v.since) > v.life }

// Answer is what one control instance knows about a stream.
type Answer struct {
	// Known is set if the instance has a record of the stream.
	Known  bool
	Origin Origin
	// Versions and Complete are those of the service, see Versions.Of.
	Versions []string
	Complete bool
}

// Verdict is what the answers of the control instances say about the origin of a stream.
type Verdict uint8

const (
	// Unanswered means that instances that have not answered yet may know the origin.
	Unanswered Verdict = iota
	// Found means that the origin is known.
	Found
	// Unknown means that no instance knows the origin.
	Unknown
)

// Resolve concludes from the answers of control instances at which version of a service a stream began. members is the number of
// all instances, 0 if none is known yet. A record settles it. Without one, no answer may name more than one and the same version, and a majority
// has to know all of them: an instance that is cut off from the others may not know of a new version. An instance that was down
// or stood still while a version joined may not know it either, so all instances that can answer have to be heard before.
func Resolve(service string, members int, answers []Answer) (Origin, Verdict) {
	sole, single := "", true
	named, complete := 0, 0
	for _, a := range answers {
		if a.Known {
			return a.Origin, Found
		}
		if a.Complete {
			complete++
		}
		for _, version := range a.Versions {
			single = single && (named == 0 || version == sole)
			sole = version
			named++
		}
	}
	switch {
	case single && named > 0 && complete > members/2:
		return Origin{Service: service, SoftwareVersion: sole}, Found
	case len(answers) < max(members, 1):
		return Origin{}, Unanswered
	}
	return Origin{}, Unknown
}
