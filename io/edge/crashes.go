package edge

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"lovagestream/core/marks"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/io/entry"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

type evCrash struct {
	msg   mesh.Crash
	local bool
	// from is the peer that reported the crash; empty if it was observed here.
	from string
}

func (evt evCrash) apply(ctl *Control, now time.Time) {
	if ctl.addCrashes(now, evt.msg) && !evt.local {
		ctl.checkEnd(now, evt.msg)
	}
	if evt.local {
		ctl.log.Log("server-lost-with-request", lines.Fields{"server": evt.msg.Server, "print": evt.msg.Request, "parts": evt.msg.Names, "ended": evt.msg.Ended})
	}
	ctl.spread(now, evt.from, evt.msg)
}

// addCrashes adds crashes to the evidence. It reports whether one is the end of a start that
// wasn't known to have ended.
func (ctl *Control) addCrashes(now time.Time, list ...mesh.Crash) (ended bool) {
	var reports []marks.Report
	for _, msg := range list {
		if msg.Ended && ctl.addEnd(now, msg.At, msg.Server) {
			ended = true
		}
		if msg.Request == 0 {
			// No request was lost at the server.
			continue
		}
		crs := marks.NewCrash(msg.Server, msg.At)
		if msg.Ended {
			crs = crs.WithEnd()
		}
		req := marks.Request{marks.Fingerprint(msg.Request)}
		for _, fpr := range msg.Parts {
			req = append(req, marks.Fingerprint(fpr))
		}
		reports = append(reports, marks.Report{Request: req, Crash: crs})
	}
	if ctl.marks.Knows(reports) {
		return ended
	}
	for _, msg := range list {
		for i, name := range msg.Names[:min(len(msg.Names), len(msg.Parts))] {
			ctl.partNames[marks.Fingerprint(msg.Parts[i])] = name
		}
	}
	ctl.marks = ctl.marks.WithReports(now, reports)
	ctl.rememberCrashed(now)
	ctl.marksChanged(now)
	ctl.refuseWaiting(now)
	return ended
}

// addEnd adds a start that is said to have ended at a time, if its server's entries name no
// later one. It reports whether the end is new.
func (ctl *Control) addEnd(now, at time.Time, start string) bool {
	ent, have := ctl.liveStart(start)
	if !have || !ctl.streams.ends.Add(now, at, ent) {
		return false
	}
	ctl.viewStale = true
	return true
}

// liveStart returns the entry of a server's start.
func (ctl *Control) liveStart(start string) (stock.Entry, bool) {
	for _, ent := range ctl.live {
		if ent.Start() == start {
			return ent, true
		}
	}
	return stock.Entry{}, false
}

// maxCheckDelay is how soon after the report of a server's end it must be reached to show that
// it goes on. Later, it may have started again.
const maxCheckDelay = 100 * time.Millisecond

// checkEnd tries to reach a server whose end a peer has reported: the peer may have lost its
// path.
func (ctl *Control) checkEnd(now time.Time, msg mesh.Crash) {
	ent, have := ctl.liveStart(msg.Server)
	if !have || now.Sub(msg.At) > maxCheckDelay || !ctl.mem.SelfIsHub(now) || !resume.Checks(msg.Server, ctl.mem.Self(), ctl.mem.LiveHubs(now)) {
		return
	}
	ctl.reach(ent.Service, ent.Address, func() { ctl.post(evReached{start: msg.Server, reported: msg.At}) })
}

// evReached reports that a server was reached whose end had been reported.
type evReached struct {
	start    string
	reported time.Time
}

func (evt evReached) apply(ctl *Control, now time.Time) {
	if now.Sub(evt.reported) <= maxCheckDelay {
		ctl.serversRunning(now, []string{evt.start}, "")
	}
}

