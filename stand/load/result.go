package load

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the outcome of a request as its caller saw it.
type Outcome string

// Outcomes of a request.
const (
	// Complete is a complete and correct answer.
	Complete Outcome = "complete"
	// NotRun and Unknown are refusals.
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	// Broken: the connection ended without an answer.
	Broken Outcome = "broken"
	// TimedOut: the caller gave up waiting.
	TimedOut Outcome = "unanswered"
	// Wrong: the answer is incorrect, such as another request's, an incomplete
	// one, or one with a contradictory status.
	Wrong Outcome = "wrong"
)

// Tally counts the requests of one client account, or of all, by outcome.
type Tally struct {
	sent     int
	onTime   int
	late     int
	outcomes map[Outcome]int
}

func newTally() *Tally { return &Tally{outcomes: map[Outcome]int{}} }

// Sent returns the number of requests sent, without retries.
func (tal *Tally) Sent() int { return tal.sent }

// OnTime returns the number of complete answers within the deadline.
func (tal *Tally) OnTime() int { return tal.onTime }

// Late returns the number of complete answers after the deadline.
func (tal *Tally) Late() int { return tal.late }

// Count returns the number of requests with an outcome.
func (tal *Tally) Count(outcome Outcome) int { return tal.outcomes[outcome] }

// Attainment returns the fraction of requests with a complete answer within the
// deadline, from 0 to 1.
func (tal *Tally) Attainment() float64 {
	if tal.sent == 0 {
		return 0
	}
	return float64(tal.onTime) / float64(tal.sent)
}

// Histogram is a histogram of durations.
type Histogram struct {
	hdr *hdrhistogram.Histogram
}

// The bounds of a histogram in microseconds, and its precision in digits.
const (
	histogramMin    = 1
	histogramMax    = 600_000_000
	histogramDigits = 3
)

func newHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (his *Histogram) add(val time.Duration) {
	// No value is above ten minutes: callers give up long before.
	_ = his.hdr.RecordValue(min(max(val.Microseconds(), histogramMin), histogramMax))
}

// Percentile returns the value at a percentile, from 0 to 100; it is 0 if there
// are no values.
func (his *Histogram) Percentile(percent float64) time.Duration {
	return time.Duration(his.hdr.ValueAtQuantile(percent)) * time.Microsecond
}

// Result holds the outcomes of a plan's requests.
type Result struct {
	took time.Duration
	// all counts the kinds that are not excluded; byAccount counts every kind.
	all       *Tally
	byAccount map[string]*Tally
	reasons   map[string]int
	// firstToken, tokenGaps and answerTime are of kinds that are not excluded: from
	// the planned time to the first token, between tokens, and from the planned
	// time to the end of a complete answer.
	firstToken *Histogram
	tokenGaps  *Histogram
	answerTime *Histogram
	// refusalTime is from the planned time to a refusal.
	refusalTime *Histogram
	// wrongAnswers describes the first few Wrong answers.
	wrongAnswers []string
	// answeredInTime holds the IDs of requests with a complete answer within the
	// deadline.
	answeredInTime map[string]bool
	// notRun holds the IDs of requests that were refused as not run.
	notRun map[string]bool
}

// Took returns the time from the start to the last answer.
func (res *Result) Took() time.Duration { return res.took }

// All returns the tally of the requests that count toward the attainment.
func (res *Result) All() *Tally { return res.all }

// Account returns the tally of one client account, or nil.
func (res *Result) Account(name string) *Tally { return res.byAccount[name] }

// FirstToken returns the times from the planned time to the first token.
func (res *Result) FirstToken() *Histogram { return res.firstToken }

// TokenGaps returns the times between tokens.
func (res *Result) TokenGaps() *Histogram { return res.tokenGaps }

// AnswerTime returns the times from the planned time to the end of the answer.
func (res *Result) AnswerTime() *Histogram { return res.answerTime }

// RefusalTime returns the times from the planned time to the refusal.
func (res *Result) RefusalTime() *Histogram { return res.refusalTime }

// WrongAnswers returns descriptions of the first few wrong answers.
func (res *Result) WrongAnswers() []string { return res.wrongAnswers }

// Reasons returns the number of requests by outcome and reason, separated by a
// space.
func (res *Result) Reasons() map[string]int { return res.reasons }

// AnsweredInTime reports whether a request got a complete answer within its
// deadline.
func (res *Result) AnsweredInTime(id string) bool { return res.answeredInTime[id] }

