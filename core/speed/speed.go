// Package speed tracks how fast backend servers work: a lasting factor for each
// server, learnt from the work that it completed, and a momentary factor from
// its reports and its latest completions, which fades as it ages.
//
// Load pattern: servers of one service differ in speed, and each is slower for
// a part of the time because other programs use its machine. Treated alike,
// slow servers queue while fast ones idle.
//
// The package reads no clock and does no input or output.
package speed

import (
	"math"
	"slices"
	"strings"
	"time"

	"lovagestream/core/stock"
)

const (
	// maxWeight is the number of observations beyond which a lasting factor
	// forgets the oldest.
	maxWeight = 64
	// minWeight is the number of observations from which a server counts for the comparison of
	// servers.
	minWeight = 1
	// assumedNoise is the assumed variance of the logarithm of one observation,
	// and noiseWeight its weight against measured ones.
	assumedNoise = 0.25
	noiseWeight  = 8
	// maxNoiseWeight is the number of observations that the variance covers.
	maxNoiseWeight = 2000
	// clipDeviations bounds the effect of one observation on a lasting factor, in
	// standard deviations.
	clipDeviations = 2
	// minDifference is the least standard deviation of the logarithms of lasting
	// factors that counts: servers that differ by less need no other treatment.
	// keepDifference is that at which an established difference ends.
	minDifference  = 0.18
	keepDifference = 0.12
	// minMomentary is the least momentary deviation that is used.
	minMomentary = 0.15
	// refreshInterval is the number of observations between two comparisons of
	// the servers.
	refreshInterval = 32
	// maxRecords bounds the records that instances exchange, and recordTrust is
	// the weight of a record relative to own observations.
	maxRecords  = 256
	recordTrust = 0.5
	// maxReported is the highest work factor that is believed, either way.
	maxReported = 16
)

// Load is what a server says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Factor is how long work takes at the server at this moment, relative to
	// its usual time; 0 if the server doesn't say.
	Factor float64
}

// Record is the lasting factor of one server, as instances exchange it.
type Record struct {
	Server    string
	StartedAt int64
	Factor    float64
	// Weight is the number of independent observations behind the factor, at
	// most maxWeight.
	Weight float64
}

