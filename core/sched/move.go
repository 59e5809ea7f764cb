package sched

import (
	"time"

	"lovagestream/core/place"
)

// reasonStays is the reason if a request stays at its engine.
const reasonStays = "stays-at-engine"

// move places a job whose engine has not begun it at another engine, or
// notifies its entry instance that it stays.
//
// Load pattern: a few engines are slow or silent with their connections up, and
// the requests placed there wait unbegun while other engines have room.
func (sch *Scheduler) move(now time.Time, key Key) {
	job := sch.jobs[key]
	if job == nil || !sch.moveJob(now, job) {
		sch.out.Notify(Decision{Key: key, Outcome: Refused, Reason: reasonStays})
	}
}

// moveJob moves a job if it is sooner served elsewhere. It reports whether it
// did.
func (sch *Scheduler) moveJob(now time.Time, job *job) bool {
	if job.run == nil || job.run.Begun() || !job.holdsInputs() {
		return false
	}
	eng := sch.engines[job.spec.Service]
	old := job.run
	avoid := job.spec.Avoid
	job.spec.Avoid = append(avoid[:len(avoid):len(avoid)], old.Engine())
	expected, ok := eng.Estimate(now, sch.engineQuery(now, &job.spec, nil))
	if !ok || !sooner(now, job, expected) {
		job.spec.Avoid = avoid
		return false
	}
	job.run = nil
	if !sch.placeJob(now, job) {
		job.run, job.spec.Avoid = old, avoid
		return false
	}
	eng.Ended(now, old, place.Done)
	return true
}

// sooner reports whether a job is served soon enough elsewhere for a move to
// help its caller: on time, or in at most half the time that it has waited.
func sooner(now time.Time, job *job, expected time.Duration) bool {
	if !now.Add(expected + messageDelay).After(job.spec.Target) {
		return true
	}
	return 2*expected < now.Sub(job.run.PlacedAt()) && now.Add(expected+messageDelay).Before(job.spec.GiveUp)
}

// holdsInputs reports whether the results that an engine needs are all held.
func (job *job) holdsInputs() bool {
	for _, stg := range job.stages {
		for _, pie := range stg.pieces {
			if stg.final && (pie.state != stateDone || pie.server == nil) {
				return false
			}
		}
	}
	return true
}
