package admit

import (
	"math"
	"sync"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/route"
)

const (
	numRanks = 3
	// loadMaxAge is the age at which a pool's load is ignored. Requests are
	// also admitted to a pool that has completed no call for that long, because
	// only results can show that it has become faster.
	loadMaxAge = 2 * time.Second
)

// poolStats is the work of one pool as seen by this entry instance, in calls.
type poolStats struct {
	mu sync.Mutex
	// pending counts the calls of admitted requests that have not reached the
	// pool, running those that have; both are indexed by the rank of the class
	// and never negative.
	pending [numRanks]int
	running [numRanks]int
	// load is the last observed load of the pool's servers, at the time of that
	// observation.
	load   route.PoolLoad
	loadAt time.Time
	// meanUnits is the mean work of the pool's calls.
	meanUnits float64
	// lastDone is when a call last completed.
	lastDone time.Time
}

func (pst *poolStats) adjust(rank, pending, running int) {
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.pending[rank] = max(0, pst.pending[rank]+pending)
	pst.running[rank] = max(0, pst.running[rank]+running)
}

func (pst *poolStats) done(now time.Time) {
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.lastDone = now
}

func (pst *poolStats) observeLoad(now time.Time, load route.PoolLoad) {
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.load, pst.loadAt = load, now
}

// forecast is the predicted handling of one more call by a pool.
type forecast struct {
	// wait is the predicted time in the queue behind calls of the same and
	// higher classes, duration the predicted duration of the call after that.
	// Both are 0 if too little is known.
	wait, duration time.Duration
	// queue is the number of queued calls ahead, slots the number of calls that
	// run concurrently, and meanDuration how long one of the queued calls
	// takes.
	queue, slots float64
	meanDuration time.Duration
}

// forecast predicts a call of some units of work.
//
// The queue is that of all entry instances: the load that the servers report,
// corrected by own calls since, plus the calls still at earlier stages here
// and, as an estimate, the same number at each other instance.
func (pst *poolStats) forecast(now time.Time, rank int, units float64) forecast {
	pst.mu.Lock()
	defer pst.mu.Unlock()
	if pst.load.TimePerUnit() == 0 || now.Sub(pst.loadAt) > loadMaxAge || now.Sub(pst.lastDone) > loadMaxAge {
		return forecast{}
	}
	pending, ahead, all := 0, 0, 0
	for i := range numRanks {
		num := pst.pending[i] + pst.running[i]
		pending += pst.pending[i]
		all += num
		if i <= rank {
			ahead += num
		}
	}
	total := pst.load.Load() + float64(pending*pst.load.EntryInstances())
	queue := total - pst.load.Slots()
	if queue <= 0 {
		return forecast{duration: seconds(units * pst.load.TimePerUnit() * route.Slowdown(total, pst.load.Slots()))}
	}
	if all > 0 {
		// The other instances' queue is assumed to have the same mix of classes
		// as this instance's own.
		queue *= float64(ahead) / float64(all)
	}
	// The calls ahead are of any size, so their wait is computed from the mean
	// work.
	timePerUnit := pst.load.TimePerUnit() * route.Slowdown(pst.load.Slots(), pst.load.Slots())
	return forecast{
		wait: seconds(timePerUnit * pst.meanUnits * queue / pst.load.Slots()), duration: seconds(timePerUnit * units),
		queue: queue, slots: pst.load.Slots(), meanDuration: seconds(timePerUnit * pst.meanUnits),
	}
}

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// ObserveLoad records the combined load of a pool's servers.
func (sts *Stats) ObserveLoad(now time.Time, pool string, load route.PoolLoad) {
	sts.poolStats(pool).observeLoad(now, load)
}

// Saturated reports whether new calls would have to queue at a pool's servers.
func (sts *Stats) Saturated(now time.Time, pool string) bool {
	return sts.poolStats(pool).forecast(now, numRanks-1, 1).wait > 0
}

func (sts *Stats) poolStats(pool string) *poolStats {
	sts.mu.RLock()
	got := sts.pools[pool]
	sts.mu.RUnlock()
	if got != nil {
		return got
	}
	sts.mu.Lock()
	defer sts.mu.Unlock()
	if got = sts.pools[pool]; got == nil {
		got = &poolStats{}
		sts.pools[pool] = got
	}
	return got
}

// units returns the work of a stage's call in the units of package route: the
// recent mean, or before any call the most that it may generate.
func (sts *Stats) units(pip *config.Pipeline, stg *config.Stage) float64 {
	if got := math.Float64frombits(sts.stageStats(pip.Name(), stg.Name()).meanUnits.Load()); got > 0 {
		return got
	}
	return route.WorkUnits(stg.MaxTokens(), 0)
}

// ObserveWork records the work of one completed call of a stage.
func (sts *Stats) ObserveWork(pipeline string, stg *config.Stage, units float64) {
	sts.stageStats(pipeline, stg.Name()).observeWork(units)
	pst := sts.poolStats(stg.Pool())
	pst.mu.Lock()
	defer pst.mu.Unlock()
	pst.meanUnits = updateMean(pst.meanUnits, units)
}

func (sst *stageStats) observeWork(units float64) {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	mean := math.Float64frombits(sst.meanUnits.Load())
	sst.meanUnits.Store(math.Float64bits(updateMean(mean, units)))
}

// updateMean moves an exponential moving average towards a sample; the first
// sample is taken as it is.
func updateMean(mean, sample float64) float64 {
	const weight = 0.1
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}
