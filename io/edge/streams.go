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
	// maxSameRequest bounds the records of one request in an answer.
	maxSameRequest = 16
)

// streams is what the control thread knows of streams and of the versions of the
// servers' software. docs/design/stream-versions.md describes it.
type streams struct {
	records *resume.Registry
	// ends are the starts of servers at which no stream goes on.
	ends resume.Ends
	// observed is the number of servers that this instance observes.
	observed int
	lookups  map[lookupKey]*lookup
	// sweptAt is when records were last dropped.
	sweptAt time.Time
}

// lookupKey names a stream by its ID or, if its caller doesn't, by the request.
type lookupKey struct {
	id      string
	request uint64
}

// lookup is a search for the record of a stream.
type lookup struct {
	replies []chan resume.Record
	// waiting are the instances that have not answered.
	waiting map[string]bool
	// found are the records of a request's streams.
	found []resume.Record
	until time.Time
}

func newStreams() *streams {
	return &streams{records: resume.NewRegistry(), lookups: map[lookupKey]*lookup{}}
}

// sweepPeriod is how often records whose time is over are dropped, and the servers to observe
// are determined.
const sweepPeriod = time.Second

// updateStreams does the periodic work on streams.
func (ctl *Control) updateStreams(now time.Time) {
	stm := ctl.streams
	if stm.ends.Observe(now, ctl.live) {
		ctl.viewStale = true
	}
	if now.Sub(stm.sweptAt) >= sweepPeriod {
		stm.sweptAt = now
		stm.records.Sweep(now)
		ctl.updateObserved(now)
	}
}

// StreamBegan records which software began a stream.
func (ctl *Control) StreamBegan(rec resume.Record) { ctl.post(evStreamBegan{rec: rec}) }

// FindStream looks for the record of a stream: by its ID or, if that is empty, by the
// fingerprint of its request.
func (ctl *Control) FindStream(id string, request uint64) <-chan resume.Record {
	reply := make(chan resume.Record, 1)
	if id != "" {
		request = 0
	}
	ctl.post(evFindStream{key: lookupKey{id: id, request: request}, reply: reply})
	return reply
}

type evStreamBegan struct{ rec resume.Record }

func (evt evStreamBegan) apply(ctl *Control, now time.Time) { ctl.streams.records.Begin(now, evt.rec) }

type evFindStream struct {
	key   lookupKey
	reply chan resume.Record
}

func (evt evFindStream) apply(ctl *Control, now time.Time) {
	stm := ctl.streams
	if rec, have := stm.records.Get(now, evt.key.id); have {
		evt.reply <- rec
		return
	}
	if lup := stm.lookups[evt.key]; lup != nil {
		lup.replies = append(lup.replies, evt.reply)
		return
	}
	lup := &lookup{replies: []chan resume.Record{evt.reply}, waiting: map[string]bool{}, until: now.Add(lookupTimeout)}
	stm.lookups[evt.key] = lup
	if evt.key.id == "" {
		lup.found = stm.records.ByRequest(now, evt.key.request)
	}
	if len(stm.lookups) <= maxLookups {
		for _, adr := range ctl.keepersOf(now, evt.key) {
			if ctl.lnk.Send(adr, mesh.AskStream{ID: evt.key.id, Request: evt.key.request}) {
				lup.waiting[adr] = true
			}
		}
	}
	if len(lup.waiting) == 0 {
		ctl.endLookup(evt.key, lup)
	}
}

// keepersOf returns the instances to ask for the record of a stream. Which ones have it
// follows from the stream's ID; without that, all that may have one are asked.
func (ctl *Control) keepersOf(now time.Time, key lookupKey) []string {
	hubs := ctl.mem.LiveHubs(now)
	if key.id != "" {
		return resume.Asked(key.id, ctl.set.Zone, hubs)
	}
	var out []string
	for _, mem := range hubs {
		out = append(out, mem.Address)
	}
	return out
}

// endLookup ends a lookup with the common record of the request's streams, if any.
func (ctl *Control) endLookup(key lookupKey, lup *lookup) {
	delete(ctl.streams.lookups, key)
	rec, _ := resume.Common(lup.found)
	lup.reply(rec)
}

// reply tells those who wait for a lookup.
func (lup *lookup) reply(rec resume.Record) {
	for _, reply := range lup.replies {
		reply <- rec
	}
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
	out := mesh.Streams{}
	if ask.ID == "" {
		list := ctl.streams.records.ByRequest(now, ask.Request)
		out.List, out.Requests = list[:min(maxSameRequest, len(list))], []uint64{ask.Request}
	} else if rec, known := ctl.streams.records.Get(now, ask.ID); known {
		out.List = []resume.Record{rec}
	} else {
		out.Unknown = []string{ask.ID}
	}
	ctl.lnk.Send(from, out)
}

// handleStreams keeps records of other instances, and ends the lookups that they answer.
func (ctl *Control) handleStreams(now time.Time, from string, msg mesh.Streams) {
	stm := ctl.streams
	for _, rec := range msg.List {
		stm.records.Put(now, rec)
		key := lookupKey{id: rec.ID}
		if lup := stm.lookups[key]; lup != nil && rec.Known() {
			delete(stm.lookups, key)
			lup.reply(rec)
		}
	}
	for _, req := range msg.Requests {
		key := lookupKey{request: req}
		if lup := stm.lookups[key]; lup != nil && lup.waiting[from] {
			for _, rec := range msg.List {
				if rec.Request == req && rec.Known() {
					lup.found = append(lup.found, rec)
				}
			}
			ctl.answered(key, from)
		}
	}
	for _, id := range msg.Unknown {
		ctl.answered(lookupKey{id: id}, from)
	}
}

// answered handles an instance that has sent all it knows of a stream, or is gone. Once all
// have, the lookup ends.
func (ctl *Control) answered(key lookupKey, from string) {
	lup := ctl.streams.lookups[key]
	if lup == nil {
		return
	}
	delete(lup.waiting, from)
	if len(lup.waiting) == 0 {
		ctl.endLookup(key, lup)
	}
}

// forgetAsked ends the wait for an instance that is gone.
func (ctl *Control) forgetAsked(address string) {
	for key, lup := range ctl.streams.lookups {
		if lup.waiting[address] {
			ctl.answered(key, address)
		}
	}
}

// endLookups ends the lookups whose time is over.
func (ctl *Control) endLookups(now time.Time) {
	for key, lup := range ctl.streams.lookups {
		if now.After(lup.until) {
			ctl.endLookup(key, lup)
		}
	}
}
