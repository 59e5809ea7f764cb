package edge

import (
	"math"
	"time"

	"lovagestream/core/fair"
	"lovagestream/core/rates"
	"lovagestream/core/retry"
	"lovagestream/core/speed"
)

// stats is the control thread's state for metrics, updated a few times a second.
type stats struct {
	configVersion int64
	servers       int
	pending       int
	jobs          int
	coordinator   string
	live          int
	known         int
	readsStore    bool
	// storeAge is the time since the store last answered; negative if it never
	// did.
	storeAge time.Duration
	verified bool
	// limits are the rate limits that servers have stated. Unplaced requests wait
	// for a server that meets all their requirements.
	limits   []rates.Limit
	unplaced int
	// cold counts servers that may be cold, evacuated those in evacuated zones.
	cold      int
	evacuated int
	// paused counts servers that accept no requests from this instance for now.
	paused int
	// speeds are those of the engines, by service, where they differ.
	speeds map[string][]speed.State
	// over are the accounts over their share that this instance decides about.
	over []fair.Standing
	// streams is the number of streams of which the software is recorded, unrecorded
	// that of those for which there was no space.
	streams    int
	unrecorded int
	// observed is the number of servers to which a connection is kept open.
	observed int
	// causes are those of crashes of servers, suspects counts the fingerprints with evidence.
	causes   []CrashCause
	suspects int
	// waiting counts the requests without a decision by client account.
	waiting map[string]int64
}

// snapshot returns the current stats.
func (ctl *Control) snapshot(now time.Time) *stats {
	sta := &stats{servers: len(ctl.live), pending: len(ctl.pending), jobs: ctl.sched.Jobs(), coordinator: ctl.coordinator, readsStore: ctl.Duty().Reads, storeAge: -1, verified: ctl.verified, limits: ctl.limits.limiter.All(), unplaced: ctl.sched.Unplaced(), cold: ctl.limits.limiter.ColdServers(), evacuated: len(ctl.evacuated), paused: len(ctl.pauses.list(now)), speeds: ctl.sched.Speeds(now), over: ctl.accounts.over, waiting: ctl.waitingByAccount(), streams: ctl.streams.records.Len(), unrecorded: ctl.streams.records.Dropped(), observed: ctl.streams.observed, causes: ctl.crashCauses(now), suspects: ctl.marks.Len()}
	sta.live, sta.known = ctl.mem.Count(now)
	if ctl.tab != nil {
		sta.configVersion = ctl.tab.Version()
	}
	if !ctl.storeAt.IsZero() {
		sta.storeAge = now.Sub(ctl.storeAt)
	}
	return sta
}

// registerGauges registers the metrics that are computed when they are read.
func (nod *Node) registerGauges() {
	read := func(name string, fun func(*stats) any) {
		nod.gau.Read(name, func() any { return fun(nod.ctl.stats.Load()) })
	}
	read("streams-recorded", func(sta *stats) any { return sta.streams })
	read("streams-unrecorded", func(sta *stats) any { return sta.unrecorded })
	read("servers-observed", func(sta *stats) any { return sta.observed })
	read("crash-causes", func(sta *stats) any { return len(sta.causes) })
	read("crash-suspects", func(sta *stats) any { return sta.suspects })
	read("config-version", func(sta *stats) any { return sta.configVersion })
	read("servers", func(sta *stats) any { return sta.servers })
	read("requests-handed-over", func(sta *stats) any { return sta.pending })
	read("scheduler-jobs", func(sta *stats) any { return sta.jobs })
	read("coordinator", func(sta *stats) any { return sta.coordinator })
	read("members-live", func(sta *stats) any { return sta.live })
	read("members-known", func(sta *stats) any { return sta.known })
	read("reads-store", func(sta *stats) any { return sta.readsStore })
	read("store-age-ms", func(sta *stats) any { return sta.storeAge.Milliseconds() })
	read("limits", func(sta *stats) any { return limitMetrics(sta) })
	read("requests-unplaced", func(sta *stats) any { return sta.unplaced })
	read("servers-cold", func(sta *stats) any { return sta.cold })
	read("servers-paused", func(sta *stats) any { return sta.paused })
	read("servers-evacuated", func(sta *stats) any { return sta.evacuated })
	read("server-speeds", func(sta *stats) any { return speedMetrics(sta) })
	read("verified", func(sta *stats) any { return sta.verified })
	if num := nod.set.AccountMetrics; num > 0 {
		nod.gau.Read("accounts", func() any { return nod.srv.AccountCounts(num, nod.ctl.stats.Load().waiting) })
		read("accounts-over-share", func(sta *stats) any { return overShareMetrics(sta.over, num) })
	}
	nod.gau.Read("retry-budget", func() any { return retryMetrics(nod.srv.RetryUsage()) })
	nod.gau.Read("requests-active", func() any { return nod.srv.Active() })
	nod.gau.Read("lateness-ms", func() any { late, _ := nod.ctl.throttle.State(); return late.Milliseconds() })
	nod.gau.Read("connections-per-second-limit", func() any { _, rate := nod.ctl.throttle.State(); return rate })
	nod.gau.Read("callers-connections", func() any { return nod.callerConns.OpenConns() })
	nod.gau.Read("callers-closed-for-room", func() any { return nod.callerConns.ClosedForRoom() })
	nod.gau.Read("connections-made", func() any { return nod.poo.Opened() })
	nod.gau.Read("services-lost", func() any { return nod.poo.LostServices() })
	nod.gau.Read("responses-over-bound", func() any { return nod.poo.OverBound() })
	nod.gau.Read("connects", func() any { return nod.poo.Connects() })
	nod.gau.Read("peer-bytes-waiting", func() any { return nod.transport.QueuedBytes() })
	nod.gau.Read("peer-messages-left-out", func() any { return nod.transport.DroppedMessages() })
	nod.gau.Read("lines-left-out", func() any { return nod.dep.Log.Dropped() })
}

// limitMetric is a rate limit in the metrics; rates are in requests per second.
type limitMetric struct {
	Rate float64 `json:"rate"`
	Own  float64 `json:"own"`
}

// speedMetric is a server's speed in the metrics: how long work takes there
// relative to the usual.
type speedMetric struct {
	Lasting   float64 `json:"lasting"`
	Momentary float64 `json:"momentary"`
	AgeMs     int64   `json:"age-ms"`
}

func speedMetrics(sta *stats) map[string]speedMetric {
	out := map[string]speedMetric{}
	for _, list := range sta.speeds {
		for _, spd := range list {
			out[spd.Server] = speedMetric{Lasting: spd.Lasting, Momentary: spd.Momentary, AgeMs: spd.Age.Milliseconds()}
		}
	}
	return out
}

// retryMetric is this instance's part of the retry budget of a service in the metrics, in
// requests of a window.
type retryMetric struct {
	Requests int     `json:"requests"`
	Retries  int     `json:"retries"`
	Limit    float64 `json:"limit"`
}

func retryMetrics(usage map[string]retry.Usage) map[string]retryMetric {
	out := map[string]retryMetric{}
	for service, usg := range usage {
		out[service] = retryMetric{Requests: usg.Requests, Retries: usg.Retries, Limit: math.Round(usg.Limit)}
	}
	return out
}

func limitMetrics(sta *stats) map[string]limitMetric {
	out := map[string]limitMetric{}
	for _, lim := range sta.limits {
		out[lim.Server] = limitMetric{Rate: lim.Rate, Own: lim.OwnRate}
	}
	return out
}