// serversRunning takes back the ends of servers that were reached as they were reported, and
// the crashes with them.
func (ctl *Control) serversRunning(now time.Time, starts []string, from string) {
	var wrong []string
	for _, start := range starts {
		if ctl.streams.ends.Running(now, start) || ctl.marks.EndedBefore(start, now) {
			wrong = append(wrong, start)
			ctl.marks = ctl.marks.WithAnswer(now, start, now)
			ctl.calls.gau.Count("server-ends", "taken-back")
			ctl.log.Log("server-not-ended", lines.Fields{"server": start, "from": from})
		}
	}
	if len(wrong) > 0 {
		ctl.marksChanged(now)
		ctl.spread(now, from, mesh.Answered{Servers: wrong, Running: wrong})
	}
}

// marksChanged logs the causes of crashes that were found or cleared.
func (ctl *Control) marksChanged(now time.Time) {
	ctl.viewStale = true
	causes := map[marks.Fingerprint]bool{}
	for _, ver := range ctl.marks.Verdicts() {
		causes[ver.Fingerprint] = true
		if !ctl.causes[ver.Fingerprint] {
			ctl.log.Log("crash-cause-found", lines.Fields{"cause": uint64(ver.Fingerprint), "part": ctl.partNames[ver.Fingerprint], "crashes": len(ver.Crashes), "since": now.Sub(ver.Crashes[0].At()).Milliseconds(), "conditions": len(ver.Conditions)})
		}
	}
	for fpr := range ctl.causes {
		if !causes[fpr] {
			ctl.log.Log("crash-cause-cleared", lines.Fields{"cause": uint64(fpr), "part": ctl.partNames[fpr]})
		}
	}
	if len(causes) > 0 {
		ctl.causesFound(ctl.marks)
	}
	ctl.causes = causes
	for fpr := range ctl.partNames {
		if !ctl.marks.Suspected(fpr) {
			delete(ctl.partNames, fpr)
		}
	}
}

// sendCrashes sends the evidence to a new peer: it may have started or been cut off since.
func (ctl *Control) sendCrashes(peer string) {
	list, ends := ctl.marks.Reports(), ctl.streams.ends.Times()
	if len(list) == 0 && len(ends) == 0 {
		return
	}
	msg, snd := mesh.Crashes{}, mesh.Sound{Prints: map[uint64]time.Time{}}
	for _, rep := range list {
		crs := crashMessage(rep)
		for _, fpr := range rep.Request.Parts() {
			crs.Names = append(crs.Names, ctl.partNames[fpr])
		}
		msg.List = append(msg.List, crs)
		if crs.Ended {
			delete(ends, crs.Server)
		}
	}
	for start, at := range ends {
		msg.List = append(msg.List, mesh.Crash{Server: start, Ended: true, At: at})
	}
	for fpr, at := range ctl.marks.Sounds(list) {
		snd.Prints[uint64(fpr)] = at
	}
	ctl.lnk.Send(peer, msg)
	if len(snd.Prints) > 0 {
		ctl.lnk.Send(peer, snd)
	}
}

func crashMessage(rep marks.Report) mesh.Crash {
	msg := mesh.Crash{Request: uint64(rep.Request.Whole()), Server: rep.Crash.Server(), Ended: rep.Crash.Ended(), At: rep.Crash.At()}
	for _, fpr := range rep.Request.Parts() {
		msg.Parts = append(msg.Parts, uint64(fpr))
	}
	return msg
}

// spread sends a message about crashes to all peers, except to the one that it is from. Only
// hubs forward, and only messages of instances that link to hubs only.
func (ctl *Control) spread(now time.Time, from string, msg mesh.Message) {
	if from != "" && (!ctl.mem.SelfIsHub(now) || ctl.mem.IsHub(now, from)) {
		return
	}
	for _, adr := range ctl.mem.Peers() {
		if adr != from {
			ctl.lnk.Send(adr, msg)
		}
	}
}

