package conns

import (
	"net"
	"sync/atomic"
	"time"

	"lovagestream/core/call"
	"lovagestream/io/clock"
)

const (
	// maxHeadBytes bounds what is read for the heads of one request's responses, informational
	// ones included. Servers' heads have some ten fields; 32 kB is what common servers and
	// proxies accept at most.
	maxHeadBytes = 32 << 10
	// maxSkippedBytes bounds the body of a response to another request, which is read only
	// to find the one that follows. Beyond it a new connection costs less.
	maxSkippedBytes = 256 << 10
	// headTimeout bounds the time from the first bytes of a head, or of a body to be skipped,
	// to its end. Sound servers may be silent for a second.
	headTimeout = 2 * time.Second
)

// Parts of a response, as they are named in errors and metrics.
const (
	partHead    = "head"
	partSkipped = "response to another request"
	partBody    = "body"
	partTrailer = "trailer"
)

// socketReader reads from a connection, within bounds while a part of a response is read
// that only its server could end.
type socketReader struct {
	con net.Conn
	clk clock.Service
	// part is the bounded part that is being read; empty if none is. bound is the most
	// bytes of it, and left how many of them may still be read.
	part  string
	bound int64
	left  int64
	// begun is set once bytes of the part have come; dog then closes the connection if the
	// part doesn't end in time, and sets late.
	begun bool
	dog   clock.Watchdog
	late  atomic.Bool
	// exceeded is the bound that was exceeded. Readers of lines drop the error if a line has
	// begun.
	exceeded *call.BoundError
}

// bind bounds what is read from now on as a part.
func (rdr *socketReader) bind(part string, bound, left int64) {
	rdr.part, rdr.bound, rdr.left = part, bound, left
}

// release ends the bounds. It returns how many bytes of the part could still be read.
func (rdr *socketReader) release() int64 {
	if rdr.dog != nil {
		rdr.dog.Stop()
	}
	rdr.part, rdr.begun, rdr.dog = "", false, nil
	return rdr.left
}

// Read reads from the connection. It returns a *call.BoundError at a bound.
func (rdr *socketReader) Read(buf []byte) (int, error) {
	if rdr.part == "" {
		return rdr.con.Read(buf)
	}
	if rdr.left <= 0 {
		rdr.exceeded = &call.BoundError{Part: rdr.part, Bytes: rdr.bound}
		return 0, rdr.exceeded
	}
	if rdr.begun && rdr.dog == nil {
		rdr.dog = rdr.clk.StartWatchdog(headTimeout, func() {
			rdr.late.Store(true)
			_ = rdr.con.Close()
		})
	}
	num, err := rdr.con.Read(buf[:min(int64(len(buf)), rdr.left)])
	rdr.left -= int64(num)
	rdr.begun = rdr.begun || num > 0
	if err != nil && rdr.late.Load() {
		rdr.exceeded = &call.BoundError{Part: rdr.part, Time: headTimeout}
		return num, rdr.exceeded
	}
	return num, err
}
