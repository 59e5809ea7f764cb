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
	// greedy is the excess from which on an account has more than its part.
	greedy = 2
	// greedyPart is how much of the time for waiting such an account may plan
	// with. The rest stays for those below their part.
	greedyPart = 0.3
	// fullPart is the part of the time for waiting that work may plan with: a
	// forecast that misses by some is still in time, and a longer queue would
	// not make the servers any faster.
	fullPart = 0.5
	// classPart is what each lower class may plan with of what the class above
	// it may.
	classPart = 0.85
	// leastWait is the shortest time to come back after a refusal.
	leastWait = time.Second
	// rankStep keeps the classes apart in the priority; within one, the time
	// left in milliseconds decides.
	rankStep = 1_000_000
)

// Finish refuses at the entry what can't finish within its deadline, and at
// each stage what has less time left than the rest usually takes at least.
// Where a request would have to wait for servers, it is admitted only if the
// wait fits into a part of the time that its own work leaves. Lower classes
// and accounts far above their fair part of the requests in progress are held
// to less of it, so that they are shed first.
type Finish struct{}

var _ Policy = Finish{}

// Name returns "finish".
func (Finish) Name() string { return "finish" }

// Decide forecasts the finish.
func (fin Finish) Decide(ask Ask) Verdict {
	if ask.stage >= 0 {
		return fin.atStage(ask)
	}
	plan := time.Duration(float64(ask.left) * (1 - ask.headroom))
	if ask.rest(0, ask.least) > plan {
		return Verdict{refusal: result.DeadlineTooSoon}
	}
	served := ask.rest(0, func(stg *config.Stage) time.Duration {
		return max(ask.forecast(stg).took, ask.least(stg))
	})
	wait := ask.rest(0, func(stg *config.Stage) time.Duration {
		fct := ask.forecast(stg)
		return fct.wait + max(fct.took, ask.least(stg))
	}) - served
	part := fullPart * math.Pow(classPart, float64(ask.rank()))
	if ask.boo.accounts.excess(ask.acc) > greedy {
		part *= greedyPart
	}
	if room := time.Duration(float64(plan-served) * part); wait > 0 && wait > room {
		// What is over drains as fast as it is served; before that, coming
		// back would meet the same answer.
		return Verdict{refusal: result.Overloaded, wait: max(leastWait, wait-room), why: ask.why(wait, room)}
	}
	return Verdict{}
}

// why tells what a wait is made of, by stage, and what it was held against.
func (ask Ask) why(wait, room time.Duration) string {
	var out strings.Builder
	fmt.Fprintf(&out, "it would wait %v of %v that it may", wait.Round(time.Millisecond), room.Round(time.Millisecond))
	for _, stg := range ask.pip.Stages() {
		if fct := ask.forecast(stg); fct.wait > 0 {
			fmt.Fprintf(&out, "; %v at pool %s behind %.0f calls of %v, %.0f at once", fct.wait.Round(time.Millisecond), stg.Pool(), fct.queue, fct.each.Round(time.Millisecond), fct.size)
		}
	}
	return out.String()
}

// forecast is what a stage's pool would make of its call.
func (ask Ask) forecast(stg *config.Stage) forecast {
	return ask.boo.flow(stg.Pool()).forecast(ask.now, ask.rank(), ask.boo.units(ask.pip, stg))
}

func (ask Ask) rank() int { return ask.acc.Contract().Class().Rank() }

func (ask Ask) least(stg *config.Stage) time.Duration {
	return ask.boo.Estimate(ask.now, ask.pip.Name(), stg.Name()).Least()
}

func (ask Ask) usual(stg *config.Stage) time.Duration {
	return ask.boo.Estimate(ask.now, ask.pip.Name(), stg.Name()).Usual()
}

func (Finish) atStage(ask Ask) Verdict {
	if least := ask.rest(ask.stage, ask.least); least > ask.left {
		return Verdict{refusal: result.DeadlineTooSoon}
	}
	if fct := ask.forecast(ask.pip.Stages()[ask.stage]); fct.wait > 0 && fct.wait+fct.took > ask.left {
		return Verdict{refusal: result.DeadlineTooSoon}
	}
	slack := ask.left - ask.rest(ask.stage, ask.usual)
	return Verdict{priority: ask.rank()*rankStep + int(min(max(slack.Milliseconds(), 0), rankStep-1))}
}

// rest is how long the longest path from a stage on takes, by one reading of
// each stage; from 0, that of the whole pipeline.
func (ask Ask) rest(from int, read func(*config.Stage) time.Duration) time.Duration {
	stages := ask.pip.Stages()
	var ends [config.MaxStages]time.Duration
	var longest time.Duration
	for i := from; i < len(stages); i++ {
		stg := stages[i]
		begin := time.Duration(0)
		after := i == from || from == 0
		for _, inp := range stg.Inputs() {
			if inp >= from && ends[inp] > 0 {
				begin, after = max(begin, ends[inp]), true
			}
		}
		if !after {
			continue
		}
		ends[i] = begin + max(read(stg), 1)
		longest = max(longest, ends[i])
	}
	return longest
}
