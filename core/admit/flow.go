package admit

import (
	"math"
	"sync"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/route"
)

const (
	ranks = 3
	// stale is the age at which a pool's load says nothing any more. It also
	// lets a request through to a pool that has ended no call for so long,
	// because only results can show that it is faster again.
	stale = 2 * time.Second
)

// flow is the work of one pool as this entry instance sees it, in calls.
type flow struct {
	mu sync.Mutex
	// coming holds the calls of admitted requests that have not reached the
	// pool, running those that have; both by the rank of their class and
	// never negative.
	coming  [ranks]int
	running [ranks]int
	// load is what the pool's servers had when last looked at, at being when.
	load route.PoolLoad
	at   time.Time
	// units is the mean work of the pool's calls.
	units float64
	// ended is when a call last ended whole.
	ended time.Time
}

func (flo *flow) move(rank, coming, running int) {
	flo.mu.Lock()
	defer flo.mu.Unlock()
	flo.coming[rank] = max(0, flo.coming[rank]+coming)
	flo.running[rank] = max(0, flo.running[rank]+running)
}

func (flo *flow) done(now time.Time) {
	flo.mu.Lock()
	defer flo.mu.Unlock()
	flo.ended = now
}

func (flo *flow) seen(now time.Time, load route.PoolLoad) {
	flo.mu.Lock()
	defer flo.mu.Unlock()
	flo.load, flo.at = load, now
}

// forecast is what a pool would make of one more call.
type forecast struct {
	// wait is how long the call would have to wait behind the work of its class and
	// those above it, took how long it would take then. Both are 0 where too little is
	// known.
	wait, took time.Duration
	// queue is the calls ahead that have to wait, size how many run at once, and each
	// how long one of them takes.
	queue, size float64
	each        time.Duration
}

// forecast foresees a call of some units.
//
// The queue is that of all entry instances: what the servers report, corrected
// by own calls since, and the calls that are still at earlier stages here and,
// as far as one can tell from here, at the others.
func (flo *flow) forecast(now time.Time, rank int, units float64) forecast {
	flo.mu.Lock()
	defer flo.mu.Unlock()
	if flo.load.PerUnit() == 0 || now.Sub(flo.at) > stale || now.Sub(flo.ended) > stale {
		return forecast{}
	}
	coming, ahead, all := 0, 0, 0
	for i := range ranks {
		num := flo.coming[i] + flo.running[i]
		coming += flo.coming[i]
		all += num
		if i <= rank {
			ahead += num
		}
	}
	total := flo.load.Load() + float64(coming*flo.load.Entries())
	queue := total - flo.load.Size()
	if queue <= 0 {
		return forecast{took: seconds(units * flo.load.PerUnit() * route.Stretch(total, flo.load.Size()))}
	}
	if all > 0 {
		// The others' queue is taken to be made up as this instance's own is.
		queue *= float64(ahead) / float64(all)
	}
	// What stands ahead is of any size, so its wait goes by the mean work.
	busy := flo.load.PerUnit() * route.Stretch(flo.load.Size(), flo.load.Size())
	return forecast{
		wait: seconds(busy * flo.units * queue / flo.load.Size()), took: seconds(busy * units),
		queue: queue, size: flo.load.Size(), each: seconds(busy * flo.units),
	}
}

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// Seen takes in the load of a pool's servers, summed over them.
func (boo *Book) Seen(now time.Time, pool string, load route.PoolLoad) {
	boo.flow(pool).seen(now, load)
}

// Full reports whether new calls would have to wait at a pool's servers.
func (boo *Book) Full(now time.Time, pool string) bool {
	return boo.flow(pool).forecast(now, ranks-1, 1).wait > 0
}

func (boo *Book) flow(pool string) *flow {
	boo.mu.RLock()
	got := boo.flows[pool]
	boo.mu.RUnlock()
	if got != nil {
		return got
	}
	boo.mu.Lock()
	defer boo.mu.Unlock()
	if got = boo.flows[pool]; got == nil {
		got = &flow{}
		boo.flows[pool] = got
	}
	return got
}

// units is the work of a stage in the units of package route: what its calls
// took lately, or the most that it may generate.
func (boo *Book) units(pip *config.Pipeline, stg *config.Stage) float64 {
	if got := math.Float64frombits(boo.track(pip.Name(), stg.Name()).units.Load()); got > 0 {
		return got
	}
	return route.Units(stg.MaxTokens(), 0)
}

// Worked records the work of one whole call of a stage.
func (boo *Book) Worked(pipeline string, stg *config.Stage, units float64) {
	boo.track(pipeline, stg.Name()).worked(units)
	flo := boo.flow(stg.Pool())
	flo.mu.Lock()
	defer flo.mu.Unlock()
	flo.units = nearer(flo.units, units)
}

func (trk *track) worked(units float64) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	mean := math.Float64frombits(trk.units.Load())
	trk.units.Store(math.Float64bits(nearer(mean, units)))
}

// nearer moves a fading mean towards a sample; the first is taken as it is.
func nearer(mean, sample float64) float64 {
	const weight = 0.1
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)*weight
}
