// Package place chooses the model engine of a request, based on the requests it
// placed before and their outcomes. Of the engines' own load reports it uses
// only how fast they say they work, as far as their answers bear it out: the
// counts are old when they arrive, and all instances act on the same ones.
//
// Many requests share the leading parts of their prompts, and an engine that
// caches them saves up to nine tenths of the prefill. The same few parts are
// popular, so a request goes to an engine that caches its parts only as long as
// the wait there is no longer than the prefill elsewhere.
package place

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/health"
	"lovagestream/core/rates"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
)

const (
	// defaultRate, in tokens per millisecond, and defaultBase are used until
	// there are enough samples. Engines prefill 50 to 65 tokens per
	// millisecond.
	defaultRate = 50.0
	defaultBase = 90 * time.Millisecond
	// crossZoneCost is the cost of moving a megabyte between zones. Moving a
	// prompt's results is priced at about a third of its prefill.
	crossZoneCost = 8 * time.Millisecond
	// runCost is the time that each request running at an engine adds to
	// another one's decoding steps, over a stream of usual length.
	runCost = 4 * time.Millisecond
	// plainBase is twice the usual time of a request without a prompt, until
	// answers show it; baseSmoothing is the weight of the latest answer.
	plainBase     = 60 * time.Millisecond
	baseSmoothing = 0.1
	// maxSlotShare is the share of an engine's slots that may be in use.
	maxSlotShare = 0.9
	// cacheShare is the share of an engine's token capacity assumed to hold
	// cached parts; running requests use the rest.
	cacheShare = 0.8
	// minAwayCost is the least extra cost of an engine that is not the home
	// engine, so that all instances decide equal choices alike.
	minAwayCost = 15 * time.Millisecond
	// failureCost is the cost of an engine whose requests all fail.
	failureCost = 2 * time.Second
	// loneVersionCost is the cost of beginning a stream at the only server of its
	// software version, while others have more: if that server is lost, the stream can't
	// go on. It is a short wait of a caller.
	loneVersionCost = 300 * time.Millisecond
)

type engine struct {
	ent          stock.Entry
	rec          health.Record
	parts        map[string]*cachedPart
	cachedTokens int
	runs         int
	// backlogTokens is the number of prompt tokens of placed requests that wait
	// for prefill.
	backlogTokens int
	// runTokens is the number of tokens held by running requests.
	runTokens int
	// speed is the engine's speed.
	speed *speed.Server
	// unbegun are the runs without a first event, in the order in which they
	// were placed.
	unbegun []*Run
	recent  recent
}

// Pool places the requests of one model service.
type Pool struct {
	engines map[string]*engine
	slots   int
	memory  int
	prefill regression
	// nominal is the time to the first event by the number of tokens to be read
	// until then, those of earlier runs included, each as long as its engine takes
	// for it. The fixed time is hardly the engine's, and the same for all.
	nominal regression
	speeds  *speed.Tracker
	// ignoreSpeed makes the pool treat all engines as equally fast.
	ignoreSpeed bool
	// gapTarget is the longest pause between events of a run that counts as on
	// time; 0 if unknown.
	gapTarget time.Duration
	// recent is the sum of the engines'.
	recent recent
	// streamTime is the usual time from a run's first event to its end.
	streamTime time.Duration
	// base is twice the fixed time of a request, without prefill.
	base time.Duration
	// rates are the rate limits that engines set.
	rates *rates.Limiter
	// silentZone reports whether a zone is silent.
	silentZone func(zone string) bool
	// loneVersions are the software versions with a single server that isn't leaving,
	// while another version has more.
	loneVersions map[string]bool
}

// SuspectZones sets the function that reports silent zones. Their engines get a
// request only if no other can take it.
func (pol *Pool) SuspectZones(silent func(zone string) bool) { pol.silentZone = silent }

// silentZoneCost is the cost of an engine in a silent zone: a request sent into
// a network partition is lost.
const silentZoneCost = 10 * time.Second

// New returns a pool whose engines run slots requests and hold memory tokens
// each, within the rate limits in lim.
func New(slots, memory int, lim *rates.Limiter) *Pool {
	return &Pool{engines: map[string]*engine{}, slots: slots, memory: memory, prefill: newRegression(fitDecay), nominal: newRegression(nominalDecay), speeds: speed.NewTracker(), base: defaultBase, rates: lim}
}

// NewPlain returns a pool of servers that process no prompts. Their slots are
// set by their entries.
func NewPlain(lim *rates.Limiter) *Pool {
	return &Pool{engines: map[string]*engine{}, prefill: newRegression(fitDecay), nominal: newRegression(nominalDecay), speeds: speed.NewTracker(), base: plainBase, rates: lim}
}

// SetServers sets the live servers. A restarted engine has an empty cache.
func (pol *Pool) SetServers(list []stock.Entry) {
	pol.speeds.SetServers(list)
	seen := map[string]bool{}
	for _, ent := range list {
		seen[ent.ID] = true
		eng := pol.engines[ent.ID]
		if eng == nil || eng.ent.StartedAt != ent.StartedAt || eng.ent.Address != ent.Address {
			eng = &engine{parts: map[string]*cachedPart{}}
			pol.engines[ent.ID] = eng
		}
		eng.ent = ent
		eng.speed = pol.speeds.Server(ent.ID)
	}
	for id := range pol.engines {
		if !seen[id] {
			delete(pol.engines, id)
		}
	}
	pol.updateVersions()
}

func (pol *Pool) updateVersions() {
	servers, most := map[string]int{}, 0
	for _, eng := range pol.engines {
		if !eng.ent.Leaving {
			servers[eng.ent.Version]++
			most = max(most, servers[eng.ent.Version])
		}
	}
	pol.loneVersions = map[string]bool{}
	for ver, num := range servers {
		if num == 1 && most > 1 {
			pol.loneVersions[ver] = true
		}
	}
}

