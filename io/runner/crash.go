package runner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/marks"
	"lovagestream/core/route"
)

// Prober finds out whether a backend server crashed with a request in flight.
type Prober interface {
	// CrashTable returns the evidence against requests that crash servers.
	CrashTable() *marks.Table
	// CheckCrash is called after the connection of a call, which began at the time
	// sent, ended before the reply. It returns the server's crash if the server crashed
	// meanwhile.
	CheckCrash(ctx context.Context, srv *route.Server, fpr marks.Fingerprint, sent time.Time) (marks.Crash, bool)
	// Answered reports that a request was answered against which crashes count.
	Answered(fpr marks.Fingerprint)
}

// errCrashesServers is the error of a call that is not made, since its request was in
// flight at too many servers that crashed.
var errCrashesServers = errors.New("the request crashes servers")

// WithProber lets the runner refuse requests that crash servers.
func (rnr *Runner) WithProber(prb Prober) *Runner {
	rnr.prb = prb
	return rnr
}

// crashAvoidTime is for how long no call goes to a server that crashed, while there are
// others: idle connections to it may be left, and calls on them fail.
const crashAvoidTime = time.Second

// crashed returns the servers that crashed a moment ago and haven't answered since.
func (rnr *Runner) crashed(now time.Time, servers []*route.Server) []*route.Server {
	if rnr.prb == nil || rnr.prb.CrashTable().Len() == 0 {
		return nil
	}
	var out []*route.Server
	for _, srv := range servers {
		since := now.Add(-crashAvoidTime)
		if last := srv.LastReply(); last.After(since) {
			since = last
		}
		if rnr.prb.CrashTable().CrashedAfter(srv.ID(), since) {
			out = append(out, srv)
		}
	}
	return out
}

// crashEvidence holds the crashes that a request has seen itself. They count at
// once, before they have passed through the control thread.
type crashEvidence struct {
	mu      sync.Mutex
	crashes []marks.Crash
}

// crashesServers reports whether a request was in flight at too many servers
// that crashed.
func (rnr *Runner) crashesServers(now time.Time, req *Request) bool {
	crs := rnr.evidence(req)
	return len(crs) > 0 && rnr.prb.CrashTable().Implicated(now, req.fingerprint(), crs)
}

// reportAnswered reports that a request was answered, if crashes count against it.
func (rnr *Runner) reportAnswered(req *Request) {
	if rnr.prb == nil || rnr.prb.CrashTable().Len() == 0 {
		return
	}
	if fpr := req.fingerprint(); rnr.prb.CrashTable().Suspected(fpr) {
		rnr.prb.Answered(fpr)
	}
}

// evidence returns the crashes that count against a request. The fingerprint is
// computed only if there is evidence against any request.
func (rnr *Runner) evidence(req *Request) []marks.Crash {
	if rnr.prb == nil {
		return nil
	}
	tab := rnr.prb.CrashTable()
	req.evidence.mu.Lock()
	own := req.evidence.crashes
	req.evidence.mu.Unlock()
	if tab.Len() == 0 && len(own) == 0 {
		return nil
	}
	crs := tab.Crashes(req.fingerprint())
	for _, cra := range own {
		crs = marks.AddCrash(crs, cra)
	}
	return crs
}

// suspectDelay is how long a request that one more crash would implicate waits before a
// call. Meanwhile the instances tell each other which requests these are.
const suspectDelay = 25 * time.Millisecond

// isSuspect reports whether one more crash would implicate a request.
func (rnr *Runner) isSuspect(req *Request) bool {
	return len(rnr.evidence(req)) == marks.CrashLimit-1
}

// isolate chooses the server for a request that one more crash would implicate; nil if
// there is no choice. Requests that were in flight at the same crashes get different
// servers, at whichever instances they are, so that an innocent one does not meet the
// next crash as well.
func (rnr *Runner) isolate(req *Request, open []*route.Server) *route.Server {
	if len(open) < 2 {
		return nil
	}
	slices.SortFunc(open, func(one, two *route.Server) int { return strings.Compare(one.ID(), two.ID()) })
	rank, known := slices.BinarySearch(rnr.prb.CrashTable().Suspects(), req.fingerprint())
	if !known {
		rank = int(req.fingerprint() % marks.Fingerprint(len(open)))
	}
	return open[rank%len(open)]
}

func (req *Request) fingerprint() marks.Fingerprint {
	return marks.NewFingerprint(req.acc.Name(), req.pip.Name(), req.body)
}

// probeLost checks the servers of the calls that ended with their connection since the
// last check: both of two hedged calls may have.
func (att *attempts) probeLost(ctx context.Context) {
	lost := att.lost
	att.lost = nil
	prb := att.rn.rnr.prb
	if prb == nil {
		return
	}
	req := att.rn.req
	for _, stc := range lost {
		if cra, died := prb.CheckCrash(ctx, stc.srv, req.fingerprint(), stc.began); died {
			req.evidence.mu.Lock()
			req.evidence.crashes = marks.AddCrash(req.evidence.crashes, cra)
			req.evidence.mu.Unlock()
		}
	}
}
