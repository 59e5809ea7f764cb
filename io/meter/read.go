package meter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagestream/core/result"
)

// Range of a histogram in microseconds, and its precision: two significant digits
// keep a histogram below 25 KiB.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// histograms holds histograms of durations by name.
type histograms map[string]*hdrhistogram.Histogram

func (hgs histograms) record(name string, took time.Duration) {
	his := hgs[name]
	if his == nil && len(hgs) >= maxDurations {
		name = Other
		his = hgs[name]
	}
	if his == nil {
		his = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		hgs[name] = his
	}
	// RecordValue fails only for values out of range, and these are clamped.
	_ = his.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
}

// durationBody is the summary of a histogram in the metrics, in milliseconds.
type durationBody struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean-ms"`
	P50MS  float64 `json:"p50-ms"`
	P95MS  float64 `json:"p95-ms"`
	P99MS  float64 `json:"p99-ms"`
	MaxMS  float64 `json:"max-ms"`
}

func (mtr *Meter) readDurations(hgs histograms) map[string]durationBody {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	const perMilli = 1000.0
	bods := make(map[string]durationBody, len(hgs))
	for name, his := range hgs {
		bods[name] = durationBody{
			Count:  his.TotalCount(),
			MeanMS: his.Mean() / perMilli,
			P50MS:  float64(his.ValueAtPercentile(50)) / perMilli,
			P95MS:  float64(his.ValueAtPercentile(95)) / perMilli,
			P99MS:  float64(his.ValueAtPercentile(99)) / perMilli,
			MaxMS:  float64(his.Max()) / perMilli,
		}
	}
	return bods
}

// reasonComplete is the reason in the metrics for complete requests, which have
// none.
const reasonComplete = result.Reason("whole")

func (mtr *Meter) readRequests() map[result.Outcome]map[result.Reason]int64 {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	bods := map[result.Outcome]map[result.Reason]int64{}
	for key, num := range mtr.requests {
		if bods[key.outcome] == nil {
			bods[key.outcome] = map[result.Reason]int64{}
		}
		if key.reason == "" {
			key.reason = reasonComplete
		}
		bods[key.outcome][key.reason] += num
	}
	return bods
}

// CostBody is the cost of one stage of a pipeline for one client account. Times are
// in milliseconds.
type CostBody struct {
	Calls            int64   `json:"calls"`
	Retries          int64   `json:"retries"`
	Hedges           int64   `json:"hedges"`
	Migrations       int64   `json:"cuts"`
	Wasted           int64   `json:"wasted"`
	BusyMS           float64 `json:"busy-ms"`
	WastedMS         float64 `json:"wasted-ms"`
	PromptTokens     int64   `json:"prompt-tokens"`
	CompletionTokens int64   `json:"completion-tokens"`
	CachedTokens     int64   `json:"cached-tokens"`
	WastedTokens     int64   `json:"wasted-tokens"`
}

// Add returns the sum of two costs.
func (bod CostBody) Add(oth CostBody) CostBody {
	return CostBody{
		Calls:            bod.Calls + oth.Calls,
		Retries:          bod.Retries + oth.Retries,
		Hedges:           bod.Hedges + oth.Hedges,
		Migrations:       bod.Migrations + oth.Migrations,
		Wasted:           bod.Wasted + oth.Wasted,
		BusyMS:           bod.BusyMS + oth.BusyMS,
		WastedMS:         bod.WastedMS + oth.WastedMS,
		PromptTokens:     bod.PromptTokens + oth.PromptTokens,
		CompletionTokens: bod.CompletionTokens + oth.CompletionTokens,
		CachedTokens:     bod.CachedTokens + oth.CachedTokens,
		WastedTokens:     bod.WastedTokens + oth.WastedTokens,
	}
}

// CostTree is the cost by pipeline, stage and client account.
type CostTree map[string]map[string]map[string]CostBody

// Costs returns the cost of each stage since the instance started.
func (mtr *Meter) Costs() CostTree {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	tree := CostTree{}
	for key, cst := range mtr.costs {
		if tree[key.pipeline] == nil {
			tree[key.pipeline] = map[string]map[string]CostBody{}
		}
		if tree[key.pipeline][key.stage] == nil {
			tree[key.pipeline][key.stage] = map[string]CostBody{}
		}
		tree[key.pipeline][key.stage][key.account] = cst.body()
	}
	return tree
}

func (cst *cost) body() CostBody {
	return CostBody{
		Calls:            cst.calls,
		Retries:          cst.retries,
		Hedges:           cst.hedges,
		Migrations:       cst.migrations,
		Wasted:           cst.wasted,
		BusyMS:           millis(cst.busy),
		WastedMS:         millis(cst.wastedBusy),
		PromptTokens:     cst.promptTokens,
		CompletionTokens: cst.completionTokens,
		CachedTokens:     cst.cachedTokens,
		WastedTokens:     cst.wastedTokens,
	}
}

func millis(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
