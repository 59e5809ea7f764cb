package runner

import (
	"time"

	"lovagestream/core/config"
)

// Guard checks the calls of a request that must not run twice.
type Guard interface {
	// Check is called right before each call. If it returns an error, the call
	// is not sent.
	Check(now time.Time) error
	// Commit is called right before the first byte of a non-repeatable call may
	// be sent.
	Commit()
}

// WithGuard sets the guard of the request's calls.
func (req *Request) WithGuard(grd Guard) *Request {
	req.guard = grd
	return req
}

func (req *Request) checkGuard(now time.Time) error {
	if req.guard == nil {
		return nil
	}
	return req.guard.Check(now)
}

// recordSend records a call whose first byte is about to be sent.
func (req *Request) recordSend(stg *config.Stage) {
	req.sendTracker.RecordSend(stg.Name())
	if req.guard != nil && !stg.Repeatable() {
		req.guard.Commit()
	}
}
