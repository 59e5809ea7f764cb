package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server as this entry instance knows it. The identity
// never changes; a server that comes back under a new incarnation is a new
// Server. The counters outlive a change of view.
type Server struct {
	id      string
	address string
	zone    string
	pool    string
	// hash orders the servers of a pool, the same on every entry instance.
	hash uint64
	// inflight is the number of this instance's own calls, never negative.
	inflight atomic.Int64
	// alive is when a reply was last whole, in nanoseconds since 1970; 0 if
	// none was.
	alive atomic.Int64
	// leaving is set once and never cleared: no new call is sent after it.
	leaving atomic.Bool
	// report is the newest load report; nil until one arrives.
	report atomic.Pointer[Report]
	// ran is the most calls that a report showed running at once. fullReports
	// counts the reports on end that showed as many, with others waiting.
	ran         atomic.Int64
	fullReports atomic.Int64
	past        history
	spd         speed
	hea         health
	pfx         prefixes
	links       Links
}

// NewServer returns a server with no load known.
func NewServer(id, address, zone, pool string) *Server {
	return &Server{id: id, address: address, zone: zone, pool: pool, hash: xxhash.Sum64String(id)}
}

// ID returns the identity from the instance list.
func (srv *Server) ID() string { return srv.id }

// Address returns host and port by IP number.
func (srv *Server) Address() string { return srv.address }

// Zone returns its availability zone.
func (srv *Server) Zone() string { return srv.zone }

// Pool returns the pool it belongs to.
func (srv *Server) Pool() string { return srv.pool }

// Hash returns a hash of the identity. Views list a pool's servers by it, so
// that equal prefixes find the same servers from every entry instance.
func (srv *Server) Hash() uint64 { return srv.hash }

// Inflight returns this instance's own calls in flight.
func (srv *Server) Inflight() int64 { return srv.inflight.Load() }

// Alive returns when a reply of the server was last whole; zero if none was.
func (srv *Server) Alive() time.Time {
	nanos := srv.alive.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// answered notes a whole reply.
func (srv *Server) answered(now time.Time) {
	srv.hea.well()
	srv.alive.Store(now.UnixNano())
}

// Leaving reports whether any source said that the server is leaving.
func (srv *Server) Leaving() bool { return srv.leaving.Load() }

// MarkLeaving stops new calls at once, before the next view is published.
func (srv *Server) MarkLeaving() { srv.leaving.Store(true) }

// Links returns the counts of this instance's connections to the server.
func (srv *Server) Links() *Links { return &srv.links }

// Report returns the newest load report, or nil.
func (srv *Server) Report() *Report { return srv.report.Load() }

// SetReport keeps a report unless a newer one is known.
func (srv *Server) SetReport(rep *Report) {
	for {
		old := srv.report.Load()
		if old != nil && old.at.After(rep.at) {
			return
		}
		if srv.report.CompareAndSwap(old, rep) {
			srv.sizeUp(rep)
			return
		}
	}
}

// surely is how many reports on end show a server as full before it is taken
// to run no more calls at once than they say. One alone may have been made in
// the moment between a call's arrival and its start.
const surely = 3

// sizeUp learns how many calls run at once: the most that ran while others
// had to wait. Where nothing runs, what waits is about to run or has just ended.
func (srv *Server) sizeUp(rep *Report) {
	num, most := int64(rep.running), srv.ran.Load()
	switch {
	case num > most:
		srv.ran.Store(num)
		srv.fullReports.Store(0)
	case num == most && num > 0 && rep.waiting > 0:
		srv.fullReports.Add(1)
	case srv.fullReports.Load() < surely:
		srv.fullReports.Store(0)
	}
}

// defaultSlots is the least taken for a server that no report has shown full.
const defaultSlots = 8

// size is how many calls run at once.
func (srv *Server) size() float64 {
	if srv.fullReports.Load() >= surely {
		return float64(max(1, srv.ran.Load()))
	}
	return float64(max(defaultSlots, srv.ran.Load()))
}

// Begin counts a call in flight; the caller must call End once.
func (srv *Server) Begin(now time.Time) { srv.past.add(now, srv.inflight.Add(1)) }

// End counts the call out again.
func (srv *Server) End(now time.Time) { srv.past.add(now, srv.inflight.Add(-1)) }

// Load is how many calls the server has, running and waiting, as far as can
// be told now: what the newest report says, and this instance's own calls
// begun and ended since. A report comes with a reply, so that a server that is
// not called sends none; its calls have ended one by one since, and what it
// said counts the less the more of a call's usual time has passed. Without
// that, a server that was busy once would look busy for good.
func (srv *Server) Load(now time.Time, entries int) float64 {
	// Half of the others' change is left out, which damps both the noise of a
	// small count and the rush of all instances to a server that looks idle.
	const damped = 0.5
	return srv.load(now, 1+damped*float64(max(0, entries-1)))
}

// load is Load with a factor from own calls to those of all instances.
func (srv *Server) load(now time.Time, scale float64) float64 {
	own := float64(srv.inflight.Load())
	rep := srv.report.Load()
	if rep == nil || now.Sub(rep.at) > reportLife {
		return own * scale
	}
	change := own - float64(srv.past.at(rep.at))
	told := float64(rep.running+rep.waiting) + change*scale
	trust := 1.0
	if usual := srv.spd.usual(); usual > 0 {
		trust = math.Exp(-now.Sub(rep.at).Seconds() / usual)
	}
	return max(own, told*trust+own*scale*(1-trust))
}

// reportLife is the age at which a report says nothing any more.
const reportLife = 30 * time.Second

// Report is what a backend server said about its load.
type Report struct {
	// at is when the server's state was as reported, by this instance's clock.
	at      time.Time
	running int
	waiting int
}

// NewReport returns a report of running and waiting calls at a time.
func NewReport(at time.Time, running, waiting int) *Report {
	return &Report{at: at, running: running, waiting: waiting}
}

// At returns the time the report speaks of.
func (rep *Report) At() time.Time { return rep.at }

// Running returns the calls in the server's batch.
func (rep *Report) Running() int { return rep.running }

// Waiting returns the calls in the server's queue.
func (rep *Report) Waiting() int { return rep.waiting }
