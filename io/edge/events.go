package edge

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/member"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/io/follow"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

type evConfig struct{ doc []byte }

func (evt evConfig) apply(ctl *Control, now time.Time) {
	if len(evt.doc) == 0 {
		return
	}
	ctl.readConfig = true
	ctl.adoptConfig(now, evt.doc, "store")
	ctl.verify(now)
}

// adoptConfig applies a configuration if its version is higher than the current
// one's, so that a late message can't revert it.
func (ctl *Control) adoptConfig(now time.Time, doc []byte, from string) bool {
	tab, err := ctl.dec.Config(doc)
	if err != nil {
		ctl.log.Log("config-unreadable", lines.Fields{"from": from, "bytes": len(doc), "error": err.Error()})
		return false
	}
	if ctl.tab != nil && tab.Version() <= ctl.tab.Version() {
		return false
	}
	old := int64(0)
	if ctl.tab != nil {
		old = ctl.tab.Version()
	}
	ctl.log.Log("config-in-force", lines.Fields{"version": tab.Version(), "before": old, "from": from, "bytes": len(doc)})
	ctl.tab, ctl.doc = tab, doc
	ctl.throttle.SetShortestTarget(tab.ShortestLatencyTarget())
	// The next tick sends a heartbeat with the new version, for which peers ask.
	ctl.heartbeatAt = time.Time{}
	ctl.changed(now)
	return true
}

type evServers struct {
	list follow.Listing
	full bool
}

func (evt evServers) apply(ctl *Control, now time.Time) {
	ctl.readServers = ctl.readServers || evt.full
	first := ctl.registry.Len() == 0
	ctl.noteBadEntries(evt.list.Errors)
	records := evt.list.Records
	for _, rec := range evt.list.Unreadable {
		// Other writers may use any number of IDs, so only those of known
		// servers are kept.
		if ctl.registry.Listed(rec.Entry.ID) {
			records = append(records, rec)
		}
	}
	if evt.full {
		records = append(records, ctl.missingServers(evt.list)...)
	}
	ctl.observeEra(now, evt.list.Revision.Era())
	var applied []stock.Record
	for _, rec := range records {
		if rec.Removed && ctl.holdsRemovals(now) {
			ctl.registry.DeferRemoval(rec.Entry.ID, rec.Revision, ctl.storeBack.Add(removalHoldTime))
			continue
		}
		if ctl.putRecord(now, rec, "store") {
			applied = append(applied, rec)
		}
	}
	ctl.serversDirty = ctl.serversDirty || len(applied) > 0
	if !first {
		// The first list that a new instance reads isn't forwarded: the peers
		// know it or ask for it.
		ctl.forward(applied, "")
	}
	ctl.verify(now)
}

// noteBadEntries counts entries that couldn't be decoded, and logs each problem
// once.
func (ctl *Control) noteBadEntries(errs []error) {
	for _, err := range errs {
		ctl.calls.gau.Count("unreadable", "entry")
		if ctl.badEntries.add("", err.Error()) {
			ctl.log.Log("server-unreadable", lines.Fields{"error": err.Error()})
		}
	}
}

// holdsRemovals reports whether removals are deferred. Right after an outage of
// the store, or in a new era, entries that expired or were lost are registered
// again.
func (ctl *Control) holdsRemovals(now time.Time) bool {
	return !ctl.storeBack.IsZero() && now.Sub(ctl.storeBack) < removalHoldTime
}

// observeEra processes the store's era, as read from it or received from a peer. In a
// new era the store lacks what was written last, until it is written again.
func (ctl *Control) observeEra(now time.Time, era int64) {
	if era <= ctl.era {
		return
	}
	if ctl.registry.Len() > 0 {
		ctl.log.Log("store-era", lines.Fields{"era": era, "before": ctl.era})
		ctl.storeBack = now
	}
	ctl.era = era
}

// applyDueRemovals applies deferred removals of entries that were not registered again.
func (ctl *Control) applyDueRemovals(now time.Time) {
	gone := ctl.registry.ApplyRemovals(now)
	for _, rec := range gone {
		ctl.logRecord(now, rec, stock.Removed, "store")
	}
	ctl.forward(gone, "")
}

// missingServers returns removals of the known servers that a full list doesn't
// name.
func (ctl *Control) missingServers(list follow.Listing) []stock.Record {
	listed := map[string]bool{}
	for _, rec := range list.Records {
		listed[rec.Entry.ID] = true
	}
	var out []stock.Record
	for _, id := range ctl.registry.Missing(listed, list.Revision) {
		out = append(out, stock.Record{Revision: list.Revision, Removed: true, Entry: stock.Entry{ID: id}})
	}
	return out
}

