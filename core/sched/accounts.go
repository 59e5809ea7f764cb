package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagestream/core/fair"
)

const (
	// maxStandings is the largest number of accounts that Standings returns.
	maxStandings = 16
	// nearTolerance and farTolerance are the times of a resource by which all
	// accounts together may be ahead of their shares before their jobs go behind
	// those of others. Up to the first, jobs of all accounts are ordered by due
	// time; up to the second, by urgency first.
	nearTolerance = 150 * time.Millisecond
	farTolerance  = 2 * time.Second
	// maxOverdueShare is the part of a job's time to its target after which it is
	// overdue if its account is behind its share.
	maxOverdueShare = 0.25
)

// ReasonOverShare is the refusal reason of a job whose account asks for more
// than its share while others use theirs.
const ReasonOverShare = "account-over-share"

// division is the division of one resource, a stage pool or a model service,
// between client accounts.
type division struct {
	resource string
	clock    *fair.Clock[string]
	flows    *fair.Flows[string]
}

func newDivision(resource string) *division {
	return &division{resource: resource, clock: fair.NewClock[string](), flows: fair.NewFlows[string]()}
}

// wait is how long an account's share takes for further work, behind the
// account's backlog of an urgency.
//
// The clock knows what waits now. While an account asks for more than its share,
// the others' next requests go before its own, so it gets no more than what
// they leave.
func (div *division) wait(account string, urgency int, work time.Duration) time.Duration {
	wait := div.clock.Wait(account, urgency, work)
	if share := div.flows.Share(account); share > minCapacity && div.flows.Over(account) {
		wait = max(wait, time.Duration(float64(div.clock.Backlog(account, urgency)+work)/share))
	}
	return wait
}

// lead is how far an account is ahead of its share.
type lead uint8

const (
	// overdue jobs have waited for long while their account is behind its share.
	overdue lead = iota
	notAhead
	ahead
	farAhead
)

// leadOf returns how far an account is ahead of its share of what was begun
// while others wait.
func (div *division) leadOf(account string) lead {
	num := div.clock.Waiting()
	if num < 2 || div.clock.Capacity() < minCapacity {
		return notAhead
	}
	time := time.Duration(float64(div.clock.Lead(account)) * float64(num) / div.clock.Capacity())
	switch {
	case time > farTolerance:
		return farAhead
	case time > nearTolerance:
		return ahead
	}
	return notAhead
}

func (div *division) standing(now time.Time, account string, urgency int) fair.Standing {
	sta := fair.Standing{Account: account, Resource: div.resource, Share: min(div.flows.Share(account), div.clock.Capacity()), Wait: div.wait(account, urgency, 0)}
	sta.Demand, sta.Use = div.flows.Rates(now, account)
	return sta
}

// charge is the work of a job that waits for one resource.
type charge struct {
	div *division
	// each is the work of one piece, num the number of those that wait.
	each time.Duration
	num  int
}

// add charges a job's account with one piece.
func (cha *charge) add(job *job, div *division, each time.Duration) {
	if cha.num == 0 {
		cha.div, cha.each = div, each
	}
	cha.num++
	div.clock.Charge(job.spec.Account, job.spec.Urgency, cha.each)
}

// begin records that one piece is being processed.
func (cha *charge) begin(job *job) {
	if cha.num > 0 {
		cha.num--
		cha.div.clock.Serve(job.spec.Account, cha.each)
	}
}

// drop returns pieces that will not be processed now.
func (cha *charge) drop(job *job, num int) {
	if num = min(num, cha.num); num > 0 {
		cha.num -= num
		cha.div.clock.GiveBack(job.spec.Account, job.spec.Urgency, time.Duration(num)*cha.each)
	}
}

// updateCharge charges the account for a piece while it waits for a call.
func (pie *piece) updateCharge(state pieceState) {
	cha, job := &pie.stage.charge, pie.job
	switch {
	case pie.state == state || job.ended || job.uncharged:
	case state == stateWaiting:
		cha.add(job, pie.stage.pool.division, pie.stage.each())
	case pie.state == stateWaiting && state == stateInFlight:
		cha.begin(job)
	case pie.state == stateWaiting:
		cha.drop(job, 1)
	}
}

// dropCharges returns all work of a job that waits.
func (job *job) dropCharges() {
	for _, stg := range job.stages {
		stg.charge.drop(job, stg.charge.num)
	}
	job.engineCharge.drop(job, job.engineCharge.num)
}

