package core

import (
	"slices"
	"time"

	"lovagestream/core/fleet"
	"lovagestream/core/marks"
)

// ServerCrashed reports that a backend server crashed with a request in flight.
type ServerCrashed struct {
	crash       marks.Crash
	fingerprint marks.Fingerprint
}

// NewServerCrashed returns the event: the connection ended and the server
// accepts no new one.
func NewServerCrashed(cra marks.Crash, fpr marks.Fingerprint) ServerCrashed {
	return ServerCrashed{crash: cra, fingerprint: fpr}
}

func (ServerCrashed) event() {}

// CrashReport reports to a peer a backend server's crash and the requests that
// the sender had in flight there. It may be lost; the receiver then has less
// evidence.
type CrashReport struct {
	server string
	// age is the time since the crash by the sender's clock. silence is how
	// long before the crash the server last answered the sender; 0 if it never
	// did.
	age          time.Duration
	silence      time.Duration
	fingerprints []marks.Fingerprint
	// answered are the fingerprints of requests that were answered, in a report without a
	// crash; age is then the time since the answer.
	answered []marks.Fingerprint
}

// NewCrashReport returns the message with at most marks.MaxBatch fingerprints.
func NewCrashReport(server string, age, silence time.Duration, fingerprints []marks.Fingerprint) CrashReport {
	return CrashReport{server: server, age: age, silence: silence, fingerprints: fingerprints[:min(len(fingerprints), marks.MaxBatch)]}
}

// NewCrashWithdrawal returns the message that requests were answered against which crashes
// count, with at most marks.MaxBatch fingerprints. Earlier builds find no crash in it.
func NewCrashWithdrawal(age time.Duration, answered []marks.Fingerprint) CrashReport {
	return CrashReport{age: age, answered: answered[:min(len(answered), marks.MaxBatch)]}
}

// Server returns the identity of the crashed server.
func (msg CrashReport) Server() string { return msg.server }

// Age returns the time since the crash.
func (msg CrashReport) Age() time.Duration { return msg.age }

// Silence returns how long before its crash the server last answered the
// sender; 0 if it never did.
func (msg CrashReport) Silence() time.Duration { return msg.silence }

// crash returns the crash by the receiver's clock.
func (msg CrashReport) crash(now time.Time) marks.Crash {
	at := now.Add(-msg.age)
	cra := marks.NewCrash(msg.server, at)
	if msg.silence > 0 {
		cra = cra.WithLastReply(at.Add(-msg.silence))
	}
	return cra
}

// Fingerprints returns those of the requests that were in flight there.
func (msg CrashReport) Fingerprints() []marks.Fingerprint { return msg.fingerprints }

// Answered returns those of the requests that were answered; none in a report of a crash.
func (msg CrashReport) Answered() []marks.Fingerprint { return msg.answered }

func (CrashReport) message() {}

// RequestAnswered reports that a request was answered against which crashes count.
type RequestAnswered struct{ fingerprint marks.Fingerprint }

// NewRequestAnswered returns the event.
func NewRequestAnswered(fpr marks.Fingerprint) RequestAnswered {
	return RequestAnswered{fingerprint: fpr}
}

func (RequestAnswered) event() {}

// Marks returns the evidence against requests that crash servers.
func (vie *View) Marks() *marks.Table { return vie.marks }

// crashes is the component for requests that crash backend servers.
type crashes struct {
	ctl   *Control
	table *marks.Table
	// prunedAt is when expired evidence was last removed from the table.
	prunedAt time.Time
	// greeted are the peers that were sent the evidence, by ID, with their incarnation.
	greeted map[string]uint64
}

var _ component = (*crashes)(nil)

func newCrashes(ctl *Control) *crashes { return &crashes{ctl: ctl, greeted: map[string]uint64{}} }

func (crs *crashes) step(now time.Time, ev Event) []Decision {
	switch evt := ev.(type) {
	case ServerCrashed:
		crs.add(now, evt.crash, evt.fingerprint)
		return crs.broadcast(crashReport(now, evt.crash, evt.fingerprint))
	case RequestAnswered:
		if crs.withdraw(now, now, evt.fingerprint) {
			return crs.broadcast(NewCrashWithdrawal(0, []marks.Fingerprint{evt.fingerprint}))
		}
	case MessageReceived:
		crs.receive(now, evt.msg)
	case Tick:
		crs.prune(now)
		return crs.greet(now)
	}
	return nil
}

func (crs *crashes) receive(now time.Time, msg Message) {
	got, is := msg.(CrashReport)
	switch {
	case !is || got.age >= marks.CrashTTL:
	case len(got.answered) > 0:
		crs.withdraw(now, now.Add(-got.age), got.answered...)
	default:
		crs.add(now, got.crash(now), got.fingerprints...)
	}
}

func (crs *crashes) fill(vie *View) { vie.marks = crs.table }

func (crs *crashes) add(now time.Time, cra marks.Crash, fprs ...marks.Fingerprint) {
	crs.table = crs.table.With(now, cra, fprs...)
	crs.ctl.dirty = true
}

// withdraw clears fingerprints of requests that were answered at a time. It reports whether
// crashes counted against any.
func (crs *crashes) withdraw(now, at time.Time, fprs ...marks.Fingerprint) bool {
	if !slices.ContainsFunc(fprs, func(fpr marks.Fingerprint) bool { return crs.table.SuspectedBefore(fpr, at) }) {
		return false
	}
	crs.table = crs.table.WithSound(now, at, fprs...)
	crs.ctl.dirty = true
	return true
}

// greet sends the evidence to peers that are reached for the first time since their start, or
// again after a while: they don't know what was reported meanwhile.
func (crs *crashes) greet(now time.Time) []Decision {
	var decs []Decision
	for _, mem := range crs.ctl.members.All() {
		last, known := crs.greeted[mem.ID()]
		switch {
		case mem.State() != fleet.Live:
			delete(crs.greeted, mem.ID())
		case !known || last != mem.Incarnation():
			crs.greeted[mem.ID()] = mem.Incarnation()
			for _, rep := range crs.table.Reports() {
				decs = append(decs, send(mem.ID(), crashReport(now, rep.Crash, rep.Request...)))
			}
		}
	}
	return decs
}

// crashReport returns the message about a crash with requests in flight.
func crashReport(now time.Time, cra marks.Crash, fprs ...marks.Fingerprint) CrashReport {
	silence := time.Duration(0)
	if !cra.LastReply().IsZero() {
		silence = max(cra.At().Sub(cra.LastReply()), time.Millisecond)
	}
	return NewCrashReport(cra.Server(), now.Sub(cra.At()), silence, fprs)
}

// broadcast sends a message to all peers at once. A caller whose request failed
// may retry it within milliseconds at another entry instance, so any delay can
// cost one more server.
func (crs *crashes) broadcast(msg Message) []Decision {
	var decs []Decision
	for _, mem := range crs.ctl.members.All() {
		if mem.State() != fleet.Gone {
			decs = append(decs, send(mem.ID(), msg))
		}
	}
	return decs
}

// pruneInterval is how often expired evidence is removed.
const pruneInterval = time.Minute

func (crs *crashes) prune(now time.Time) {
	if crs.table.Len() == 0 || now.Sub(crs.prunedAt) < pruneInterval {
		return
	}
	crs.prunedAt = now
	crs.table = crs.table.WithoutExpired(now)
	crs.ctl.dirty = true
}

var (
	_ Event   = ServerCrashed{}
	_ Event   = RequestAnswered{}
	_ Message = CrashReport{}
)
