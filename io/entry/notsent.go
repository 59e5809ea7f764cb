package entry

import (
	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/marks"
	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/io/conns"
)

const (
	// reasonConnLimit, reasonPaused, reasonNoPath and reasonNotReached are the reasons of
	// requests that this instance didn't send: all its connections to the server were in
	// use, the server accepts no requests from it now, it has no path to the servers, or
	// it couldn't connect to this one.
	reasonConnLimit  = "connections-taken"
	reasonPaused     = "server-paused"
	reasonNoPath     = "no-path"
	reasonNotReached = "not-reached"
	// reasonPathLost is the reason of requests that were given up, since the path was
	// lost while they waited for a response.
	reasonPathLost = "path-lost"
	// reasonTooLong is the reason of responses that exceed a bound on their size or time.
	reasonTooLong = "answer-too-long"
	// reasonMalformed is the reason of responses that aren't ones by the rules of HTTP.
	reasonMalformed = "answer-malformed"
	// reasonNoMemory is the reason of responses for which this instance has no memory.
	reasonNoMemory = "no-memory-for-answer"
	// reasonCrashes is the reason of requests that are refused since requests like them
	// crash servers.
	reasonCrashes = "crashes-servers"
	// reasonNoRetries is the reason, after that of a failure, if the limit allows no retry.
	reasonNoRetries = "no-repeats-left"
)

// notSent returns the outcome of a request of which no byte was sent, and false
// for all other errors.
func notSent(err error) (outcome, bool) {
	var sen *conns.SendError
	if !errors.As(err, &sen) || sen.Sent {
		return outcome{}, false
	}
	out := outcome{retryable: true, unsent: true, reason: reasonNotReached, err: err}
	var lim *conns.ConnLimitError
	var pau *pause.Error
	var ref *marks.RefusedError
	switch {
	case errors.As(err, &ref):
		out.retryable, out.reason, out.retryAfter = false, reasonCrashes, marks.RetryAfter
	case isPathLost(err):
		out.reason = reasonNoPath
	case errors.As(err, &lim):
		out.reason = reasonConnLimit
	case errors.As(err, &pau):
		out.reason, out.retryAfter = reasonPaused, pau.Remaining
	}
	return out, true
}

// isPathLost reports whether a request failed because this instance has no path to the
// servers.
func isPathLost(err error) bool {
	var pth *conns.PathError
	return errors.As(err, &pth)
}

// noResponse returns the outcome of a request that was sent and got no response.
func noResponse(err error, retryable bool) outcome {
	out := outcome{retryable: retryable, mayHaveRun: true, reason: "no-answer", err: err}
	var bnd *call.BoundError
	var mal *call.MalformedError
	switch {
	case errors.As(err, &bnd):
		out.reason = reasonTooLong
	case errors.As(err, &mal):
		out.reason = reasonMalformed
	case isPathLost(err):
		out.reason = reasonPathLost
	}
	return out
}

// brokenBody returns the outcome of a request whose response's body could not be read.
func brokenBody(err error, retryable bool) outcome {
	out := outcome{retryable: retryable, mayHaveRun: true, reason: "answer-broken", err: errors.Wrap(err, "body")}
	var bnd *call.BoundError
	var mal *call.MalformedError
	var mem *conns.MemoryError
	switch {
	case errors.As(err, &bnd):
		out.reason = reasonTooLong
	case errors.As(err, &mal):
		out.reason = reasonMalformed
	case errors.As(err, &mem):
		out.reason = reasonNoMemory
	}
	return out
}

// notAttempted reports whether the outcome says nothing about the server.
func (out *outcome) notAttempted() bool {
	switch out.reason {
	case reasonConnLimit, reasonPaused, reasonNoPath, reasonPathLost, reasonCrashes, reasonNoMemory:
		return true
	}
	return false
}

// unansweredOutcome returns the outcome that is reported to the engine's pool for a
// request that was not sent or got no response.
func unansweredOutcome(out outcome) place.Outcome {
	switch {
	case out.reason == reasonConnLimit:
		return place.Full
	case out.notAttempted():
		return place.Done
	}
	return place.Failed
}