// HasServer reports whether the pool has a server of a software version, if one is
// given, that is not leaving and not excluded, whatever its load and health.
func (pol *Pool) HasServer(version string, excluded map[string]bool) bool {
	for id, eng := range pol.engines {
		if !eng.ent.Leaving && eng.hasVersion(version) && !excluded[id] {
			return true
		}
	}
	return false
}

// hasVersion reports whether an engine has a software version; all have the empty one.
func (eng *engine) hasVersion(version string) bool {
	return version == "" || eng.ent.Version == version
}

// Available returns the number of servers that may get requests.
func (pol *Pool) Available(now time.Time) int {
	num := 0
	for _, eng := range pol.engines {
		if !eng.ent.Leaving && eng.rec.Available(now) {
			num++
		}
	}
	return num
}

// Query is the input of a choice.
type Query struct {
	Parts           []call.PromptPart
	PromptTokens    int
	MaxOutputTokens int
	// Inputs is the size of the request's stage results, in bytes, by zone.
	Inputs map[string]int64
	// Left is the time left until the first event counts as late, and Target the
	// whole of that time; 0 if unknown.
	Left   time.Duration
	Target time.Duration
	// Avoid are the engines that tried this request before.
	Avoid map[string]bool
	// Version is the version of the software that the engine must have; empty for any.
	Version string
	// Paused returns how long an engine still pauses requests of the request's
	// entry instance; nil if there are no pauses.
	Paused func(server string) time.Duration
}

// paused reports whether an engine has paused requests of the request's entry
// instance.
func (qry *Query) paused(server string) bool { return qry.Paused != nil && qry.Paused(server) > 0 }

// Choose returns the engine with the least cost, or false if none can take the
// request now.
func (pol *Pool) Choose(now time.Time, qry Query) (stock.Entry, bool) {
	return pol.choose(now, qry, true)
}

// choose is Choose; without limits, it ignores rate limits and pauses, for
// estimates of the time after they allow the request.
func (pol *Pool) choose(now time.Time, qry Query, limits bool) (stock.Entry, bool) {
	var best *engine
	var lowest time.Duration
	bySpeed, est := pol.bySpeed(), estimate{}
	if bySpeed {
		est = pol.estimate(now)
	}
	home := pol.homeEngine(qry, bySpeed)
	cached := pol.sharedPartsCached(now, qry)
	for _, eng := range pol.engines {
		if eng.ent.Leaving || !eng.hasVersion(qry.Version) || qry.Avoid[eng.ent.ID] || !eng.rec.Available(now) || !pol.fits(eng, qry) {
			continue
		}
		if limits && (qry.paused(eng.ent.ID) || !pol.rates.Allowed(now, eng.ent.ID) || !pol.rates.MayReject(now, eng.ent.ID, 0)) {
			continue
		}
		var cost time.Duration
		if bySpeed {
			cost = pol.costBySpeed(&est, eng, qry, eng != home, cached)
		} else {
			cost = pol.cost(eng, qry)
			if eng != home {
				cost += pol.awayCost(eng, qry, cached)
			}
		}
		if best == nil || cost < lowest || cost == lowest && eng.ent.ID < best.ent.ID {
			best, lowest = eng, cost
		}
	}
	if best == nil {
		return stock.Entry{}, false
	}
	return best.ent, true
}

func (pol *Pool) fits(eng *engine, qry Query) bool {
	if pol.slots == 0 {
		return eng.runs < pol.rates.BrittleSlots(eng.ent.ID, max(1, eng.ent.Slots))
	}
	if float64(eng.runs) >= maxSlotShare*float64(pol.rates.BrittleSlots(eng.ent.ID, pol.slots)) {
		return false
	}
	return pol.memory == 0 || eng.runTokens+qry.PromptTokens+qry.MaxOutputTokens <= pol.memory
}

func (pol *Pool) cost(eng *engine, qry Query) time.Duration {
	cost := pol.prefill.prefillTime(eng.backlogTokens + 2*pol.uncachedTokens(eng, qry))
	cost += time.Duration(eng.runs) * runCost
	return cost + pol.fixedCost(eng, qry)
}

// fixedCost is the part of the cost that does not depend on the engine's load
// and speed.
func (pol *Pool) fixedCost(eng *engine, qry Query) time.Duration {
	cost := time.Duration(0)
	cost += time.Duration(eng.rec.FailureRate() * float64(failureCost))
	cost += eng.ent.ColdStart / 4
	if qry.Version == "" && pol.loneVersions[eng.ent.Version] {
		cost += loneVersionCost
	}
	if pol.silentZone != nil && pol.silentZone(eng.ent.Zone) {
		cost += silentZoneCost
	}
	for zon, num := range qry.Inputs {
		if zon != eng.ent.Zone {
			cost += time.Duration(float64(num) / 1e6 * float64(crossZoneCost))
		}
	}
	return cost
}

// FirstEventTime estimates the time to the first event for a number of uncached
// tokens.
func (pol *Pool) FirstEventTime(uncached int) time.Duration {
	return pol.base/2 + pol.prefill.prefillTime(uncached)
}

// Estimate returns the time to the first event at the engine that Choose would
// pick, without rate limits and pauses; false if there is none.
func (pol *Pool) Estimate(now time.Time, qry Query) (time.Duration, bool) {
	ent, ok := pol.choose(now, qry, false)
	if !ok {
		return 0, false
	}
	eng := pol.engines[ent.ID]
	return pol.expectedAt(now, eng, pol.uncachedTokens(eng, qry)), true
}
