// Package pick chooses the backend server of a plain request, from what this
// entry instance has observed of each server.
//
// A service has a few servers with a few slots each and of different speed, and
// one may become silent, slow or fail some requests. Each instance sends a few
// requests a second to each, so two failures in a row eject a server.
package pick

import (
	"time"

	"lovagestream/core/health"
	"lovagestream/core/stock"
)

const (
	// latencySmoothing is the weight of the latest answer in a server's usual
	// latency.
	latencySmoothing = 0.2
	// defaultLatency is a server's assumed latency before its first answer.
	defaultLatency = 50 * time.Millisecond
	// crossZoneCost is the extra cost of a server in another zone: a few
	// milliseconds for the round trip.
	crossZoneCost = 4 * time.Millisecond
	// failureCost is the cost of a server whose requests all fail.
	failureCost = 2 * time.Second
	// slowFactor is the ratio to the lowest latency above which a server counts
	// as slow. Slow servers get a request now and then.
	slowFactor = 3
	// silentAfter and silentFactor are how long, and how many times the usual
	// latency, a caller must have waited for its leaving to count as a failure
	// of the server.
	silentAfter  = 300 * time.Millisecond
	silentFactor = 5
	// slowRetryInterval is how often a slow server gets a request.
	slowRetryInterval = 2 * time.Second
)

type server struct {
	ent      stock.Entry
	rec      health.Record
	latency  time.Duration
	lastSent time.Time
	inFlight int
	measured bool
}

// Pool tracks the servers of one service. It is not safe for concurrent use.
type Pool struct {
	servers map[string]*server
	// silentZones are the zones whose entry instances are all silent.
	silentZones map[string]bool
}

// SuspectZones sets the silent zones. Their servers get a request only if no
// other can take it.
func (pol *Pool) SuspectZones(zones map[string]bool) { pol.silentZones = zones }

// silentZoneCost is the cost of a server in a silent zone.
const silentZoneCost = 10 * time.Second

// New returns an empty pool.
func New() *Pool { return &Pool{servers: map[string]*server{}} }

// server returns the state of a server. One that has started again, or is at
// another address, begins as an unknown one.
func (pol *Pool) server(ent stock.Entry) *server {
	ser := pol.servers[ent.ID]
	if ser == nil || ser.ent.Address != ent.Address || ser.ent.StartedAt < ent.StartedAt {
		ser = &server{latency: defaultLatency}
		pol.servers[ent.ID] = ser
	}
	if ent.StartedAt == ser.ent.StartedAt || ser.ent.ID == "" {
		ser.ent = ent
	}
	return ser
}

// running returns the server that has a request, or nil if it is gone or has
// started again: the request says nothing of the new start.
func (pol *Pool) running(ent stock.Entry) *server {
	ser := pol.servers[ent.ID]
	if ser == nil || ser.ent.Address != ent.Address || ser.ent.StartedAt != ent.StartedAt {
		return nil
	}
	return ser
}

// Trim drops the state of servers that are not listed.
func (pol *Pool) Trim(list []stock.Entry) {
	if len(pol.servers) <= 2*len(list)+8 {
		return
	}
	seen := map[string]bool{}
	for _, ent := range list {
		seen[ent.ID] = true
	}
	for id, ser := range pol.servers {
		if !seen[id] && ser.inFlight == 0 {
			delete(pol.servers, id)
		}
	}
}

// Choose returns the server with the least cost, or false if none can be used.
// Among equals, draw in [0,1) decides.
func (pol *Pool) Choose(now time.Time, list []stock.Entry, zone string, avoid map[string]bool, draw float64) (stock.Entry, bool) {
	best := -1
	var lowest time.Duration
	fastest := pol.fastest(list)
	start := int(draw * float64(len(list)))
	for num := range list {
		idx := (start + num) % len(list)
		ent := list[idx]
		ser := pol.server(ent)
		if ent.Leaving || avoid[ent.ID] || !ser.rec.Available(now) {
			continue
		}
		cost := pol.cost(now, ent, ser, zone, fastest)
		if best < 0 || cost < lowest {
			best, lowest = idx, cost
		}
	}
	if best < 0 {
		return stock.Entry{}, false
	}
	return list[best], true
}

func (pol *Pool) fastest(list []stock.Entry) time.Duration {
	lowest := time.Duration(0)
	for _, ent := range list {
		if ser := pol.servers[ent.ID]; ser != nil && ser.measured && (lowest == 0 || ser.latency < lowest) {
			lowest = ser.latency
		}
	}
	return max(lowest, defaultLatency/2)
}

func (pol *Pool) cost(now time.Time, ent stock.Entry, ser *server, zone string, fastest time.Duration) time.Duration {
	latency := ser.latency
	if latency > slowFactor*fastest && now.Sub(ser.lastSent) > slowRetryInterval {
		latency = fastest
	}
	cost := latency + latency*time.Duration(ser.inFlight)/time.Duration(max(1, ent.Slots))
	cost += time.Duration(ser.inFlight) * time.Millisecond
	cost += time.Duration(ser.rec.FailureRate() * float64(failureCost))
	cost += ent.ColdStart / 4
	if ent.Zone != zone {
		cost += crossZoneCost
	}
	if pol.silentZones[ent.Zone] {
		cost += silentZoneCost
	}
	return cost
}

// Sent records that a request was sent.
func (pol *Pool) Sent(now time.Time, ent stock.Entry) {
	pol.server(ent)
	ser := pol.running(ent)
	if ser == nil {
		// The server has started again since it was chosen elsewhere.
		return
	}
	ser.inFlight++
	ser.lastSent = now
	ser.rec.Started()
}

// Answered records an answer and its latency.
func (pol *Pool) Answered(ent stock.Entry, took time.Duration) {
	ser := pol.running(ent)
	if ser == nil {
		return
	}
	ser.inFlight--
	ser.rec.Succeeded()
	ser.measured = true
	ser.latency += time.Duration(latencySmoothing * float64(took-ser.latency))
}

// Failed records that no usable answer came. It reports whether this ejected
// the server.
func (pol *Pool) Failed(now time.Time, ent stock.Entry) bool {
	ser := pol.running(ent)
	if ser == nil {
		return false
	}
	ser.inFlight--
	return ser.rec.Failed(now)
}

// NotSent records that nothing was sent to the chosen server, for a reason on
// this side.
func (pol *Pool) NotSent(ent stock.Entry) {
	ser := pol.running(ent)
	if ser == nil {
		return
	}
	ser.inFlight--
	ser.rec.Abandoned()
}

// Refused records that the server was full, or that another server answered.
func (pol *Pool) Refused(now time.Time, ent stock.Entry) {
	ser := pol.running(ent)
	if ser == nil {
		return
	}
	ser.inFlight--
	ser.rec.Eject(now)
}

// CallerLeft records that the caller left before the answer.
func (pol *Pool) CallerLeft(now time.Time, ent stock.Entry, waited time.Duration) {
	ser := pol.running(ent)
	if ser == nil {
		return
	}
	ser.inFlight--
	if waited > silentAfter && waited > silentFactor*ser.latency {
		// A working server would have answered by now: this one is silent,
		// though its connection is up.
		ser.rec.Failed(now)
		return
	}
	ser.rec.Abandoned()
	if waited > ser.latency {
		ser.latency += time.Duration(latencySmoothing * float64(waited-ser.latency))
	}
}