// Crashed reports a server that was lost with a request in flight.
func (ctl *Control) Crashed(req marks.Request, names []string, server string, ended bool) {
	crs := marks.NewCrash(server, ctl.clk.Now())
	if ended {
		crs = crs.WithEnd()
	}
	msg := crashMessage(marks.Report{Request: req, Crash: crs})
	msg.Names = names
	ctl.post(evCrash{msg: msg, local: true})
}

// soundDelay bounds the delay until peers hear of an answer. It is drawn, so that few of the
// instances that see one at the same time report it.
const soundDelay = 150 * time.Millisecond

type evSound struct{ prints []marks.Fingerprint }

func (evt evSound) apply(ctl *Control, now time.Time) {
	for _, fpr := range evt.prints {
		if !ctl.marks.Suspected(fpr) {
			continue
		}
		ctl.marks = ctl.marks.WithSound(now, now, fpr)
		ctl.marksChanged(now)
		if len(ctl.sounds) == 0 {
			ctl.soundsDue = now.Add(rand.N(soundDelay))
		}
		ctl.sounds[uint64(fpr)] = now
	}
}

// Sound reports that a request with these fingerprints was answered.
func (ctl *Control) Sound(prints ...marks.Fingerprint) { ctl.post(evSound{prints: prints}) }

// handleSound handles a peer's report of answers.
func (ctl *Control) handleSound(now time.Time, from string, msg mesh.Sound) {
	news := mesh.Sound{Prints: map[uint64]time.Time{}}
	for prt, at := range msg.Prints {
		delete(ctl.sounds, prt)
		if fpr := marks.Fingerprint(prt); ctl.marks.SuspectedBefore(fpr, at) {
			ctl.marks = ctl.marks.WithSound(now, at, fpr)
			ctl.marksChanged(now)
			news.Prints[prt] = at
		}
	}
	if len(news.Prints) > 0 {
		ctl.spread(now, from, news)
	}
}

// sendSounds reports answers to the peers.
func (ctl *Control) sendSounds(now time.Time) {
	if len(ctl.sounds) == 0 || now.Before(ctl.soundsDue) {
		return
	}
	ctl.spread(now, "", mesh.Sound{Prints: ctl.sounds})
	ctl.sounds = map[uint64]time.Time{}
}

// CrashCause is a cause of crashes, for operators.
type CrashCause struct {
	// Fingerprint identifies the request or the part of prompts.
	Fingerprint string `json:"fingerprint"`
	// Part names the service and the part; empty for a whole request.
	Part string `json:"part"`
	// Crashes is the number of crashes that are kept, at most 12.
	Crashes int `json:"crashes"`
	// SinceMs and LastMs are how long ago the first and the last of them happened.
	SinceMs int64 `json:"since-ms"`
	LastMs  int64 `json:"last-ms"`
	// Besides are the parts that a refused request must have besides.
	Besides []string `json:"besides"`
}

func (ctl *Control) crashCauses(now time.Time) []CrashCause {
	out := []CrashCause{}
	for _, ver := range ctl.marks.Verdicts() {
		cau := CrashCause{Fingerprint: formatFingerprint(ver.Fingerprint), Part: ctl.partNames[ver.Fingerprint], Crashes: len(ver.Crashes), SinceMs: now.Sub(ver.Crashes[0].At()).Milliseconds(), LastMs: now.Sub(ver.Crashes[len(ver.Crashes)-1].At()).Milliseconds(), Besides: []string{}}
		for _, fpr := range ver.Conditions {
			name := ctl.partNames[fpr]
			if name == "" {
				name = formatFingerprint(fpr)
			}
			cau.Besides = append(cau.Besides, name)
		}
		out = append(out, cau)
	}
	return out
}

func formatFingerprint(fpr marks.Fingerprint) string { return strconv.FormatUint(uint64(fpr), 10) }

// Lift serves requests with a fingerprint again, at all instances. It is refused again after
// further crashes.
func (ctl *Control) Lift(fpr marks.Fingerprint) { ctl.post(evLift{fpr: fpr}) }

type evLift struct{ fpr marks.Fingerprint }

