// Package pause keeps which backend servers want no requests for a time.
//
// Load pattern: a server that can't take more turns requests away and names a time
// to the entry instance that sent them. Tried again before that, it spends on
// refusals what it lacks, and its callers' budget of repeats is spent with it.
package pause

import (
	"fmt"
	"time"
)

// maxPauses bounds a book; the largest deployment planned has 900 servers.
const maxPauses = 8192

// Server is a backend server that wants no requests until a time.
type Server struct {
	ID    string
	Until time.Time
}

// Error is a request that was not sent because its server wants none.
type Error struct {
	Server string
	// Left is how long the pause lasts still.
	Left time.Duration
}

// Error names the server and the time.
func (err *Error) Error() string {
	return fmt.Sprintf("server %s wants no requests for %v", err.Server, err.Left)
}

// Book holds pauses by key. It is not safe for concurrent use.
type Book[K comparable] struct {
	until map[K]time.Time
}

// NewBook returns a book without pauses.
func NewBook[K comparable]() *Book[K] { return &Book[K]{until: map[K]time.Time{}} }

// Add keeps a pause until a time, and reports whether it ends later than what was
// kept. A full book keeps no more.
func (bok *Book[K]) Add(now time.Time, key K, until time.Time) bool {
	old, have := bok.until[key]
	if !until.After(now) || have && !until.After(old) {
		return false
	}
	if !have && len(bok.until) >= maxPauses {
		bok.Sweep(now)
	}
	if !have && len(bok.until) >= maxPauses {
		return false
	}
	bok.until[key] = until
	return true
}

// Left is how long a pause lasts still; 0 where there is none.
func (bok *Book[K]) Left(now time.Time, key K) time.Duration {
	if len(bok.until) == 0 {
		return 0
	}
	return max(0, bok.until[key].Sub(now))
}

// Each calls fun for every pause that lasts.
func (bok *Book[K]) Each(now time.Time, fun func(key K, until time.Time)) {
	for key, until := range bok.until {
		if until.After(now) {
			fun(key, until)
		}
	}
}

// Sweep forgets the pauses that are over.
func (bok *Book[K]) Sweep(now time.Time) {
	for key, until := range bok.until {
		if !until.After(now) {
			delete(bok.until, key)
		}
	}
}

// Len counts what is kept.
func (bok *Book[K]) Len() int { return len(bok.until) }
