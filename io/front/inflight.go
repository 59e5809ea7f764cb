package front

import (
	"fmt"
	"sync/atomic"
	"time"

	"lovagestream/core/result"
)

// overloadRetryAfter is the Retry-After of a full instance; by then the load
// balancer may have chosen another.
const overloadRetryAfter = time.Second

// inFlight limits the requests in progress, and the streams among them, so that
// memory stays bounded under any load.
type inFlight struct {
	// requests and streams exceed their limits only briefly, while a request
	// that will be refused is counted.
	requests atomic.Int64
	streams  atomic.Int64
}

// acquire counts a request as in progress, or refuses it at once.
func (ifl *inFlight) acquire(opt Options, stream bool) *result.Refusal {
	if ifl.requests.Add(1) > opt.maxRequests {
		ifl.requests.Add(-1)
		return refuse(result.Overloaded, overloadRetryAfter, fmt.Sprintf("this entry instance has %d requests in progress, its most", opt.maxRequests))
	}
	if stream && ifl.streams.Add(1) > opt.maxStreams {
		ifl.release(stream)
		return refuse(result.Overloaded, overloadRetryAfter, fmt.Sprintf("this entry instance has %d streams open, its most", opt.maxStreams))
	}
	return nil
}

func (ifl *inFlight) release(stream bool) {
	ifl.requests.Add(-1)
	if stream {
		ifl.streams.Add(-1)
	}
}

// Requests returns the number of requests in progress.
func (srv *Server) Requests() int64 { return srv.ifl.requests.Load() }

// Streams returns the number of streams among the requests in progress.
func (srv *Server) Streams() int64 { return srv.ifl.streams.Load() }