func (evt evLift) apply(ctl *Control, now time.Time) {
	ctl.log.Log("crash-cause-lifted", lines.Fields{"cause": uint64(evt.fpr), "part": ctl.partNames[evt.fpr]})
	// Its conditions have the same crashes, and would be refused alone.
	ver, _ := ctl.marks.Verdict(evt.fpr)
	evSound{prints: append([]marks.Fingerprint{evt.fpr}, ver.Conditions...)}.apply(ctl, now)
}

type evAnswered struct {
	server string
	sent   time.Time
}

func (evt evAnswered) apply(ctl *Control, now time.Time) {
	ctl.serversAnswered(now, []string{evt.server}, evt.sent, "")
}

// ServerAnswered reports that a server answered a request that was sent at a time.
func (ctl *Control) ServerAnswered(server string, sent time.Time) {
	ctl.post(evAnswered{server: server, sent: sent})
}

// serversAnswered drops the crashes of servers that have answered a request sent at a time. A
// server doesn't end twice, so the time is not passed on.
func (ctl *Control) serversAnswered(now time.Time, servers []string, sent time.Time, from string) {
	var wrong []string
	for _, srv := range servers {
		if ctl.marks.EndedBefore(srv, sent) {
			wrong = append(wrong, srv)
			ctl.marks = ctl.marks.WithAnswer(now, srv, sent)
			ctl.log.Log("server-not-lost", lines.Fields{"server": srv})
		}
	}
	if len(wrong) > 0 {
		ctl.marksChanged(now)
		ctl.spread(now, from, mesh.Answered{Servers: wrong})
	}
}

// refuseWaiting refuses the requests without a decision that turn out to crash servers.
func (ctl *Control) refuseWaiting(now time.Time) {
	for id, req := range ctl.pending {
		if req.placed || req.movingFrom != "" {
			continue
		}
		if _, refused := ctl.marks.Cause(now, entry.MarksOf(&req.spec)); !refused {
			continue
		}
		delete(ctl.pending, id)
		ctl.withdraw(now, req)
		req.reply <- sched.Decision{Key: req.spec.Key, Outcome: sched.Refused, Reason: "crashes-servers", RetryAfter: marks.RetryAfter}
	}
}

// noteRestarts records the servers that have ended, as a record shows: its server started in
// their place, or its entry lapsed.
func (ctl *Control) noteRestarts(now time.Time, rec stock.Record, got stock.Change) {
	for _, crs := range ctl.marks.Crashed() {
		ent, have := ctl.crashed[crs.Server()]
		if !have {
			continue
		}
		replaced := !rec.Removed && rec.Entry.Address == ent.Address && rec.Entry.Start() != ent.Start()
		lapsed := got == stock.Removed && rec.Entry.ID == ent.ID
		if replaced || lapsed {
			ctl.marks = ctl.marks.WithRestart(now, crs.Server())
			ctl.marksChanged(now)
		}
	}
}

// rememberCrashed keeps the entries of the servers that crashed, as long as the crashes are
// known.
func (ctl *Control) rememberCrashed(now time.Time) {
	old := ctl.crashed
	ctl.crashed = map[string]stock.Entry{}
	var unknown []string
	for _, crs := range ctl.marks.Crashed() {
		if ent, have := old[crs.Server()]; have {
			ctl.crashed[crs.Server()] = ent
		} else if !ctl.marks.Restarted(crs.Server()) {
			unknown = append(unknown, crs.Server())
		}
	}
	if len(unknown) == 0 || ctl.registry.Len() == 0 {
		return
	}
	for _, rec := range ctl.registry.All() {
		if start := rec.Entry.Start(); !rec.Removed && slices.Contains(unknown, start) {
			ctl.crashed[start] = rec.Entry
		}
	}
	for _, srv := range unknown {
		if _, have := ctl.crashed[srv]; !have {
			// Its entry has lapsed, or names a later start.
			ctl.marks = ctl.marks.WithRestart(now, srv)
		}
	}
}
