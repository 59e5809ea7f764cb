package route

import (
	"sync/atomic"
)

// Random picks any eligible server uniformly. It is a baseline.
type Random struct{}

var _ Policy = Random{}

// Name returns "random".
func (Random) Name() string { return "random" }

// Decide picks uniformly among the eligible servers.
func (Random) Decide(qry Query) *Server {
	return pickRandom(qry)
}

// drawTries is the number of random draws that may hit an ineligible server
// before the eligible ones are found by a scan.
const drawTries = 4

// pickRandom picks uniformly among the eligible servers, without building a
// list.
func pickRandom(qry Query) *Server {
	if len(qry.servers) == 0 {
		return nil
	}
	for range drawTries {
		if srv := qry.servers[qry.rng.IntN(len(qry.servers))]; qry.eligible(srv) {
			return srv
		}
	}
	var got *Server
	seen := 0
	for _, srv := range qry.servers {
		if !qry.eligible(srv) {
			continue
		}
		seen++
		if qry.rng.IntN(seen) == 0 {
			got = srv
		}
	}
	return got
}

// RoundRobin cycles through the eligible servers. It is a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

var _ Policy = (*RoundRobin)(nil)

// NewRoundRobin returns a policy that starts with the first server.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Name returns "round-robin".
func (*RoundRobin) Name() string { return "round-robin" }

// Decide returns the next eligible server.
func (rob *RoundRobin) Decide(qry Query) *Server {
	for range qry.servers {
		idx := (rob.next.Add(1) - 1) % uint64(len(qry.servers))
		if srv := qry.servers[idx]; qry.eligible(srv) {
			return srv
		}
	}
	return nil
}

// LeastInflight picks the eligible server with the fewest of this instance's
// calls in flight, breaking ties at random. It is a baseline.
type LeastInflight struct{}

var _ Policy = LeastInflight{}

// Name returns "least-inflight".
func (LeastInflight) Name() string { return "least-inflight" }

// Decide scans the servers once.
func (LeastInflight) Decide(qry Query) *Server {
	var got *Server
	ties := 0
	for _, srv := range qry.servers {
		if !qry.eligible(srv) {
			continue
		}
		switch {
		case got == nil || srv.Inflight() < got.Inflight():
			got, ties = srv, 1
		case srv.Inflight() == got.Inflight():
			ties++
			if qry.rng.IntN(ties) == 0 {
				got = srv
			}
		}
	}
	return got
}

// TwoChoices draws two eligible servers at random and picks the one with the
// lower reported load (power of two choices); a server without a report counts
// as idle. It is a baseline.
type TwoChoices struct{}

var _ Policy = TwoChoices{}

// Name returns "two-choices".
func (TwoChoices) Name() string { return "two-choices" }

// Decide compares two random draws.
func (TwoChoices) Decide(qry Query) *Server {
	fst, snd := pickRandom(qry), pickRandom(qry)
	if fst == nil || reportedLoad(snd) >= reportedLoad(fst) {
		return fst
	}
	return snd
}

func reportedLoad(srv *Server) int {
	rep := srv.Report()
	if rep == nil {
		return 0
	}
	return rep.running + rep.waiting
}