// setReady queues a job for an engine.
func (sch *Scheduler) setReady(job *job) {
	if sch.ready[job.spec.Key] != nil {
		return
	}
	sch.ready[job.spec.Key] = job
	if !job.uncharged {
		job.engineCharge.add(job, sch.divisionOf(job.spec.Service), sch.engineWork(&job.spec))
	}
}

// DivideByAccount switches the division between client accounts on or off; it
// is on by default.
func (sch *Scheduler) DivideByAccount(on bool) { sch.divide = on }

// dividesFor reports whether resources are divided for an account: jobs of
// another one are in progress.
func (sch *Scheduler) dividesFor(account string) bool {
	if !sch.divide || sch.ply.IgnoreAccounts {
		return false
	}
	num := len(sch.accounts)
	return num > 1 || num == 1 && sch.accounts[account] == 0
}

// divisionOf returns the division of a model service.
func (sch *Scheduler) divisionOf(service string) *division {
	div := sch.divisions[service]
	if div == nil {
		div = newDivision(service)
		sch.divisions[service] = div
	}
	return div
}

// each is the work of one piece as part of full calls.
func (stg *stage) each() time.Duration {
	bat := stg.pool.svc.Batch
	return stg.pool.pieceTime(stg.kind) + bat.CallTime/time.Duration(bat.MaxPieces)
}

// engineWork is the work of a request at its engine: the prefill of the tokens
// that no other request shares, and its part in the decoding steps.
func (sch *Scheduler) engineWork(spc *Spec) time.Duration {
	eng := sch.engines[spc.Service]
	if eng == nil {
		return 0
	}
	tokens := spc.PromptTokens
	if len(spc.Parts) > 1 {
		tokens = spc.Parts[len(spc.Parts)-1].Tokens
	}
	return eng.FirstEventTime(tokens+outputTokenWeight*spc.MaxOutputTokens) - eng.FirstEventTime(0)
}

// noteDemand records the work that a new job asks for. Callers that come back
// ask for nothing new: if they counted again, an account that was refused some
// requests would seem to ask for more and more.
func (sch *Scheduler) noteDemand(now time.Time, job *job) {
	job.uncharged = sch.ply.IgnoreAccounts
	if job.uncharged || job.cameBack {
		return
	}
	for _, stg := range job.stages {
		stg.pool.division.flows.Ask(now, job.spec.Account, stg.work())
	}
	sch.divisionOf(job.spec.Service).flows.Ask(now, job.spec.Account, sch.engineWork(&job.spec))
}

// noteUse records the work that an admitted job uses.
func (sch *Scheduler) noteUse(now time.Time, job *job) {
	if job.uncharged {
		return
	}
	for _, stg := range job.stages {
		stg.pool.division.flows.Admit(now, job.spec.Account, stg.work())
	}
	sch.divisionOf(job.spec.Service).flows.Admit(now, job.spec.Account, sch.engineWork(&job.spec))
}

// asksTooMuch reports whether a job's account asks for more than its share of a
// resource that the job needs.
func (sch *Scheduler) asksTooMuch(job *job) bool {
	if !sch.dividesFor(job.spec.Account) {
		return false
	}
	for _, stg := range job.stages {
		if stg.remaining > 0 && stg.pool.division.flows.Over(job.spec.Account) {
			return true
		}
	}
	return sch.divisionOf(job.spec.Service).flows.Over(job.spec.Account)
}

// leadOf returns how far a job's account is ahead of its share of the resources
// that the job still needs.
//
// A lead is an amount of work, so other accounts that ask for little never cause
// a large one. Their jobs become overdue instead.
func (sch *Scheduler) leadOf(now time.Time, job *job) lead {
	most, behind := notAhead, false
	if !sch.dividesFor(job.spec.Account) {
		return most
	}
	for _, stg := range job.stages {
		if stg.remaining > stg.inFlight {
			most = max(most, stg.pool.division.leadOf(job.spec.Account))
			behind = behind || stg.pool.division.clock.Lead(job.spec.Account) < 0
		}
	}
	if job.run == nil {
		most = max(most, sch.divisionOf(job.spec.Service).leadOf(job.spec.Account))
	}
	allowed := time.Duration(maxOverdueShare * float64(job.spec.Target.Sub(job.spec.Arrived)))
	if most == notAhead && behind && now.Sub(job.spec.Arrived) > allowed {
		return overdue
	}
	return most
}