// putRecord applies one record and reports whether it changed anything.
func (ctl *Control) putRecord(now time.Time, rec stock.Record, from string) bool {
	listed, start := ctl.registry.Listed(rec.Entry.ID), ctl.registry.KnownStart(rec.Entry.ID)
	got := ctl.registry.Put(now, rec)
	if got == stock.Stale {
		return false
	}
	ctl.observeEra(now, rec.Revision.Era())
	if rev, have := ctl.wrongServers[rec.Entry.ID]; have && rec.Revision > rev {
		delete(ctl.wrongServers, rec.Entry.ID)
	}
	if !rec.Removed && !stock.Reserved(rec.Entry.ID) {
		// An entry that lapsed and comes back, of the same start, is no cold start.
		back := start != 0 && rec.Entry.StartedAt == start
		ctl.markMaybeCold(now, rec.Entry, got == stock.Restarted || !listed && !back)
	}
	if got == stock.Restarted {
		ctl.forgetStart(rec.Entry)
	}
	if got == stock.Restarted || got == stock.Applied && !listed && !rec.Removed {
		ctl.calls.serverStarted(rec.Entry)
	}
	if ctl.marks.Len() > 0 {
		ctl.noteRestarts(now, rec, got)
	}
	ctl.logRecord(now, rec, got, from)
	return got != stock.Full
}

// forgetStart drops what an earlier start of a server said of itself or holds: its
// pause, unless it was named since that start ended, and rate limit, results, and connections. The limit of a cold start holds
// on, since the server may be cold again.
func (ctl *Control) forgetStart(ent stock.Entry) {
	if ctl.pauses.forget(ent.ID) {
		ctl.sched.ForgetPauses(ent.ID)
	}
	ctl.limits.limiter.Restarted(ent.ID)
	delete(ctl.limits.sentAt, ent.ID)
	delete(ctl.frees, ent.Address)
	for _, pnd := range ctl.pending {
		pnd.spec.HeldResults = slices.DeleteFunc(slices.Clone(pnd.spec.HeldResults), func(hld sched.HeldResults) bool { return hld.Server == ent.ID })
	}
	ctl.calls.forgetConns(ent.Address)
}

// logRecord logs what a record changed. If it revokes an evacuation it also marks
// the zone's servers as possibly cold.
func (ctl *Control) logRecord(now time.Time, rec stock.Record, got stock.Change, from string) {
	if zone, ok := rec.EvacuatedZone(); ok {
		ctl.logEvacuation(zone, rec, got, from)
		if got == stock.Removed {
			ctl.markZoneMaybeCold(now, zone)
		}
		return
	}
	suffix := map[stock.Change]string{stock.Applied: "listed", stock.Restarted: "reborn", stock.Removed: "gone", stock.Full: "no-room"}[got]
	if got == stock.Applied && rec.Entry.Leaving {
		suffix = "leaving"
	}
	ctl.log.Log("server-"+suffix, lines.Fields{"server": rec.Entry.ID, "service": rec.Entry.Service, "software": rec.Entry.Version, "zone": rec.Entry.Zone, "revision": rec.Revision, "from": from})
}

type evStoreResult struct{ err error }

// storeFailures is how many calls to the store must fail in a row until another instance takes
// over: both watches may be cut at any time.
const storeFailures = 3

// storeFailing reports whether this instance reads the store without success.
func (ctl *Control) storeFailing() bool {
	return ctl.storeFailed >= storeFailures && ctl.Duty().Reads
}

func (evt evStoreResult) apply(ctl *Control, now time.Time) {
	failing := ctl.storeFailing()
	ctl.storeFailed++
	if evt.err == nil {
		ctl.storeFailed = 0
	}
	if ctl.storeFailing() != failing {
		// The next tick sends a heartbeat.
		ctl.heartbeatAt = time.Time{}
	}
	if errors.Is(evt.err, follow.ErrWatchCut) && ctl.storeFailed < storeFailures {
		return
	}
	if evt.err != nil {
		if !ctl.storeDown {
			ctl.log.Log("store-lost", lines.Fields{"error": evt.err.Error(), "last": now.Sub(ctl.storeAt).Milliseconds()})
		}
		ctl.storeDown = true
		return
	}
	if ctl.storeDown {
		ctl.log.Log("store-back", lines.Fields{"out": now.Sub(ctl.storeAt).Milliseconds()})
		ctl.storeBack = now
	}
	ctl.storeDown = false
	ctl.storeAt = now
}

type evLinked struct{ mem member.Member }

func (evt evLinked) apply(ctl *Control, now time.Time) {
	ctl.log.Log("member-linked", lines.Fields{"member": evt.mem.Address, "zone": evt.mem.Zone, "born": evt.mem.StartedAt})
	ctl.mem.Linked(now, evt.mem)
	ctl.relinked[evt.mem.Address] = true
	ctl.greet(now, evt.mem)
	ctl.viewStale = true
}

