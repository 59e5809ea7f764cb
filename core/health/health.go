// Package health detects unhealthy backend servers from the outcomes of
// requests (passive outlier detection). A server's own health status is not
// used: it may be wrong either way.
//
// Load pattern: a server stops answering, fails part of its requests or becomes
// slow under full traffic. Callers lose every request sent there until it is
// noticed, so a server is ejected after few failures, for a time that doubles
// with each ejection, and then probed with one request at a time.
package health

import "time"

const (
	// baseEjection is the duration of the first ejection: a crashed server is
	// back after some seconds, one that reset a connection at once.
	baseEjection = 400 * time.Millisecond
	// maxEjection bounds the doubling, so that a recovered server gets requests
	// within two seconds.
	maxEjection = 2 * time.Second
	// outcomeWeight is the weight of the latest outcome in the failure rate:
	// about the last eight outcomes count.
	outcomeWeight = 0.12
	// maxFailureRate is the failure rate at which a server is ejected. Servers
	// with grey failures fail two requests in five. An error response that a plain
	// service sends itself counts as a success.
	maxFailureRate = 0.28
	// maxConsecutiveFailures is the number of consecutive failures that eject a
	// server whatever its failure rate.
	maxConsecutiveFailures = 2
)

// Record is the health state of one server. The zero value is a healthy server.
type Record struct {
	// failureRate is a moving average of the share of failures, from 0 to 1.
	failureRate float64
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejection is the duration of the last ejection; 0 after a success.
	ejection     time.Duration
	ejectedUntil time.Time
	// probing is set while a single request is in flight after an ejection.
	probing bool
}

// Available reports whether the server may get a request. After an ejection it
// may get one request at a time until one succeeds.
func (rec *Record) Available(now time.Time) bool {
	if now.Before(rec.ejectedUntil) {
		return false
	}
	return rec.ejection == 0 || !rec.probing
}

// Started records that a request is sent.
func (rec *Record) Started() {
	if rec.ejection > 0 {
		rec.probing = true
	}
}

// Succeeded records an answer.
func (rec *Record) Succeeded() {
	rec.failureRate *= 1 - outcomeWeight
	rec.consecutiveFailures = 0
	rec.probing = false
	if rec.ejection > 0 {
		rec.ejection = 0
		rec.failureRate = min(rec.failureRate, maxFailureRate/2)
	}
}

// Abandoned records a request that ended without evidence about the server,
// because its caller left early.
func (rec *Record) Abandoned() { rec.probing = false }

// Failed records a request without a useful answer. It reports whether this
// failure ejected the server.
func (rec *Record) Failed(now time.Time) bool {
	rec.failureRate += outcomeWeight * (1 - rec.failureRate)
	rec.consecutiveFailures++
	eject := rec.probing || rec.consecutiveFailures >= maxConsecutiveFailures || rec.failureRate > maxFailureRate
	rec.probing = false
	if !eject || now.Before(rec.ejectedUntil) {
		return false
	}
	rec.Eject(now)
	return true
}

// Eject ejects the server.
func (rec *Record) Eject(now time.Time) {
	rec.ejection = min(maxEjection, max(baseEjection, 2*rec.ejection))
	rec.ejectedUntil = now.Add(rec.ejection)
	rec.probing = false
}

// FailureRate returns the failure rate, from 0 to 1.
func (rec *Record) FailureRate() float64 { return rec.failureRate }

// Ejected reports whether the server was ejected and has not answered since.
func (rec *Record) Ejected() bool { return rec.ejection > 0 }
