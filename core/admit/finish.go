package admit

import (
	"fmt"
	"math"
	"strings"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/result"
)

const (
	// overShareRatio is the ratio of an account's requests in progress to its
	// fair share above which it counts as over its share.
	overShareRatio = 2
	// overShareWait is the fraction of the available waiting time granted to an
	// account over its share. The rest stays available to accounts below their
	// share.
	overShareWait = 0.3
	// waitFraction is the fraction of the remaining time that a request may be
	// forecast to wait. It leaves room for forecasts that are too low, and a
	// longer queue would not make the servers any faster.
	waitFraction = 0.5
	// classWaitFactor is the factor applied to the waiting time for each class
	// below the highest.
	classWaitFactor = 0.85
	// minRetryAfter is the shortest retry delay returned with a refusal.
	minRetryAfter = time.Second
	// priorityPerRank separates the classes in the priority; within a class,
	// the slack in milliseconds decides.
	priorityPerRank = 1_000_000
)

// Finish refuses a request at the entry if it cannot finish within its
// deadline, and at each stage if less time is left than the remaining stages
// usually take at least. A request that would have to wait for servers is
// admitted only if the wait fits into a fraction of the time that its own work
// leaves. Lower classes, and accounts far above their fair share of the
// requests in progress, get a smaller fraction, so that they are shed first.
type Finish struct{}

var _ Policy = Finish{}

// Name returns "finish".
func (Finish) Name() string { return "finish" }

// Decide admits the request if its forecast completion is in time.
func (fin Finish) Decide(qry Query) Decision {
	if qry.stage >= 0 {
		return fin.atStage(qry)
	}
	budget := time.Duration(float64(qry.left) * (1 - qry.headroom))
	if qry.longestPath(0, qry.p5) > budget {
		return Decision{refusal: result.DeadlineTooSoon}
	}
	work := qry.longestPath(0, func(stg *config.Stage) time.Duration {
		return max(qry.forecast(stg).duration, qry.p5(stg))
	})
	wait := qry.longestPath(0, func(stg *config.Stage) time.Duration {
		fct := qry.forecast(stg)
		return fct.wait + max(fct.duration, qry.p5(stg))
	}) - work
	fraction := waitFraction * math.Pow(classWaitFactor, float64(qry.rank()))
	if qry.sts.accounts.fairShareRatio(qry.acc) > overShareRatio {
		fraction *= overShareWait
	}
	if limit := time.Duration(float64(budget-work) * fraction); wait > 0 && wait > limit {
		// The excess drains as fast as it is served; an earlier retry would be
		// refused again.
		return Decision{refusal: result.Overloaded, retryAfter: max(minRetryAfter, wait-limit), detail: qry.detail(wait, limit)}
	}
	return Decision{}
}

// detail describes what a forecast wait consists of, by stage, and the limit it
// exceeds.
func (qry Query) detail(wait, limit time.Duration) string {
	var out strings.Builder
	fmt.Fprintf(&out, "it would wait %v of %v that it may", wait.Round(time.Millisecond), limit.Round(time.Millisecond))
	for _, stg := range qry.pip.Stages() {
		if fct := qry.forecast(stg); fct.wait > 0 {
			fmt.Fprintf(&out, "; %v at pool %s behind %.0f calls of %v, %.0f at once", fct.wait.Round(time.Millisecond), stg.Pool(), fct.queue, fct.meanDuration.Round(time.Millisecond), fct.slots)
		}
	}
	return out.String()
}

// forecast returns the forecast of a stage's pool for its call.
func (qry Query) forecast(stg *config.Stage) forecast {
	return qry.sts.poolStats(stg.Pool()).forecast(qry.now, qry.rank(), qry.sts.units(qry.pip, stg))
}

func (qry Query) rank() int { return qry.acc.Contract().Class().Rank() }

func (qry Query) p5(stg *config.Stage) time.Duration {
	return qry.sts.Estimate(qry.now, qry.pip.Name(), stg.Name()).P5()
}

func (qry Query) median(stg *config.Stage) time.Duration {
	return qry.sts.Estimate(qry.now, qry.pip.Name(), stg.Name()).Median()
}

func (Finish) atStage(qry Query) Decision {
	if least := qry.longestPath(qry.stage, qry.p5); least > qry.left {
		return Decision{refusal: result.DeadlineTooSoon}
	}
	if fct := qry.forecast(qry.pip.Stages()[qry.stage]); fct.wait > 0 && fct.wait+fct.duration > qry.left {
		return Decision{refusal: result.DeadlineTooSoon}
	}
	slack := qry.left - qry.longestPath(qry.stage, qry.median)
	return Decision{priority: qry.rank()*priorityPerRank + int(min(max(slack.Milliseconds(), 0), priorityPerRank-1))}
}

// longestPath returns the duration of the longest path from a stage to the end,
// given the duration of each stage; from 0, that of the whole pipeline.
func (qry Query) longestPath(from int, duration func(*config.Stage) time.Duration) time.Duration {
	stages := qry.pip.Stages()
	var ends [config.MaxStages]time.Duration
	var total time.Duration
	for i := from; i < len(stages); i++ {
		stg := stages[i]
		startAt := time.Duration(0)
		reachable := i == from || from == 0
		for _, inp := range stg.Inputs() {
			if inp >= from && ends[inp] > 0 {
				startAt, reachable = max(startAt, ends[inp]), true
			}
		}
		if !reachable {
			continue
		}
		ends[i] = startAt + max(duration(stg), 1)
		total = max(total, ends[i])
	}
	return total
}
