package route

import (
	"math"
	"math/bits"
	"sort"
	"sync/atomic"
	"time"
)

const (
	// fullScanLimit is the largest pool in which every server is scored. In a
	// larger pool a random sample of sampleSize servers is scored, so that the
	// cost does not grow with the pool.
	fullScanLimit = 24
	sampleSize    = 8
	// maxCandidates bounds the servers scored: the sample, or a whole small
	// pool, plus the affinity servers of the prefix.
	maxCandidates   = fullScanLimit + affinityServers
	affinityServers = 2
	// jitter is the largest relative random addition to a forecast.
	jitter = 0.05
	// cachedPromptCost is the fraction of a prompt that is computed again on a
	// server that has its prefix cached.
	cachedPromptCost = 0.1
	// crossZoneLatency is the added latency of a call into another zone.
	crossZoneLatency = 500 * time.Microsecond
	// seenPrefixes is the size of the table of recently seen prefixes.
	seenPrefixes = 4096
)

// Finish picks the server with the earliest forecast completion. The forecast
// combines the server's current load, its speed relative to its peers, the work
// of the call less what the server's prefix cache saves, and the latency to its
// zone. Calls with a common prefix stay on its affinity servers only while the
// cached prefill saves more time than their load costs, so that a hot prefix
// cannot overload them. Servers that failed recently are skipped unless all
// have failed.
type Finish struct {
	// seen holds recently seen prefixes, indexed by their low bits. A prefix
	// seen only once gets no affinity server: it would only unbalance the load.
	seen [seenPrefixes]atomic.Uint64
}

var _ Policy = (*Finish)(nil)

// NewFinish returns a policy with no prefixes seen.
func NewFinish() *Finish { return &Finish{} }

// Name returns "finish".
func (*Finish) Name() string { return "finish" }

// shortlist holds the candidate servers of one decision.
type shortlist struct {
	srvs [maxCandidates]*Server
	num  int
	// affinity is the first affinity server of the prefix, or nil.
	affinity *Server
}

func (sho *shortlist) add(qry *Query, srv *Server) {
	if sho.num == len(sho.srvs) || !qry.eligible(srv) || srv.brk.excluded(qry.now) {
		return
	}
	for _, got := range sho.srvs[:sho.num] {
		if got == srv {
			return
		}
	}
	sho.srvs[sho.num] = srv
	sho.num++
}

// Decide returns the candidate with the earliest forecast completion.
func (fin *Finish) Decide(qry Query) *Server {
	var sho shortlist
	fin.fill(&qry, &sho)
	for sho.num > 0 {
		idx := fin.best(&qry, &sho)
		srv := sho.srvs[idx]
		if srv.brk.probe(qry.now) {
			return srv
		}
		sho.num--
		sho.srvs[idx] = sho.srvs[sho.num]
	}
	// All candidates failed recently. An attempt that may fail is better than
	// none.
	return pickRandom(qry)
}

func (fin *Finish) fill(qry *Query, sho *shortlist) {
	if len(qry.servers) <= fullScanLimit {
		for _, srv := range qry.servers {
			sho.add(qry, srv)
		}
	} else {
		for range sampleSize {
			sho.add(qry, qry.servers[qry.rng.IntN(len(qry.servers))])
		}
	}
	if len(qry.servers) == 0 || !fin.seenBefore(qry.prefix) {
		return
	}
	sho.affinity = affinityServer(qry.servers, qry.prefix)
	sho.add(qry, sho.affinity)
	sho.add(qry, affinityServer(qry.servers, bits.RotateLeft64(qry.prefix, 32)))
}

// seenBefore reports whether a prefix was seen before, and records it.
func (fin *Finish) seenBefore(prefix uint64) bool {
	if prefix == 0 {
		return false
	}
	return fin.seen[prefix%seenPrefixes].Swap(prefix) == prefix
}

// affinityServer returns the first server at or after a hash on the hash ring.
// Servers are sorted by hash, so that adding or removing one moves only its own
// prefixes.
func affinityServer(servers []*Server, hash uint64) *Server {
	idx := sort.Search(len(servers), func(i int) bool { return servers[i].hash >= hash })
	return servers[idx%len(servers)]
}

// best returns the index of the candidate with the earliest forecast
// completion.
func (fin *Finish) best(qry *Query, sho *shortlist) int {
	median := sho.medianTimePerUnit()
	got, least := 0, math.Inf(1)
	for i, srv := range sho.srvs[:sho.num] {
		cost := qry.forecast(srv, median, srv == sho.affinity) * (1 + jitter*qry.rng.Float64())
		if cost < least {
			got, least = i, cost
		}
	}
	return got
}

// medianTimePerUnit returns the median time per unit of work over the
// candidates that have been measured.
func (sho *shortlist) medianTimePerUnit() float64 {
	var times [maxCandidates]float64
	num := 0
	for _, srv := range sho.srvs[:sho.num] {
		val := srv.spd.meanTimePerUnit()
		if val == 0 {
			continue
		}
		at := num
		for ; at > 0 && times[at-1] > val; at-- {
			times[at] = times[at-1]
		}
		times[at] = val
		num++
	}
	if num == 0 {
		return 0
	}
	return times[(num-1)/2]
}

// defaultTimePerUnit is the time per unit of work, in seconds, assumed while no
// server has been measured.
const defaultTimePerUnit = 0.02

// forecast returns the time in seconds until the server would complete this
// call.
func (qry *Query) forecast(srv *Server, median float64, affinity bool) float64 {
	timePerUnit := srv.spd.estimate(qry.now, median)
	if timePerUnit == 0 {
		timePerUnit = defaultTimePerUnit
	}
	prompt := float64(qry.prompt)
	if affinity || srv.pfx.has(qry.prefix) {
		prompt *= cachedPromptCost
	}
	work := 1.0
	if qry.tokens > 0 || qry.prompt > 0 {
		work = float64(qry.tokens) + prompt/promptPerToken
	}
	cost := timePerUnit * work * srv.slowdown(srv.Load(qry.now, qry.entryInstances))
	if srv.zone != qry.zone {
		cost += crossZoneLatency.Seconds()
	}
	return cost
}
