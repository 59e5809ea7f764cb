// Package marks tracks which requests were in flight at backend servers that
// crashed, so that a request that crashes every server that runs it (a poison
// request) is refused after a few crashes, and so are all requests with a part in
// their prompts that crashes every model server which answers it.
//
// A crash is evidence against each request that was in flight on the server.
// One crash or two refuse nothing: servers crash for other causes, and most
// requests on them are innocent. The poison request shows when it is present at
// a third crash, while the other requests were retried on different servers.
// A complete answer clears the requests that have its fingerprint, and a server
// that answers again under the same identity had not crashed.
// The tables of different entry instances converge once their messages have
// arrived: adding evidence is idempotent and commutative.
//
// The package neither detects crashes nor sends anything.
package marks

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a table.
const (
	// CrashLimit is the most backend servers that one request may crash.
	CrashLimit = 3
	// CrashTTL is how long a crash counts as evidence.
	CrashTTL = 10 * time.Minute
	// MaxFingerprints bounds the fingerprints of a table; the oldest are
	// dropped first.
	MaxFingerprints = 4096
	// MaxBatch bounds the fingerprints of one crash that are sent to other
	// instances.
	MaxBatch = 256
	// maxCrashes bounds the recorded crashes of all servers, maxOwnCrashes those of
	// one fingerprint.
	maxCrashes    = 128
	maxOwnCrashes = 12
	// commonCauseWindow is the time before and after a request's own crashes in
	// which other crashes count as having the same cause.
	commonCauseWindow = 2 * time.Second
	// commonCauseSpacing is how far apart crashes must lie for a common cause to have
	// occurred more than once.
	commonCauseSpacing = time.Second
	// partSpacing is the least time between two crashes that both count against a part:
	// servers that end at the same time have a cause of their own, and common parts are on
	// board at most of them.
	partSpacing = 100 * time.Millisecond
	// maxWholes bounds the requests by which a part is known to crash servers.
	maxWholes = 4
	// duplicateWindow is the time within which two reports of one server count
	// as the same crash if the server was not seen to answer in between. A
	// server that is gone but still listed is reported again and again.
	duplicateWindow = time.Minute
)

// Fingerprint identifies a request by its client account, pipeline and content.
// A request that is sent again has the same fingerprint.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(account, pipeline string, body []byte) Fingerprint {
	var dig xxhash.Digest
	dig.Reset()
	for _, txt := range []string{account, pipeline} {
		_, _ = dig.WriteString(txt)
		_, _ = dig.Write([]byte{0})
	}
	_, _ = dig.Write(body)
	return Fingerprint(dig.Sum64())
}

// NewPartFingerprint returns the fingerprint of a part of prompts to a service.
func NewPartFingerprint(service, part string) Fingerprint {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(service)
	_, _ = dig.Write([]byte{0, 0})
	_, _ = dig.WriteString(part)
	return Fingerprint(dig.Sum64())
}

// Request holds the fingerprint of a whole request, and those of the parts of its prompt.
type Request []Fingerprint

// Whole returns the fingerprint of the whole request.
func (req Request) Whole() Fingerprint { return req[0] }

// Parts returns the fingerprints of the parts of the prompt.
func (req Request) Parts() []Fingerprint { return req[1:] }

// RetryAfter is the retry delay for requests that are refused.
const RetryAfter = 30 * time.Second

// RefusedError is the error of a request that is not sent because requests like it crash
// servers.
type RefusedError struct{ Fingerprint Fingerprint }

// Error names the fingerprint, which is that of the request or of a part of its prompt.
func (err *RefusedError) Error() string {
	return "requests with the fingerprint " + strconv.FormatUint(uint64(err.Fingerprint), 10) + " crash servers"
}

// Crash is the failure of a backend server with a request in flight.
type Crash struct {
	server string
	at     time.Time
	// lastReply is when the server last answered before the crash; zero if it
	// never did.
	lastReply time.Time
	// ended is set if the server refused new connections.
	ended bool
}

// NewCrash returns a crash of a server at a time of this instance's clock.
func NewCrash(server string, at time.Time) Crash { return Crash{server: server, at: at} }

// WithLastReply sets when the server last answered before the crash. A server
// that answered after an earlier crash has crashed again.
func (crs Crash) WithLastReply(lastReply time.Time) Crash {
	crs.lastReply = lastReply
	return crs
}

// WithEnd sets that the server refused new connections. An answer of the same server later
// shows that it was the path that refused them.
func (crs Crash) WithEnd() Crash {
	crs.ended = true
	return crs
}

// Ended reports whether the server refused new connections.
func (crs Crash) Ended() bool { return crs.ended }

// Server returns the server's identity.
func (crs Crash) Server() string { return crs.server }

// LastReply returns when the server last answered before the crash; zero if it
// never did.
func (crs Crash) LastReply() time.Time { return crs.lastReply }

// At returns the time of the crash.
func (crs Crash) At() time.Time { return crs.at }

// duplicates reports whether two reports are of one crash.
func (crs Crash) duplicates(oth Crash) bool {
	if crs.server != oth.server {
		return false
	}
	if oth.at.Before(crs.at) {
		crs, oth = oth, crs
	}
	return !oth.lastReply.After(crs.at) && oth.at.Sub(crs.at) < duplicateWindow
}
