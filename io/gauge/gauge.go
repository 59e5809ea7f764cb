// Package gauge has the metrics of one entry instance and serves them as JSON:
// expvar counters and gauges, and latency histograms that can be merged over
// instances without loss. It keeps no data of individual requests.
package gauge

import (
	"expvar"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxNames is the maximum number of counters or histograms of one table;
	// further names are counted as otherName.
	maxNames  = 256
	otherName = "other"
	// minMicros and maxMicros are the range of the histograms, in microseconds;
	// significantDigits is their precision, in decimal digits.
	minMicros         = 100
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Metrics holds the metrics of one instance. A table groups counters or histograms
// that differ only in their name, such as requests by status. It is safe for use by
// many goroutines.
type Metrics struct {
	vars *expvar.Map

	mu       sync.Mutex
	counters map[string]*expvar.Map
	times    map[string]map[string]*hdrhistogram.Histogram
}

// New returns metrics with empty tables and the gauges of the Go runtime.
func New() *Metrics {
	mts := &Metrics{vars: new(expvar.Map).Init(), counters: map[string]*expvar.Map{}, times: map[string]map[string]*hdrhistogram.Histogram{}}
	mts.Read("memory-heap-bytes", func() any {
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		return mem.HeapAlloc
	})
	mts.Read("goroutines", func() any { return runtime.NumGoroutine() })
	mts.Read("latency-ms", func() any { return mts.latencies() })
	return mts
}

// Read adds a gauge; fun returns its value each time the metrics are served.
func (mts *Metrics) Read(name string, fun func() any) { mts.vars.Set(name, expvar.Func(fun)) }

// Count increments a counter of a table.
func (mts *Metrics) Count(table, name string) {
	mts.mu.Lock()
	defer mts.mu.Unlock()
	tab := mts.counters[table]
	if tab == nil {
		tab = new(expvar.Map).Init()
		mts.counters[table] = tab
		mts.vars.Set(table, tab)
	}
	if tab.Get(name) == nil && countKeys(tab) >= maxNames {
		name = otherName
	}
	tab.Add(name, 1)
}

func countKeys(tab *expvar.Map) int {
	num := 0
	tab.Do(func(expvar.KeyValue) { num++ })
	return num
}

// ObserveDuration records a duration in a histogram of a table.
func (mts *Metrics) ObserveDuration(table, name string, took time.Duration) {
	mts.mu.Lock()
	defer mts.mu.Unlock()
	tab := mts.times[table]
	if tab == nil {
		tab = map[string]*hdrhistogram.Histogram{}
		mts.times[table] = tab
	}
	his := tab[name]
	if his == nil && len(tab) >= maxNames {
		name = otherName
		his = tab[name]
	}
	if his == nil {
		his = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		tab[name] = his
	}
	// The value is clamped to the range, so recording can't fail.
	_ = his.RecordValue(min(maxMicros, max(minMicros, took.Microseconds())))
}

// Latency summarizes one histogram. P50, P95 and P99 are in milliseconds. Buckets
// maps the upper bound of each bucket, in microseconds, to its count; buckets of
// several instances may be added up.
type Latency struct {
	Count   int64           `json:"count"`
	P50     float64         `json:"p50"`
	P95     float64         `json:"p95"`
	P99     float64         `json:"p99"`
	Buckets map[int64]int64 `json:"buckets"`
}

func (mts *Metrics) latencies() map[string]map[string]Latency {
	mts.mu.Lock()
	defer mts.mu.Unlock()
	out := map[string]map[string]Latency{}
	for table, tab := range mts.times {
		out[table] = map[string]Latency{}
		for name, his := range tab {
			out[table][name] = summarize(his)
		}
	}
	return out
}

func summarize(his *hdrhistogram.Histogram) Latency {
	quantile := func(percent float64) float64 { return float64(his.ValueAtQuantile(percent)) / 1000 }
	lat := Latency{Count: his.TotalCount(), P50: quantile(50), P95: quantile(95), P99: quantile(99), Buckets: map[int64]int64{}}
	for _, bar := range his.Distribution() {
		if bar.Count > 0 {
			lat.Buckets[bar.To] = bar.Count
		}
	}
	return lat
}

// ServeHTTP writes all metrics as JSON.
func (mts *Metrics) ServeHTTP(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = wri.Write([]byte(mts.vars.String()))
	_, _ = wri.Write([]byte("\n"))
}
