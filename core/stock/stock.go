// Package stock holds what an entry instance knows of backend servers and of
// evacuated zones: records read from the platform's store or received from
// other entry instances, ordered by the store's revisions.
package stock

import (
	"sort"
	"strconv"
	"time"

	"lovagestream/core/sums"
)

// Entry is one backend server as published in the store.
type Entry struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of the server's software.
	Version string
	Slots   int
	// Leaving servers get no new requests.
	Leaving bool
	// ColdStart is how long the server stays slow after its start.
	ColdStart time.Duration
	// Sequence increases with each report of one run of a server.
	Sequence int64
	// StartedAt is the server's start in Unix milliseconds, or 0 if it is not
	// reported. A server that restarts under its ID keeps no state from before.
	StartedAt int64
}

// Start names one start of a server. State that must not outlive the process of
// the server is kept by it.
func (ent *Entry) Start() string {
	if ent.StartedAt == 0 {
		return ent.ID
	}
	return ent.ID + "@" + strconv.FormatInt(ent.StartedAt, 10)
}

// Record is an entry with the store revision at which it was read.
type Record struct {
	// Revision orders the records of one ID.
	Revision Revision
	// Removed marks a tombstone: the server's entry was removed from the store.
	Removed bool
	Entry   Entry
}

// tombstoneTTL is how long tombstones are kept, so that a late record from an
// entry instance that was partitioned off does not bring the server back.
// Partitions of a minute are ordinary, and an ID is never reused by another
// server.
const tombstoneTTL = 5 * time.Minute

// maxRecords bounds the registry in case the store is faulty; the largest
// deployment planned has 900 servers.
const maxRecords = 20000

// Registry holds the latest record of each server and of each zone evacuation.
type Registry struct {
	byID map[string]*Record
	// zones are the zones with an evacuation record, in force or removed. These
	// records are never dropped: there are few, and a late copy of a dropped
	// one could come back into force.
	zones map[string]bool
	// sums covers the records that are not tombstones, since each instance
	// drops tombstones at its own time.
	sums sums.Sums
	// tombstones maps the IDs of tombstones to when the removal was received.
	tombstones map[string]time.Time
	// deferred are removals that are deferred because the store was down
	// recently: entries that expired meanwhile come back.
	deferred map[string]deferredRemoval
}

type deferredRemoval struct {
	revision Revision
	until    time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Record{}, zones: map[string]bool{}, tombstones: map[string]time.Time{}, deferred: map[string]deferredRemoval{}}
}

// Change is the effect of a record on the registry.
type Change uint8

const (
	// Stale records are older than what is known.
	Stale Change = iota
	// Applied records add a server or change one.
	Applied
	// Restarted records show a later start of a known server.
	Restarted
	// Removed records remove a server.
	Removed
	// Full is returned for a record that the registry has no room for.
	Full
)

// Put applies one record. A record that was written late, with a lower sequence
// than a known one of the same start, is dropped although its revision is
// higher. A copy of the store, in a later era, does not bring back a server
// that was removed after the copy was made. A leaving server stays leaving
// until it restarts, whatever records arrive in whatever order.
func (reg *Registry) Put(now time.Time, got Record) Change {
	old := reg.byID[got.Entry.ID]
	if old != nil && got.Revision <= old.Revision {
		return reg.mergeLeaving(old, &got)
	}
	zone, evacuation := got.EvacuatedZone()
	if old == nil && (len(reg.byID) >= maxRecords || evacuation && len(reg.zones) >= maxZones) {
		return Full
	}
	if evacuation {
		reg.zones[zone] = true
	}
	if got.Removed {
		return reg.putTombstone(now, old, got)
	}
	if old != nil && (outdated(old, &got) || resurrects(old, &got)) {
		return reg.mergeLeaving(old, &got)
	}
	if old != nil && sameStart(old, &got) {
		got.Entry.Leaving = got.Entry.Leaving || old.Entry.Leaving
	}
	delete(reg.tombstones, got.Entry.ID)
	delete(reg.deferred, got.Entry.ID)
	reg.set(&got)
	if old != nil && got.Entry.StartedAt > old.Entry.StartedAt && old.Entry.StartedAt != 0 {
		return Restarted
	}
	return Applied
}

// set replaces the record of a server and updates the sums.
func (reg *Registry) set(rec *Record) {
	id := rec.Entry.ID
	if old := reg.byID[id]; old != nil && !old.Removed {
		reg.sums.Remove(id, old.version())
	}
	if !rec.Removed {
		reg.sums.Add(id, rec.version())
	}
	reg.byID[id] = rec
}

// leavingBit is above the bits of all revisions.
const leavingBit = 1 << 62

// version distinguishes the records of one ID in the sums. Records of the same
// revision differ if one instance has heard from the server itself that it is
// leaving.
func (rec *Record) version() int64 {
	if rec.Entry.Leaving {
		return int64(rec.Revision) | leavingBit
	}
	return int64(rec.Revision)
}

// mergeLeaving takes over only the leaving state from a record that is stale
// otherwise. Tombstones keep the state too: entries expire while the store is
// down, and come back.
func (reg *Registry) mergeLeaving(old, got *Record) Change {
	if got.Removed || !got.Entry.Leaving || old.Entry.Leaving || !sameStart(old, got) {
		return Stale
	}
	merged := *old
	merged.Entry.Leaving = true
	reg.set(&merged)
	if merged.Removed {
		return Stale
	}
	return Applied
}

