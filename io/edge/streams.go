package edge

import (
	"time"

	"lovagestream/core/resume"
	"lovagestream/io/mesh"
)

const (
	// lookupTimeout bounds the search for a stream's record at other instances.
	lookupTimeout = 300 * time.Millisecond
	// maxLookups bounds the searches in progress.
	maxLookups = 1024
	// streamSpan is the time for which there must have been one version, in timeouts of
	// the routes: callers come back within their time, which may be longer.
	streamSpan = 2
	// defaultStreamTimeout is the timeout of streams whose routes set none.
	defaultStreamTimeout = 30 * time.Second
)

// streams is what the control thread knows of streams and of the versions of the
// servers' software. docs/design/stream-versions.md describes it.
type streams struct {
	records  *resume.Registry
	versions *resume.Versions
	// ends are the starts of servers at which no stream goes on.
	ends    resume.Ends
	lookups map[string]*lookup
	// fresh is set while the view of the servers is up to date.
	fresh bool
	// spans are the time spans of services by the configuration.
	spans map[string]time.Duration
	// sweptAt is when records were last dropped.
	sweptAt time.Time
}

// lookup is a search for the record of a stream.
type lookup struct {
	service string
	replies []chan resume.Record
	// waiting are the instances that have not answered.
	waiting map[string]bool
	until   time.Time
}

func newStreams() *streams {
	return &streams{records: resume.NewRegistry(), versions: resume.NewVersions(), lookups: map[string]*lookup{}, spans: map[string]time.Duration{}}
}

// sweepPeriod is how often records whose time is over are dropped.
const sweepPeriod = time.Second

// updateStreams does the periodic work on streams.
func (ctl *Control) updateStreams(now time.Time) {
	stm := ctl.streams
	stm.fresh = ctl.mem.StoreFresh(now, ctl.storeAt)
	if stm.ends.Observe(now, ctl.live) {
		ctl.viewStale = true
	}
	if now.Sub(stm.sweptAt) >= sweepPeriod {
		stm.sweptAt = now
		stm.records.Sweep(now)
	}
}

// StreamBegan records which software began a stream.
func (ctl *Control) StreamBegan(rec resume.Record) { ctl.post(evStreamBegan{rec: rec}) }

// FindStream looks for the record of a stream.
func (ctl *Control) FindStream(id, service string) <-chan resume.Record {
	reply := make(chan resume.Record, 1)
	ctl.post(evFindStream{id: id, service: service, reply: reply})
	return reply
}

type evStreamBegan struct{ rec resume.Record }

func (evt evStreamBegan) apply(ctl *Control, now time.Time) { ctl.streams.records.Begin(now, evt.rec) }

type evFindStream struct {
	id      string
	service string
	reply   chan resume.Record
}

func (evt evFindStream) apply(ctl *Control, now time.Time) {
	if rec, known := ctl.knownStream(now, evt.id, evt.service); known {
		evt.reply <- rec
		return
	}
	stm := ctl.streams
	if lup := stm.lookups[evt.id]; lup != nil {
		lup.replies = append(lup.replies, evt.reply)
		return
	}
	lup := &lookup{service: evt.service, replies: []chan resume.Record{evt.reply}, waiting: map[string]bool{}, until: now.Add(lookupTimeout)}
	if evt.id != "" && len(stm.lookups) < maxLookups {
		ask := mesh.AskStream{ID: evt.id, Service: evt.service, Span: ctl.streamSpan(evt.service)}
		for _, adr := range resume.Asked(evt.id, ctl.set.Zone, ctl.mem.LiveHubs(now)) {
			if ctl.lnk.Send(adr, ask) {
				lup.waiting[adr] = true
			}
		}
	}
	if len(lup.waiting) == 0 {
		lup.reply(resume.Record{})
		return
	}
	stm.lookups[evt.id] = lup
}

// reply ends a lookup.
func (lup *lookup) reply(rec resume.Record) {
	for _, reply := range lup.replies {
		reply <- rec
	}
}

// knownStream returns the record of a stream, or one inferred from there being one
// version alone.
func (ctl *Control) knownStream(now time.Time, id, service string) (resume.Record, bool) {
	if rec, have := ctl.streams.records.Get(now, id); have {
		return rec, true
	}
	version, sole := ctl.soleVersion(now, service)
	if seen := ctl.streams.versions.Seen(now, service, ctl.streamSpan(service)); id == "" && len(seen) == 1 {
		// Nobody can know a stream that the caller doesn't name, so what this instance
		// has seen must do.
		version, sole = seen[0], true
	}
	return resume.Record{ID: id, Service: service, Version: version, Inferred: true}, sole
}

