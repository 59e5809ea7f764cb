package call

import (
	"fmt"
	"time"
)

// BoundError is the error of a response that exceeds a bound on its size or time. What was
// read of it is not used, and its connection is closed.
type BoundError struct {
	// Part names the part of the response that the bound is on.
	Part string
	// Bytes is the bound on the size, Time the one on the time from the first byte to the
	// end. The one that doesn't apply is zero; both are if another instance read the response.
	Bytes int64
	Time  time.Duration
}

// Error names the part and the bound.
func (err *BoundError) Error() string {
	switch {
	case err.Time > 0:
		return fmt.Sprintf("%s takes longer than %v", err.Part, err.Time)
	case err.Bytes > 0:
		return fmt.Sprintf("%s exceeds %d bytes", err.Part, err.Bytes)
	}
	return err.Part + " exceeds a bound"
}