func sameStart(one, two *Record) bool { return one.Entry.StartedAt == two.Entry.StartedAt }

// LeavingRecord returns the record of a server that announced that it is
// leaving, at the known revision. It returns false if that is already known or
// concerns another start of the server. A server that is unknown, as it can be
// to a newly started instance, gets a revision below all of the store's.
func (reg *Registry) LeavingRecord(ent Entry) (Record, bool) {
	out := Record{Entry: ent}
	if old := reg.byID[ent.ID]; old != nil {
		if old.Entry.Leaving || old.Entry.StartedAt != ent.StartedAt {
			return Record{}, false
		}
		out = Record{Revision: old.Revision, Entry: old.Entry}
	}
	out.Entry.Leaving = true
	return out, true
}

func outdated(old, got *Record) bool {
	if got.Entry.StartedAt != old.Entry.StartedAt {
		return got.Entry.StartedAt != 0 && got.Entry.StartedAt < old.Entry.StartedAt
	}
	return got.Entry.Sequence < old.Entry.Sequence
}

// resurrects reports whether a record of a later era, on a removed server, is
// no newer than what was known before the removal.
func resurrects(old, got *Record) bool {
	if !old.Removed || got.Revision.Era() == old.Revision.Era() || Reserved(got.Entry.ID) {
		return false
	}
	return got.Entry.StartedAt == old.Entry.StartedAt && got.Entry.Sequence <= old.Entry.Sequence
}

func (reg *Registry) putTombstone(now time.Time, old *Record, got Record) Change {
	tmb := &Record{Revision: got.Revision, Removed: true, Entry: Entry{ID: got.Entry.ID}}
	if old != nil {
		tmb.Entry = old.Entry
	}
	reg.set(tmb)
	reg.tombstones[got.Entry.ID] = now
	delete(reg.deferred, got.Entry.ID)
	if old == nil || old.Removed {
		return Stale
	}
	return Removed
}

// DeferRemoval schedules a removal that takes effect at until, unless the entry
// is back by then.
func (reg *Registry) DeferRemoval(id string, revision Revision, until time.Time) {
	old := reg.byID[id]
	if old == nil || old.Removed || revision <= old.Revision {
		return
	}
	if _, found := reg.deferred[id]; !found {
		reg.deferred[id] = deferredRemoval{revision: revision, until: until}
	}
}

// ApplyRemovals applies the deferred removals that are due and returns them. It
// also drops expired tombstones.
func (reg *Registry) ApplyRemovals(now time.Time) []Record {
	var out []Record
	for id, drm := range reg.deferred {
		if now.Before(drm.until) {
			continue
		}
		got := Record{Revision: drm.revision, Removed: true, Entry: Entry{ID: id}}
		if reg.Put(now, got) == Removed {
			out = append(out, got)
		}
		delete(reg.deferred, id)
	}
	for id, at := range reg.tombstones {
		if now.Sub(at) > tombstoneTTL && !Reserved(id) {
			delete(reg.tombstones, id)
			delete(reg.byID, id)
		}
	}
	return out
}

// Missing returns the IDs of servers that a full listing at a revision does not
// name although the registry has them from an earlier revision.
func (reg *Registry) Missing(listed map[string]bool, revision Revision) []string {
	var out []string
	for id, rec := range reg.byID {
		if !rec.Removed && !listed[id] && rec.Revision < revision && !Reserved(id) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// All returns every record, including tombstones.
func (reg *Registry) All() []Record {
	out := make([]Record, 0, len(reg.byID))
	for _, rec := range reg.byID {
		out = append(out, *rec)
	}
	return out
}

// Digest returns a value that is equal for registries with the same records
// other than tombstones, whatever the order in which they arrived.
func (reg *Registry) Digest() uint64 { return reg.sums.Digest() }

// Sums returns the sums that a peer needs to find the buckets in which its
// records differ.
func (reg *Registry) Sums() []uint64 { return reg.sums.List() }

// Diverged returns the records, including tombstones, in the buckets in which a
// peer's sums differ.
func (reg *Registry) Diverged(peerSums []uint64) []Record {
	mas := reg.sums.Diff(peerSums)
	if mas == 0 {
		return nil
	}
	var out []Record
	for id, rec := range reg.byID {
		if mas.Has(id) {
			out = append(out, *rec)
		}
	}
	return out
}

// Listed reports whether an ID is that of a server that has not been removed.
func (reg *Registry) Listed(id string) bool {
	rec := reg.byID[id]
	return rec != nil && !rec.Removed
}

// KnownStart returns the start of a server in its last record, also after its
// removal; 0 if it is unknown.
func (reg *Registry) KnownStart(id string) int64 {
	if rec := reg.byID[id]; rec != nil {
		return rec.Entry.StartedAt
	}
	return 0
}

// Len returns the number of servers, including tombstones.
func (reg *Registry) Len() int { return len(reg.byID) - len(reg.zones) }

// Live returns the entries that have not been removed, including leaving
// servers, sorted by ID.
func (reg *Registry) Live() []Entry {
	out := make([]Entry, 0, len(reg.byID))
	for _, rec := range reg.byID {
		if !rec.Removed && !Reserved(rec.Entry.ID) {
			out = append(out, rec.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