type evUnlinked struct {
	address string
	cause   error
}

func (evt evUnlinked) apply(ctl *Control, now time.Time) {
	wasLive := ctl.mem.Live(now, evt.address)
	ctl.mem.Unlinked(now, evt.address)
	ctl.sync.forget(evt.address)
	ctl.forgetAsked(evt.address)
	delete(ctl.sent.missed, evt.address)
	if wasLive {
		fie := lines.Fields{"member": evt.address}
		if evt.cause != nil {
			fie["error"] = evt.cause.Error()
		}
		ctl.log.Log("member-lost", fie)
	}
	if num := ctl.sched.CancelOwner(now, evt.address); num > 0 {
		ctl.log.Log("requests-of-lost-member", lines.Fields{"member": evt.address, "count": num})
	}
	ctl.updateDuties(now)
	ctl.viewStale = true
}

type evMessage struct {
	from string
	msg  mesh.Message
}

func (evt evMessage) apply(ctl *Control, now time.Time) {
	if !ctl.verified && !ctl.relinked[evt.from] {
		return
	}
	switch msg := evt.msg.(type) {
	case mesh.Heartbeat:
		ctl.handleHeartbeat(now, evt.from, msg.Heartbeat)
	case mesh.HeartbeatRepeat:
		ctl.handleHeartbeatRepeat(now, evt.from)
	case mesh.Members:
		ctl.handleMembers(now, evt.from, msg)
	case mesh.AskMembers:
		ctl.sendDivergedMembers(evt.from, msg.Sums)
	case mesh.Config:
		ctl.handleConfig(now, evt.from, msg)
	case mesh.AskConfig:
		ctl.sendConfig(evt.from, msg.Version)
	case mesh.Servers:
		ctl.handleServers(now, evt.from, msg)
	case mesh.AskServers:
		ctl.queueQuery(now, evt.from, msg.Sums)
	case mesh.Submit:
		ctl.schedule(now, msg.Spec)
	case mesh.Retry:
		ctl.retry(now, msg.Spec, msg.Outcome, msg.InputsGone)
	case mesh.Adopt:
		ctl.sched.Adopt(now, msg.Spec, msg.Engine)
	case mesh.Withdraw:
		ctl.sched.Cancel(now, key(evt.from, msg.ID))
	case mesh.Began:
		ctl.sched.Began(now, key(evt.from, msg.ID))
	case mesh.Ended:
		ctl.sched.Ended(now, key(evt.from, msg.ID), msg.Outcome)
	case mesh.Decision:
		ctl.handleDecision(evt.from, msg.Decision)
	case mesh.HeldResults:
		ctl.addHeldResults(now, evt.from, msg.HeldResults)
	case mesh.Limits:
		for _, rep := range msg.List {
			ctl.applyLimit(now, rep, evt.from)
		}
		for id, rejections := range msg.Brittle {
			ctl.applyBrittle(now, id, rejections, evt.from)
		}
	case mesh.Usages:
		ctl.handleUsages(now, evt.from, msg)
	case mesh.Standings:
		ctl.handleStandings(now, evt.from, msg)
	case mesh.Streams:
		ctl.handleStreams(now, evt.from, msg)
	case mesh.AskStream:
		ctl.answerAskStream(now, evt.from, msg)
	case mesh.Speeds:
		ctl.handleSpeeds(now, msg)
	case mesh.Crash:
		evCrash{msg: msg, from: evt.from}.apply(ctl, now)
	case mesh.Crashes:
		ctl.addCrashes(now, msg.List...)
	case mesh.Sound:
		ctl.handleSound(now, evt.from, msg)
	case mesh.Answered:
		ctl.serversRunning(now, msg.Running, evt.from)
		ctl.serversAnswered(now, msg.Servers, now, evt.from)
	}
}

// evLargeMessage is a large message; applying it frees its slot in Control.large.
type evLargeMessage struct{ evMessage }

func (evt evLargeMessage) apply(ctl *Control, now time.Time) {
	evt.evMessage.apply(ctl, now)
	<-ctl.large
}

type evWrongServer struct{ ent stock.Entry }

func (evt evWrongServer) apply(ctl *Control, now time.Time) {
	for _, rec := range ctl.registry.All() {
		if rec.Entry.ID == evt.ent.ID && !rec.Removed {
			ctl.log.Log("server-address-mismatch", lines.Fields{"server": evt.ent.ID, "address": evt.ent.Address, "revision": rec.Revision})
			ctl.wrongServers[evt.ent.ID] = rec.Revision
			ctl.changed(now)
		}
	}
}
