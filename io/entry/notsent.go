package entry

import (
	"github.com/pkg/errors"

	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/io/conns"
)

const (
	// reasonConnLimit and reasonPaused are the reasons of requests that this
	// instance didn't send: all its connections to the server were in use, or
	// the server accepts no requests from it now.
	reasonConnLimit = "connections-taken"
	reasonPaused    = "server-paused"
)

// notSent returns the outcome of a request of which no byte was sent, and false
// for all other errors.
func notSent(err error) (outcome, bool) {
	var sen *conns.SendError
	if !errors.As(err, &sen) || sen.Sent {
		return outcome{}, false
	}
	out := outcome{retryable: true, unsent: true, reason: "not-reached", err: err}
	var lim *conns.ConnLimitError
	var pau *pause.Error
	switch {
	case errors.As(err, &lim):
		out.reason = reasonConnLimit
	case errors.As(err, &pau):
		out.reason, out.retryAfter = reasonPaused, pau.Remaining
	}
	return out, true
}

// notAttempted reports whether the outcome says nothing about the server.
func (out *outcome) notAttempted() bool {
	return out.reason == reasonConnLimit || out.reason == reasonPaused
}

// notSentOutcome returns the outcome that is reported to the engine's pool for a
// request that was not sent.
func notSentOutcome(out outcome) place.Outcome {
	switch out.reason {
	case reasonConnLimit:
		return place.Full
	case reasonPaused:
		return place.Done
	}
	return place.Failed
}