// Tracker tracks the servers of one service. A server that starts again under
// its ID begins as an unknown one. A Tracker is not safe for concurrent use.
type Tracker struct {
	servers map[string]*Server
	// list holds the same servers, sorted by ID, so that sums over them are the
	// same each time.
	list []*Server
	// noise is the variance of the logarithm of one observation around its
	// server's lasting factor, noiseCount the observations behind it.
	noise      float64
	noiseCount float64
	// center is the mean of the servers' logarithms, variance that of their true
	// deviations from it; 0 while they differ by no more than the noise.
	center   float64
	variance float64
	// observed and reported are how much of a deviation is left after a time:
	// of one seen in completed work, and of one that the server reported.
	observed fading
	reported fading
	// merged is set once records of another instance were taken over.
	merged bool
	// pending counts the observations since the servers were last compared.
	pending int
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker {
	return &Tracker{servers: map[string]*Server{}, noise: assumedNoise, noiseCount: noiseWeight}
}

// SetServers sets the live servers and drops the state of all others, and of
// servers that have restarted.
func (trk *Tracker) SetServers(list []stock.Entry) {
	seen := make(map[string]bool, len(list))
	for _, ent := range list {
		seen[ent.ID] = true
		ser := trk.servers[ent.ID]
		if ser == nil || ser.startedAt != ent.StartedAt || ser.address != ent.Address {
			trk.servers[ent.ID] = &Server{trk: trk, id: ent.ID, startedAt: ent.StartedAt, address: ent.Address, factor: 1}
		}
	}
	for id := range trk.servers {
		if !seen[id] {
			delete(trk.servers, id)
		}
	}
	trk.list = trk.list[:0]
	for _, ser := range trk.servers {
		trk.list = append(trk.list, ser)
	}
	slices.SortFunc(trk.list, func(one, two *Server) int { return strings.Compare(one.id, two.id) })
	trk.compare()
}

// Server returns a server's state, or nil for an unknown server. It is valid
// until the server is gone or has restarted.
func (trk *Tracker) Server(id string) *Server { return trk.servers[id] }

// ObserveLoad records a report of a server's load.
func (trk *Tracker) ObserveLoad(now time.Time, server string, load Load) {
	ser := trk.servers[server]
	if ser == nil || load.Factor <= 0 {
		return
	}
	ser.report = math.Log(min(maxReported, max(1.0/maxReported, load.Factor)))
	ser.reportedAt = now
}

// ObserveWork records work that would take nominal at a server of usual speed
// and took a time at this one. Weight, from 0 to 1, is how much the result says:
// 1 if its error is that of a whole piece of work, less if other delays are a
// large part of it.
func (trk *Tracker) ObserveWork(now time.Time, server string, nominal, took time.Duration, weight float64) {
	ser := trk.servers[server]
	if ser == nil || nominal <= 0 || took <= 0 || weight <= 0 {
		return
	}
	ser.observe(now, math.Log(float64(took)/float64(nominal)), min(1, weight))
	trk.pending++
	if trk.pending >= refreshInterval {
		trk.compare()
	}
}

// ObserveWait records work that has not been done after a time, and that would
// take nominal at a server of usual speed. It can only raise the momentary
// factor: nothing says how long the work would still take.
func (trk *Tracker) ObserveWait(now time.Time, server string, nominal, waited time.Duration) {
	ser := trk.servers[server]
	if ser == nil || ser.weight == 0 || nominal <= 0 || waited <= nominal {
		return
	}
	dev := bounded(math.Log(float64(waited)/float64(nominal))-ser.mean, 2*clipDeviations*math.Sqrt(trk.noise))
	if dev > ser.deviation*trk.observed.left(now.Sub(ser.seen)) {
		ser.deviation, ser.seen = dev, now
	}
}

// Factor is the expected ratio of time to nominal time for work begun now; 1
// for an unknown server.
func (trk *Tracker) Factor(now time.Time, server string) float64 {
	if ser := trk.servers[server]; ser != nil {
		return ser.Factor(now)
	}
	return 1
}

// Lasting is the server's lasting factor; 1 for an unknown server.
func (trk *Tracker) Lasting(server string) float64 {
	if ser := trk.servers[server]; ser != nil {
		return ser.Lasting()
	}
	return 1
}

// Uneven reports whether the servers' lasting factors differ by more than the
// noise of their estimates.
func (trk *Tracker) Uneven() bool { return trk.variance > 0 }

// compare estimates how much the servers differ. The variance of the estimates
// has two parts: their own errors, and the servers' differences. There is a
// difference if the variance exceeds what the errors explain by four standard
// deviations of such a ratio, which depend on the number of servers. For few
// servers, whose ratio has a longer tail, it must exceed it by more.
func (trk *Tracker) compare() {
	trk.pending = 0
	count, sum, errs := 0.0, 0.0, 0.0
	for _, ser := range trk.list {
		if ser.weight >= minWeight {
			count++
			sum += ser.mean
			errs += ser.err()
		}
	}
	if count > 0 {
		trk.center = sum / count
	}
	was := trk.variance > 0
	trk.variance = 0
	if count >= 3 && (trk.observed.measured || trk.merged) {
		total := 0.0
		for _, ser := range trk.list {
			if ser.weight >= minWeight {
				total += (ser.mean - trk.center) * (ser.mean - trk.center)
			}
		}
		total, errs = total/(count-1), errs/count
		deviations, least := 4.0, minDifference
		if was {
			deviations, least = 2, keepDifference
		}
		deviation := math.Sqrt(2 / (count - 1))
		if total > errs*(1+deviations*deviation*(1+deviation)) && total-errs > least*least {
			trk.variance = total - errs
		}
	}
	for _, ser := range trk.list {
		ser.refresh()
	}
}

// Records returns the lasting factors for other instances, at most maxRecords
// of them, those that differ most first.
func (trk *Tracker) Records() []Record {
	if !trk.Uneven() {
		return nil
	}
	out := make([]Record, 0, len(trk.servers))
	for _, ser := range trk.list {
		if ser.weight >= minWeight {
			out = append(out, Record{Server: ser.id, StartedAt: ser.startedAt, Factor: math.Exp(ser.mean - trk.center), Weight: ser.spells})
		}
	}
	slices.SortFunc(out, func(one, two Record) int {
		if a, b := math.Abs(math.Log(one.Factor)), math.Abs(math.Log(two.Factor)); a != b {
			if a > b {
				return -1
			}
			return 1
		}
		return strings.Compare(one.Server, two.Server)
	})
	return out[:min(len(out), maxRecords)]
}

// Merge takes over the records of servers of which this instance knows less.
// Records of another start of a server are ignored.
func (trk *Tracker) Merge(list []Record) {
	merged := false
	for _, rec := range list {
		ser := trk.servers[rec.Server]
		weight := recordTrust * min(maxWeight, rec.Weight)
		if ser == nil || ser.startedAt != rec.StartedAt || !(ser.spells < weight) || !(rec.Factor >= 1.0/maxReported && rec.Factor <= maxReported) {
			continue
		}
		ser.mean, ser.weight = trk.center+math.Log(rec.Factor), weight
		ser.spells = weight
		merged, trk.merged = true, true
	}
	if merged {
		trk.compare()
	}
}

// State is a server's speed, for logs and metrics.
type State struct {
	Server    string
	Lasting   float64
	Momentary float64
	// Age is that of the latest observation; 0 if there is none.
	Age time.Duration
}

// States returns the speeds of all servers, sorted by ID.
func (trk *Tracker) States(now time.Time) []State {
	out := make([]State, 0, len(trk.servers))
	for _, ser := range trk.list {
		sta := State{Server: ser.id, Lasting: ser.Lasting(), Momentary: ser.Factor(now) / ser.Lasting()}
		if !ser.seen.IsZero() {
			sta.Age = now.Sub(ser.seen)
		}
		out = append(out, sta)
	}
	return out
}
