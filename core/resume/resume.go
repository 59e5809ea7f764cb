// Package resume keeps which version of the servers' software began a stream. A stream
// that goes on elsewhere must do so at the same version.
//
// Load pattern: several versions serve side by side, streams break off with servers and
// entry instances, and their callers come back at any instance.
package resume

import (
	"slices"
	"time"
)

// maxRecords bounds a registry: the streams of the largest fleet planned, at one of the
// instances that keep them, in the time that callers wait.
const maxRecords = 20000

// MaxLife bounds the life of a record, whatever time a caller states.
const MaxLife = 2 * time.Minute

// Record says which software began a stream.
type Record struct {
	// ID is that of the caller's attempt that brought the first event. Request is the
	// fingerprint of the request, the same in all its attempts.
	ID      string
	Request uint64
	Service string
	// Version is the version of the server's software; empty if it is unknown.
	Version string
	// Until is when the caller's time for the stream is over.
	Until time.Time
}

// Known reports whether the version is known.
func (rec *Record) Known() bool { return rec.Version != "" }

// Common returns the record of a stream of which only its request is known, among those of all
// streams of the request. They must have one version: callers may send the same request.
func Common(list []Record) (Record, bool) {
	if len(list) == 0 {
		return Record{}, false
	}
	for _, rec := range list[1:] {
		if rec.Service != list[0].Service || rec.Version != list[0].Version {
			return Record{}, false
		}
	}
	return list[0], true
}

// Registry holds records. It must be used by a single goroutine.
type Registry struct {
	records map[string]Record
	// byRequest are the IDs of the records by request; it has those of records alone.
	byRequest map[uint64][]string
	// unshared are the IDs of the records that other instances don't have.
	unshared []string
	// dropped counts the records for which there was no space.
	dropped int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{records: map[string]Record{}, byRequest: map[uint64][]string{}}
}

// Begin adds the record of a stream whose first event comes through this instance.
func (reg *Registry) Begin(now time.Time, rec Record) {
	if reg.put(now, rec) {
		reg.unshared = append(reg.unshared, rec.ID)
	}
}

// Put adds a record that another instance has.
func (reg *Registry) Put(now time.Time, rec Record) { reg.put(now, rec) }

// put reports whether the record is new. The first record of a stream holds: a stream
// has one version.
func (reg *Registry) put(now time.Time, rec Record) bool {
	if _, have := reg.records[rec.ID]; have || rec.ID == "" || !rec.Known() || !rec.Until.After(now) {
		return false
	}
	if len(reg.records) >= maxRecords {
		reg.dropped++
		return false
	}
	if latest := now.Add(MaxLife); rec.Until.After(latest) {
		rec.Until = latest
	}
	reg.records[rec.ID] = rec
	if rec.Request != 0 {
		reg.byRequest[rec.Request] = append(reg.byRequest[rec.Request], rec.ID)
	}
	return true
}

// Get returns the record of a stream.
func (reg *Registry) Get(now time.Time, id string) (Record, bool) {
	rec, have := reg.records[id]
	return rec, have && rec.Until.After(now)
}

// ByRequest returns the records of all streams of a request.
func (reg *Registry) ByRequest(now time.Time, request uint64) []Record {
	var out []Record
	for _, id := range reg.byRequest[request] {
		if rec, have := reg.Get(now, id); have {
			out = append(out, rec)
		}
	}
	return out
}

// HasUnshared reports whether there are records that only this instance has.
func (reg *Registry) HasUnshared() bool { return len(reg.unshared) > 0 }

// TakeUnshared returns the records that only this instance has. They count as shared from
// then on.
func (reg *Registry) TakeUnshared(now time.Time) []Record {
	var out []Record
	for _, id := range reg.unshared {
		if rec, have := reg.Get(now, id); have {
			out = append(out, rec)
		}
	}
	reg.unshared = nil
	return out
}

// Sweep drops the records whose time is over.
func (reg *Registry) Sweep(now time.Time) {
	for _, rec := range reg.records {
		if !rec.Until.After(now) {
			reg.drop(rec)
		}
	}
	reg.unshared = slices.DeleteFunc(reg.unshared, func(id string) bool {
		_, have := reg.records[id]
		return !have
	})
}

func (reg *Registry) drop(rec Record) {
	delete(reg.records, rec.ID)
	ids := slices.DeleteFunc(reg.byRequest[rec.Request], func(id string) bool { return id == rec.ID })
	if reg.byRequest[rec.Request] = ids; len(ids) == 0 {
		delete(reg.byRequest, rec.Request)
	}
}

// Len returns the number of records.
func (reg *Registry) Len() int { return len(reg.records) }

// Dropped returns the number of records that were not kept, since the registry was full.
func (reg *Registry) Dropped() int { return reg.dropped }
