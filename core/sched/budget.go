package sched

import "time"

// RetryBudget bounds how many requests of a service are sent once more, in any
// window, by a share of its requests and a fixed number on top. All entry
// instances together may spend that; Part is this one's part.
//
// Load pattern: a pool fails, and every request to it is sent twice, which
// keeps it from coming back.
type RetryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	part   float64
	rows   map[string][]slice
}

type slice struct {
	at      time.Time
	fresh   int
	repeats int
}

// steps is how many steps a window has.
const steps = 20

// NewRetryBudget returns a budget.
func NewRetryBudget(ratio float64, slack int, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: float64(slack), window: window, part: 1, rows: map[string][]slice{}}
}

// SetPart sets the part of the fixed number that this instance may spend.
func (rep *RetryBudget) SetPart(part float64) { rep.part = part }

// Count notes a request.
func (rep *RetryBudget) Count(now time.Time, service string, again bool) {
	row := rep.trim(now, service)
	if len(row) == 0 || now.Sub(row[len(row)-1].at) > rep.window/steps {
		row = append(row, slice{at: now})
	}
	if again {
		row[len(row)-1].repeats++
	} else {
		row[len(row)-1].fresh++
	}
	rep.rows[service] = row
}

func (rep *RetryBudget) trim(now time.Time, service string) []slice {
	row := rep.rows[service]
	for len(row) > 0 && now.Sub(row[0].at) > rep.window+rep.window/steps {
		row = row[1:]
	}
	return row
}

// Allow reports whether one more repeat is within the budget; the repeat itself
// may be counted already.
func (rep *RetryBudget) Allow(now time.Time, service string) bool {
	fresh, repeats := 0, 0
	for _, sli := range rep.trim(now, service) {
		fresh += sli.fresh
		repeats += sli.repeats
	}
	return float64(repeats) <= rep.ratio*float64(fresh)*spendShare+rep.slack*rep.part*spendShare
}

// spendShare keeps a fifth of the budget back for what others count
// differently: windows that begin elsewhere, requests on their way.
const spendShare = 0.8
