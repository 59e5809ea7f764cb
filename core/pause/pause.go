// Package pause tracks the backend servers that asked for no requests for a
// time.
//
// Load pattern: a server without capacity rejects requests and returns a retry
// time to the entry instance that sent them. Requests sent before that cost the
// server more rejections and use up the callers' retry budget.
package pause

import (
	"fmt"
	"time"
)

// maxPauses bounds a set; the largest deployment planned has 900 servers.
const maxPauses = 8192

// Server is a backend server that is paused until a time.
type Server struct {
	ID    string
	Until time.Time
}

// Error is a request that was not sent because its server is paused.
type Error struct {
	Server string
	// Remaining is the time that the pause still lasts.
	Remaining time.Duration
}

// Error names the server and the remaining time.
func (err *Error) Error() string {
	return fmt.Sprintf("server %s is paused for another %v", err.Server, err.Remaining)
}

// Set holds pauses by key. It is not safe for concurrent use.
type Set[K comparable] struct {
	until map[K]time.Time
}

// NewSet returns an empty set.
func NewSet[K comparable]() *Set[K] { return &Set[K]{until: map[K]time.Time{}} }

// Add records a pause until a time, and reports whether it ends later than the
// one known before. A full set records no new key.
func (set *Set[K]) Add(now time.Time, key K, until time.Time) bool {
	old, found := set.until[key]
	if !until.After(now) || found && !until.After(old) {
		return false
	}
	if !found && len(set.until) >= maxPauses {
		set.Sweep(now)
	}
	if !found && len(set.until) >= maxPauses {
		return false
	}
	set.until[key] = until
	return true
}

// Remaining returns the time that a pause still lasts; 0 if there is none.
func (set *Set[K]) Remaining(now time.Time, key K) time.Duration {
	if len(set.until) == 0 {
		return 0
	}
	return max(0, set.until[key].Sub(now))
}

// Each calls fun for every pause that has not ended.
func (set *Set[K]) Each(now time.Time, fun func(key K, until time.Time)) {
	for key, until := range set.until {
		if until.After(now) {
			fun(key, until)
		}
	}
}

// Delete drops the pauses whose key meets a condition.
func (set *Set[K]) Delete(cond func(key K) bool) {
	for key := range set.until {
		if cond(key) {
			delete(set.until, key)
		}
	}
}

// Sweep drops the pauses that have ended.
func (set *Set[K]) Sweep(now time.Time) {
	for key, until := range set.until {
		if !until.After(now) {
			delete(set.until, key)
		}
	}
}

// Len returns the number of pauses held.
func (set *Set[K]) Len() int { return len(set.until) }
