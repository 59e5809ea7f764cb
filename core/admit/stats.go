package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lovagestream/core/config"
)

// Parameters of a histogram: buckets grow by a constant ratio from the first,
// so that every duration up to about 50 s falls within a tenth of its value.
const (
	buckets     = 72
	bucketRatio = 1.19
	firstBucket = 250 * time.Microsecond
	// weightGrowth is the weight of a sample relative to the one before it:
	// about the last hundred samples decide.
	weightGrowth = 1.01
	// maxWeight is the weight at which all weights are scaled down, well before
	// overflow.
	maxWeight = 1e12
	// staleAfter is the age of the last sample from which an estimate's 5th
	// percentile and median decay, and the half-life of that decay. Without it,
	// one slow period would cause every later request to be refused, and no
	// sample could ever show that the period is over.
	staleAfter = 2 * time.Second
)

// Estimate is the measured duration of one stage's calls: 5th percentile,
// median and 95th percentile. Zero means that too few calls were measured.
type Estimate struct {
	p5     time.Duration
	median time.Duration
	p95    time.Duration
}

// P5 returns the 5th percentile.
func (est Estimate) P5() time.Duration { return est.p5 }

// Median returns the median.
func (est Estimate) Median() time.Duration { return est.median }

// P95 returns the 95th percentile.
func (est Estimate) P95() time.Duration { return est.p95 }

// minSamples is the number of calls measured before an estimate is given.
const minSamples = 8

// stageStats measures the durations and the work of one stage's calls.
type stageStats struct {
	mu           sync.Mutex
	counts       [buckets]float64
	sampleWeight float64
	totalWeight  float64
	samples      int
	// The percentiles are read without the lock.
	p5, median, p95 atomic.Int64
	lastSample      atomic.Int64
	// meanUnits holds the bits of the mean work of a call as a float64; 0
	// before the first.
	meanUnits atomic.Uint64
}

func bucketOf(duration time.Duration) int {
	if duration <= firstBucket {
		return 0
	}
	idx := int(math.Log(float64(duration)/float64(firstBucket)) / math.Log(bucketRatio))
	return min(idx, buckets-1)
}

// bucketUpper returns the upper bound of a bucket.
func bucketUpper(idx int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(idx+1)))
}

func (sst *stageStats) add(now time.Time, duration time.Duration) {
	sst.mu.Lock()
	defer sst.mu.Unlock()
	if sst.sampleWeight == 0 {
		sst.sampleWeight = 1
	}
	sst.sampleWeight *= weightGrowth
	sst.counts[bucketOf(duration)] += sst.sampleWeight
	sst.totalWeight += sst.sampleWeight
	sst.samples++
	if sst.sampleWeight > maxWeight {
		sst.rescale()
	}
	sst.lastSample.Store(now.UnixNano())
	if sst.samples < minSamples {
		return
	}
	sst.p5.Store(int64(sst.quantile(0.05)))
	sst.median.Store(int64(sst.quantile(0.5)))
	sst.p95.Store(int64(sst.quantile(0.95)))
}

func (sst *stageStats) rescale() {
	for i := range sst.counts {
		sst.counts[i] /= sst.sampleWeight
	}
	sst.totalWeight /= sst.sampleWeight
	sst.sampleWeight = 1
}

func (sst *stageStats) quantile(fraction float64) time.Duration {
	want := fraction * sst.totalWeight
	sum := 0.0
	for i, cnt := range sst.counts {
		sum += cnt
		if sum >= want {
			return bucketUpper(i)
		}
	}
	return bucketUpper(buckets - 1)
}

func (sst *stageStats) estimate(now time.Time) Estimate {
	est := Estimate{
		p5:     time.Duration(sst.p5.Load()),
		median: time.Duration(sst.median.Load()),
		p95:    time.Duration(sst.p95.Load()),
	}
	age := now.UnixNano() - sst.lastSample.Load()
	if over := time.Duration(age) - staleAfter; over > 0 {
		fade := math.Exp2(-over.Seconds() / staleAfter.Seconds())
		est.p5 = time.Duration(float64(est.p5) * fade)
		est.median = time.Duration(float64(est.median) * fade)
	}
	return est
}

// Stats holds what one entry instance measured of its stages and pools. Its
// size follows the configuration: Prune drops what no configuration document
// names.
type Stats struct {
	mu     sync.RWMutex
	stages map[stageKey]*stageStats
	pools  map[string]*poolStats
	// accounts counts the requests in progress by client account.
	accounts *accounts
}

type stageKey struct {
	pipeline string
	stage    string
}

// NewStats returns a Stats without measurements.
func NewStats() *Stats {
	return &Stats{stages: map[stageKey]*stageStats{}, pools: map[string]*poolStats{}, accounts: newAccounts()}
}

// Prune drops the measurements of stages and pools that are not in the
// document.
func (sts *Stats) Prune(doc *config.Document) {
	keep := map[stageKey]bool{}
	for _, pip := range doc.Pipelines() {
		for _, stg := range pip.Stages() {
			keep[stageKey{pip.Name(), stg.Name()}] = true
		}
	}
	sts.mu.Lock()
	defer sts.mu.Unlock()
	for key := range sts.stages {
		if !keep[key] {
			delete(sts.stages, key)
		}
	}
	for pool := range sts.pools {
		if doc.Pool(pool) == nil {
			delete(sts.pools, pool)
		}
	}
}

func (sts *Stats) stageStats(pipeline, stage string) *stageStats {
	key := stageKey{pipeline, stage}
	sts.mu.RLock()
	got := sts.stages[key]
	sts.mu.RUnlock()
	if got != nil {
		return got
	}
	sts.mu.Lock()
	defer sts.mu.Unlock()
	if got = sts.stages[key]; got == nil {
		got = &stageStats{}
		sts.stages[key] = got
	}
	return got
}

// ObserveDuration records the duration of a stage's call, from its first
// attempt to the reply that was used.
func (sts *Stats) ObserveDuration(now time.Time, pipeline, stage string, duration time.Duration) {
	sts.stageStats(pipeline, stage).add(now, duration)
}

// Estimate returns the measured duration of a stage's calls.
func (sts *Stats) Estimate(now time.Time, pipeline, stage string) Estimate {
	return sts.stageStats(pipeline, stage).estimate(now)
}