// shareEstimate is the time until the first event of a further job like the
// given one, if its account gets no more than its share.
func (sch *Scheduler) shareEstimate(job *job, engineTime time.Duration) time.Duration {
	account, urgency := job.spec.Account, job.spec.Urgency
	last := job.criticalPath(func(stg *stage, begin time.Duration) time.Duration {
		wait := stg.pool.inFlightBacklog.wait() + stg.pool.division.wait(account, urgency, stg.work())
		return max(begin, wait) + stg.unqueuedTime() + stg.extraCallTime() + messageDelay
	})
	return max(last, sch.divisionOf(job.spec.Service).wait(account, urgency, 0)) + engineTime + messageDelay
}

// ownEstimate is the time until a job's first event behind all jobs of its
// account that are as urgent, also those at earlier stages, at the account's
// share; 0 if none of them is more urgent.
//
// Without it, less urgent jobs of an account that asks for too much fill the
// pools after the first with begun work, whose results hold the memory that
// urgent jobs and those of other accounts need.
func (sch *Scheduler) ownEstimate(job *job, engineTime time.Duration) time.Duration {
	for _, pol := range sch.pools {
		pol.own = 0
	}
	first := true
	for _, oth := range sch.jobList {
		if oth.run != nil || oth.spec.Account != job.spec.Account || oth.spec.Urgency > job.spec.Urgency {
			continue
		}
		first = first && oth.spec.Urgency == job.spec.Urgency
		for _, stg := range oth.stages {
			stg.pool.own += stg.work()
		}
	}
	if first {
		return 0
	}
	last := job.criticalPath(func(stg *stage, begin time.Duration) time.Duration {
		share := max(minCapacity, min(stg.pool.division.flows.Share(job.spec.Account), stg.pool.inFlightBacklog.capacity))
		wait := max(stg.pool.inFlightBacklog.wait(), time.Duration(float64(stg.pool.own)/share))
		return max(begin, wait) + stg.unqueuedTime() + stg.extraCallTime() + messageDelay
	})
	return last + engineTime + messageDelay
}

// standingOf returns the account's standing at the resource that a job waits
// longest for.
func (sch *Scheduler) standingOf(now time.Time, job *job) fair.Standing {
	account, urgency := job.spec.Account, job.spec.Urgency
	sta := sch.divisionOf(job.spec.Service).standing(now, account, urgency)
	for _, stg := range job.stages {
		if oth := stg.pool.division.standing(now, account, urgency); oth.Wait > sta.Wait {
			sta = oth
		}
	}
	return sta
}

// updateShares updates the shares of all resources.
func (sch *Scheduler) updateShares(now time.Time) {
	if sch.ply.IgnoreAccounts {
		return
	}
	for _, pol := range sch.pools {
		div := pol.division
		div.clock.SetCapacity(sch.poolBacklog(now, pol).capacity)
		div.flows.Divide(now, div.clock.Capacity())
	}
	for service, div := range sch.divisions {
		if eng := sch.engines[service]; eng != nil {
			div.clock.SetCapacity(float64(eng.Available(now)))
		}
		div.flows.Divide(now, div.clock.Capacity())
	}
}

// Standings returns the accounts that ask for more than their share of a
// resource, those furthest over it first, at most maxStandings.
func (sch *Scheduler) Standings(now time.Time) []fair.Standing {
	if !sch.divide || len(sch.accounts) < 2 {
		return nil
	}
	var out []fair.Standing
	add := func(div *division) {
		div.flows.EachOver(func(account string) {
			out = append(out, div.standing(now, account, lowestUrgency))
		})
	}
	for _, pol := range sch.pools {
		add(pol.division)
	}
	for _, div := range sch.divisions {
		add(div)
	}
	slices.SortFunc(out, func(one, two fair.Standing) int {
		return cmp.Or(cmp.Compare(two.Demand/two.Share, one.Demand/one.Share), cmp.Compare(one.Account, two.Account), cmp.Compare(one.Resource, two.Resource))
	})
	return out[:min(len(out), maxStandings)]
}

// lowestUrgency stands for an account's whole backlog.
const lowestUrgency = math.MaxInt
