package route

import (
	"sync/atomic"
)

// suspectAfter is the number of connections that must go silent one after
// another, without a byte received on any, before the server itself is
// suspected.
const suspectAfter = 2

// Connections counts this entry instance's connections to one backend server.
//
// A connection can stop delivering data for good while the server is healthy,
// because something on the path has lost its state. One call then makes no
// progress while calls on other connections do. A single silent connection
// therefore does not count against the server, and a byte received on any of
// its connections resets the count.
type Connections struct {
	// open is the number of connections open and not silent, never negative.
	open atomic.Int64
	// silent is the number of connections that went silent since the last byte
	// received on any of them.
	silent atomic.Int64
	// total counts every connection that ever went silent; it never decreases.
	total atomic.Int64
}

// Opened counts a new connection.
func (cns *Connections) Opened() { cns.open.Add(1) }

// Closed counts a connection that ended for any reason.
func (cns *Connections) Closed() { cns.open.Add(-1) }

// MarkSilent counts a connection that made no progress for too long.
func (cns *Connections) MarkSilent() {
	cns.silent.Add(1)
	cns.total.Add(1)
}

// Progressed records that a byte was received on one of the connections.
func (cns *Connections) Progressed() {
	if cns.silent.Load() != 0 {
		cns.silent.Store(0)
	}
}

// Open returns the number of connections open and not known to be silent.
func (cns *Connections) Open() int64 { return cns.open.Load() }

// Silent returns the number of connections that went silent since the last byte
// received on any of them.
func (cns *Connections) Silent() int64 { return cns.silent.Load() }

// TotalSilent returns the number of connections that ever went silent.
func (cns *Connections) TotalSilent() int64 { return cns.total.Load() }

// ServerSuspected reports whether the server itself, rather than a single
// connection to it, is presumed unresponsive.
func (cns *Connections) ServerSuspected() bool { return cns.silent.Load() >= suspectAfter }