// RefusedNotRun reports whether a request was refused as not run. A call of it in
// a backend server's journal contradicts the refusal.
func (res *Result) RefusedNotRun(id string) bool { return res.notRun[id] }

// recorder collects a result; it is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	res *Result
}

func newRecorder() *recorder {
	return &recorder{res: &Result{
		all:            newTally(),
		byAccount:      map[string]*Tally{},
		reasons:        map[string]int{},
		firstToken:     newHistogram(),
		tokenGaps:      newHistogram(),
		answerTime:     newHistogram(),
		refusalTime:    newHistogram(),
		answeredInTime: map[string]bool{},
		notRun:         map[string]bool{},
	}}
}

func (rec *recorder) record(rqt *Request, id string, due time.Time, ans answer) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	res := rec.res
	acc := res.byAccount[rqt.Account()]
	if acc == nil {
		acc = newTally()
		res.byAccount[rqt.Account()] = acc
	}
	onTime := ans.outcome == Complete && !ans.at.After(due.Add(rqt.deadline))
	acc.add(ans.outcome, onTime)
	if ans.reason != "" {
		res.reasons[string(ans.outcome)+" "+ans.reason]++
	}
	const maxWrongAnswers = 5
	if ans.outcome == Wrong && len(res.wrongAnswers) < maxWrongAnswers {
		res.wrongAnswers = append(res.wrongAnswers, ans.problem)
	}
	if ans.outcome == NotRun {
		res.notRun[id] = true
	}
	if onTime {
		res.answeredInTime[rqt.id] = true
	}
	if rqt.kind.excluded {
		return
	}
	res.all.add(ans.outcome, onTime)
	rec.times(due, ans)
}

func (tal *Tally) add(outcome Outcome, onTime bool) {
	tal.sent++
	tal.outcomes[outcome]++
	switch {
	case onTime:
		tal.onTime++
	case outcome == Complete:
		tal.late++
	}
}

func (rec *recorder) times(due time.Time, ans answer) {
	switch ans.outcome {
	case Complete:
		rec.res.answerTime.add(ans.at.Sub(due))
	case NotRun, Unknown:
		rec.res.refusalTime.add(ans.at.Sub(due))
	}
	if !ans.first.IsZero() {
		rec.res.firstToken.add(ans.first.Sub(due))
	}
	for _, gap := range ans.gaps {
		rec.res.tokenGaps.add(gap)
	}
}

// histogramBody is a histogram's percentiles in JSON.
type histogramBody struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

func (his *Histogram) body() histogramBody {
	mil := func(percent float64) float64 { return float64(his.Percentile(percent)) / float64(time.Millisecond) }
	return histogramBody{P50: mil(50), P95: mil(95), P99: mil(99)}
}

// tallyBody is a tally in JSON.
type tallyBody struct {
	Sent       int             `json:"sent"`
	OnTime     int             `json:"on-time"`
	Late       int             `json:"late"`
	Attainment float64         `json:"attainment"`
	Outcomes   map[Outcome]int `json:"fates"`
}

func (tal *Tally) body() tallyBody {
	return tallyBody{Sent: tal.sent, OnTime: tal.onTime, Late: tal.late, Attainment: tal.Attainment(), Outcomes: tal.outcomes}
}

// resultBody is a result in JSON.
type resultBody struct {
	TookMS   float64              `json:"took-ms"`
	All      tallyBody            `json:"all"`
	Accounts map[string]tallyBody `json:"client-accounts"`
	Reasons  map[string]int       `json:"reasons"`
	First    histogramBody        `json:"first-token"`
	Between  histogramBody        `json:"between-tokens"`
	Whole    histogramBody        `json:"whole-answer"`
	Refusal  histogramBody        `json:"refusal"`
	Faults   []string             `json:"faults,omitempty"`
}

var _ json.Marshaler = (*Result)(nil)

// MarshalJSON encodes the result with times in milliseconds.
func (res *Result) MarshalJSON() ([]byte, error) {
	bod := resultBody{
		TookMS:   float64(res.took) / float64(time.Millisecond),
		All:      res.all.body(),
		Accounts: map[string]tallyBody{},
		Reasons:  res.reasons,
		First:    res.firstToken.body(),
		Between:  res.tokenGaps.body(),
		Whole:    res.answerTime.body(),
		Refusal:  res.refusalTime.body(),
		Faults:   res.wrongAnswers,
	}
	for name, tal := range res.byAccount {
		bod.Accounts[name] = tal.body()
	}
	return json.Marshal(bod)
}
