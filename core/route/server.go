package route

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is one backend server as this entry instance knows it. The identity
// never changes; a server that returns under a new incarnation is a new Server.
// The counters persist when the view is replaced.
type Server struct {
	id      string
	address string
	zone    string
	pool    string
	// hash sorts the servers of a pool, in the same order on every entry
	// instance.
	hash uint64
	// inflight is the number of this instance's own calls in flight, never
	// negative.
	inflight atomic.Int64
	// lastReply is the time of the last complete reply, in nanoseconds since
	// 1970; 0 if there was none.
	lastReply atomic.Int64
	// leaving is set once and never cleared; no new call is sent after it is
	// set.
	leaving atomic.Bool
	// report is the newest load report; nil until one arrives.
	report atomic.Pointer[Report]
	// maxRunning is the highest number of running calls in any report.
	// fullReports counts consecutive reports with that many running and others
	// queued.
	maxRunning  atomic.Int64
	fullReports atomic.Int64
	history     history
	spd         speed
	brk         breaker
	pfx         prefixes
	connections Connections
}

// NewServer returns a server of unknown load.
func NewServer(id, address, zone, pool string) *Server {
	return &Server{id: id, address: address, zone: zone, pool: pool, hash: xxhash.Sum64String(id)}
}

// ID returns the identity from the instance list.
func (srv *Server) ID() string { return srv.id }

// Address returns the IP address and port.
func (srv *Server) Address() string { return srv.address }

// Zone returns the server's availability zone.
func (srv *Server) Zone() string { return srv.zone }

// Pool returns the pool that the server belongs to.
func (srv *Server) Pool() string { return srv.pool }

// Hash returns a hash of the identity. Views sort a pool's servers by it, so
// that every entry instance maps a prefix to the same servers.
func (srv *Server) Hash() uint64 { return srv.hash }

// Inflight returns the number of this instance's own calls in flight.
func (srv *Server) Inflight() int64 { return srv.inflight.Load() }

// LastReply returns the time of the server's last complete reply; zero if there
// was none.
func (srv *Server) LastReply() time.Time {
	nanos := srv.lastReply.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// answered records a complete reply.
func (srv *Server) answered(now time.Time) {
	srv.brk.reset()
	srv.lastReply.Store(now.UnixNano())
}

// Leaving reports whether any source said that the server is leaving.
func (srv *Server) Leaving() bool { return srv.leaving.Load() }

// MarkLeaving stops new calls immediately, before the next view is published.
func (srv *Server) MarkLeaving() { srv.leaving.Store(true) }

// Connections returns the counters of this instance's connections to the
// server.
func (srv *Server) Connections() *Connections { return &srv.connections }

// Report returns the newest load report, or nil.
func (srv *Server) Report() *Report { return srv.report.Load() }

// SetReport stores a report unless a newer one is known.
func (srv *Server) SetReport(rep *Report) {
	for {
		old := srv.report.Load()
		if old != nil && old.at.After(rep.at) {
			return
		}
		if srv.report.CompareAndSwap(old, rep) {
			srv.learnSlots(rep)
			return
		}
	}
}

// fullReportsNeeded is the number of consecutive full reports after which a
// server's slots are taken to be the calls it reports running. A single report
// may have been made in the moment between a call's arrival and its start.
const fullReportsNeeded = 3

// learnSlots learns the number of slots: the most calls that ran while others
// had to queue. While nothing runs, a queued call is about to start or has just
// ended.
func (srv *Server) learnSlots(rep *Report) {
	num, most := int64(rep.running), srv.maxRunning.Load()
	switch {
	case num > most:
		srv.maxRunning.Store(num)
		srv.fullReports.Store(0)
	case num == most && num > 0 && rep.waiting > 0:
		srv.fullReports.Add(1)
	case srv.fullReports.Load() < fullReportsNeeded:
		srv.fullReports.Store(0)
	}
}

// defaultSlots is the lowest number of slots assumed for a server that no
// report has shown full.
const defaultSlots = 8

// slots returns the number of calls that run concurrently.
func (srv *Server) slots() float64 {
	if srv.fullReports.Load() >= fullReportsNeeded {
		return float64(max(1, srv.maxRunning.Load()))
	}
	return float64(max(defaultSlots, srv.maxRunning.Load()))
}

// Begin counts a call in flight; the caller must call End exactly once.
func (srv *Server) Begin(now time.Time) { srv.history.add(now, srv.inflight.Add(1)) }

// End removes the call from the count.
func (srv *Server) End(now time.Time) { srv.history.add(now, srv.inflight.Add(-1)) }

// Load estimates the number of calls running and queued at the server now, from
// the newest report and this instance's own calls begun and ended since.
// Reports arrive with replies, so a server that is not called sends none. Its
// calls meanwhile end one by one, so a report's weight decays with its age
// relative to the mean duration of a call. Without that decay, a server that
// was busy once would look busy forever.
func (srv *Server) Load(now time.Time, instances int) float64 {
	// Only half of the other instances' estimated change is counted. This damps
	// the noise of small counts and keeps all instances from rushing to a
	// server that looks idle.
	const damped = 0.5
	return srv.load(now, 1+damped*float64(max(0, instances-1)))
}

// load is Load with an explicit factor that scales own calls to those of all
// instances.
func (srv *Server) load(now time.Time, scale float64) float64 {
	own := float64(srv.inflight.Load())
	rep := srv.report.Load()
	if rep == nil || now.Sub(rep.at) > reportMaxAge {
		return own * scale
	}
	change := own - float64(srv.history.at(rep.at))
	reported := float64(rep.running+rep.waiting) + change*scale
	weight := 1.0
	if mean := srv.spd.meanDuration(); mean > 0 {
		weight = math.Exp(-now.Sub(rep.at).Seconds() / mean)
	}
	return max(own, reported*weight+own*scale*(1-weight))
}

// reportMaxAge is the age at which a report is ignored.
const reportMaxAge = 30 * time.Second

// Report is a load report of a backend server.
type Report struct {
	// at is the time that the reported state refers to, by this instance's
	// clock.
	at      time.Time
	running int
	waiting int
}

// NewReport returns a report of the calls running and queued at a time.
func NewReport(at time.Time, running, waiting int) *Report {
	return &Report{at: at, running: running, waiting: waiting}
}

// At returns the time that the reported state refers to.
func (rep *Report) At() time.Time { return rep.at }

// Running returns the number of calls in the server's batch.
func (rep *Report) Running() int { return rep.running }

// Waiting returns the number of calls in the server's queue.
func (rep *Report) Waiting() int { return rep.waiting }
