package setup

import (
	"time"

	"lovagestream/core/schema"
)

// CallerLimits are the limits of the callers' listener. Sizes are in bytes.
type CallerLimits struct {
	maxBody        int64
	maxHeaderBytes int64
	maxRequests    int
	maxStreams     int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	writeTimeout   time.Duration
}

// MaxBody returns the largest request body, in bytes.
func (lim CallerLimits) MaxBody() int64 { return lim.maxBody }

// MaxHeaderBytes returns the largest size of a request's headers, in bytes.
func (lim CallerLimits) MaxHeaderBytes() int64 { return lim.maxHeaderBytes }

// MaxRequests returns the maximum number of requests in progress.
func (lim CallerLimits) MaxRequests() int { return lim.maxRequests }

// MaxStreams returns the maximum number of streams among the requests in progress.
func (lim CallerLimits) MaxStreams() int { return lim.maxStreams }

// HeaderTimeout returns the timeout for receiving a request's headers.
func (lim CallerLimits) HeaderTimeout() time.Duration { return lim.headerTimeout }

// IdleTimeout returns how long a connection may be idle between two requests.
func (lim CallerLimits) IdleTimeout() time.Duration { return lim.idleTimeout }

// WriteTimeout returns the timeout of one write to a caller.
func (lim CallerLimits) WriteTimeout() time.Duration { return lim.writeTimeout }

// CallerLimits returns the limits of the callers' listener.
func (set *Settings) CallerLimits() CallerLimits { return set.callerLimits }

func (lim *CallerLimits) fill(mp *schema.Map) {
	const (
		maxConcurrent  = 1 << 20
		maxIdleTimeout = time.Hour
	)
	lim.maxBody = mp.Size("max-body", 1<<20, 1<<10, 64<<20, "Largest request body; a larger one is refused with 413.")
	lim.maxHeaderBytes = mp.Size("max-headers", 16<<10, 1<<10, 1<<20, "Largest request line and headers together; larger ones are refused with 431.")
	lim.maxRequests = mp.Int("max-requests", 8192, 1, maxConcurrent, "Most requests in progress; more are refused with 503.")
	lim.maxStreams = mp.Int("max-streams", 4096, 1, maxConcurrent, "Most streamed answers among them; more are refused with 503.")
	lim.headerTimeout = mp.Duration("header-time", 10*time.Second, 100*time.Millisecond, time.Minute, "How long a caller may take to send its headers.")
	lim.idleTimeout = mp.Duration("idle-time", 2*time.Minute, time.Second, maxIdleTimeout, "How long a connection stays open between two requests.")
	lim.writeTimeout = mp.Duration("write-bound", 5*time.Second, 100*time.Millisecond, time.Minute, "How long one write to a caller may take; a caller that stops reading is cut off after it.")
}