// soleVersion returns the version of a service if no other can have begun a stream that
// goes on now.
func (ctl *Control) soleVersion(now time.Time, service string) (string, bool) {
	if !ctl.streams.fresh || !ctl.verified {
		return "", false
	}
	return ctl.streams.versions.Sole(now, service, ctl.streamSpan(service))
}

// streamSpan returns the time span in which a stream that goes on now may have begun.
func (ctl *Control) streamSpan(service string) time.Duration {
	if ctl.tab == nil {
		return streamSpan * defaultStreamTimeout
	}
	span, known := ctl.streams.spans[service]
	if !known {
		span = streamSpan * ctl.tab.StreamTimeout(service)
		if span == 0 {
			span = streamSpan * defaultStreamTimeout
		}
		ctl.streams.spans[service] = span
	}
	return span
}

// shareStreams sends the records that only this instance has to others: it may end at any
// time, and a release may begin at any time.
func (ctl *Control) shareStreams(now time.Time) {
	if !ctl.streams.records.HasUnshared() {
		return
	}
	hubs := ctl.mem.LiveHubs(now)
	if len(hubs) == 0 {
		// The records are sent once others are there.
		return
	}
	list := ctl.streams.records.TakeUnshared(now)
	byKeeper := map[string][]resume.Record{}
	for _, rec := range list {
		for _, adr := range resume.Keepers(rec.ID, ctl.set.Zone, hubs) {
			byKeeper[adr] = append(byKeeper[adr], rec)
		}
	}
	for adr, recs := range byKeeper {
		ctl.lnk.Send(adr, mesh.Streams{List: recs})
	}
}

// answerAskStream answers a peer that looks for a stream.
func (ctl *Control) answerAskStream(now time.Time, from string, ask mesh.AskStream) {
	rec, known := ctl.streams.records.Get(now, ask.ID)
	if !known && ctl.streams.fresh && ctl.verified {
		rec = resume.Record{ID: ask.ID, Service: ask.Service, Inferred: true}
		rec.Version, known = ctl.streams.versions.Sole(now, ask.Service, ask.Span)
	}
	if known {
		ctl.lnk.Send(from, mesh.Streams{List: []resume.Record{rec}})
		return
	}
	ctl.lnk.Send(from, mesh.Streams{Unknown: []string{ask.ID}})
}

// handleStreams keeps records of other instances, and ends the lookups that they answer.
func (ctl *Control) handleStreams(now time.Time, from string, msg mesh.Streams) {
	stm := ctl.streams
	for _, rec := range msg.List {
		stm.records.Put(now, rec)
		lup := stm.lookups[rec.ID]
		if lup == nil || !lup.waiting[from] && rec.Inferred {
			continue
		}
		if rec.Inferred && !ctl.agrees(now, lup.service, rec.Version) || !rec.Known() {
			ctl.answeredUnknown(rec.ID, from)
			continue
		}
		delete(stm.lookups, rec.ID)
		lup.reply(rec)
	}
	for _, id := range msg.Unknown {
		ctl.answeredUnknown(id, from)
	}
}

// agrees reports whether this instance has seen no other version of a service.
func (ctl *Control) agrees(now time.Time, service, version string) bool {
	for _, seen := range ctl.streams.versions.Seen(now, service, ctl.streamSpan(service)) {
		if seen != version {
			return false
		}
	}
	return true
}

// answeredUnknown handles an instance that doesn't know a stream, or is gone. Once all
// are, the lookup ends.
func (ctl *Control) answeredUnknown(id, from string) {
	lup := ctl.streams.lookups[id]
	if lup == nil {
		return
	}
	delete(lup.waiting, from)
	if len(lup.waiting) == 0 {
		delete(ctl.streams.lookups, id)
		lup.reply(resume.Record{})
	}
}

// forgetAsked ends the wait for an instance that is gone.
func (ctl *Control) forgetAsked(address string) {
	for id, lup := range ctl.streams.lookups {
		if lup.waiting[address] {
			ctl.answeredUnknown(id, address)
		}
	}
}

// endLookups ends the lookups whose time is over.
func (ctl *Control) endLookups(now time.Time) {
	for id, lup := range ctl.streams.lookups {
		if now.After(lup.until) {
			delete(ctl.streams.lookups, id)
			lup.reply(resume.Record{})
		}
	}
}
