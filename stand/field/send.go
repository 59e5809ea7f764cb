package field

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"lovagestream/platform/fakes"
)

// request is one request and its outcome.
type request struct {
	id       string
	account  string
	route    string
	body     string
	instance *instance
	start    time.Time
	end      time.Time
	// canceledAt is when the caller canceled the request, or zero.
	canceledAt time.Time
	status     int
	signer     string
	answer     string
	err        error
	done       bool
	// keepAlive is set for a request on a reused connection; unread is set if the
	// server closed the connection before it had read the whole request.
	keepAlive bool
	unread    bool
	// resumes is the request whose stream this one takes up, after event last; nil for
	// a stream that begins, and unnamed is set if it doesn't name it. versions are the
	// software versions of the events received.
	resumes  *request
	last     int
	unnamed  bool
	versions []string
	// path replaces the path that names the request; parts are those of the prompt.
	path  string
	parts string
}

// routes are the names of the routes, drawn with equal probability.
var routes = []string{"once", "often", "bare", "llm", "resume"}

const (
	// cancelShare is the share of requests that their callers cancel, each after a
	// random delay up to maxCancelDelay.
	cancelShare    = 0.05
	maxCancelDelay = 600 * time.Millisecond
	// callerTimeout bounds a caller's wait. It is well above the route's timeout.
	callerTimeout = 3 * routeTimeout
	// unnamedShare is the share of the callers that don't name the stream that they take
	// up. patientShare is that of those that wait before, for takeUpDelay and half of it
	// more at most: longer than it takes to start all instances again.
	unnamedShare = 0.5
	patientShare = 0.5
	takeUpDelay  = 1500 * time.Millisecond
	// Each longEvery-th request has a body of longBody bytes more, beyond what sockets buffer.
	longEvery = 40
	longBody  = 3900 << 10
)

// sendRequests sends requests of all accounts until the context ends.
func (clu *Cluster) sendRequests(ctx context.Context) error {
	clu.sendAtRate(ctx, rand.New(rand.NewPCG(clu.opt.Seed, 2)), clu.opt.Rate, "r", accounts)
	return nil
}

// sendAtRate sends requests of the given accounts as a Poisson process until the
// context ends. rate is in requests per second; IDs begin with prefix.
func (clu *Cluster) sendAtRate(ctx context.Context, rng *rand.Rand, rate float64, prefix string, senders []string) {
	for num := 1; sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))); num++ {
		rqt := &request{id: prefix + itoa(num), account: senders[num%len(senders)], route: routes[rng.IntN(len(routes))]}
		rqt.body = "body of " + rqt.id
		if num%longEvery == 0 {
			rqt.body += strings.Repeat(" ", longBody)
		}
		leave := time.Duration(0)
		if rng.Float64() < cancelShare {
			leave = time.Duration(rng.Int64N(int64(maxCancelDelay)))
		}
		if rqt.instance = clu.pickInstance(rng); rqt.instance == nil {
			continue
		}
		clu.mu.Lock()
		clu.requests = append(clu.requests, rqt)
		clu.mu.Unlock()
		at, wait, unnamed := clu.pickInstance(rng), time.Duration(0), rng.Float64() < unnamedShare
		if rng.Float64() < patientShare {
			wait = takeUpDelay + time.Duration(rng.Int64N(int64(takeUpDelay/2)))
		}
		clu.grp.Go(func(ctx context.Context) error {
			clu.send(ctx, rqt, leave)
			clu.takeUp(ctx, rqt, at, wait, unnamed)
			return nil
		})
	}
}

// takeUp takes a stream up that was broken off, at an instance, after a wait and within the
// first request's time, as callers of resumable routes do.
func (clu *Cluster) takeUp(ctx context.Context, first *request, at *instance, wait time.Duration, unnamed bool) {
	clu.mu.Lock()
	last := strings.Count(completeEvents(first), eventEnd)
	broken := first.route == "resume" && first.err != nil && first.canceledAt.IsZero() && last > 0 && first.status == http.StatusOK
	left := routeTimeout - first.end.Sub(first.start) - wait
	clu.mu.Unlock()
	if !broken || at == nil || left <= 0 || !sleep(ctx, wait) {
		return
	}
	rqt := &request{id: first.id + "-on", account: first.account, route: first.route, body: first.body, instance: at, resumes: first, last: last, unnamed: unnamed}
	clu.mu.Lock()
	clu.requests = append(clu.requests, rqt)
	clu.mu.Unlock()
	clu.send(ctx, rqt, 0)
}

// pickInstance returns a random instance in rotation, or nil.
func (clu *Cluster) pickInstance(rng *rand.Rand) *instance {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	if fav := clu.favorite; fav != nil && fav.inRotation && rng.Float64() < favoriteShare {
		return fav
	}
	var list []*instance
	for _, ins := range clu.instances {
		if ins.inRotation {
			list = append(list, ins)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rng.IntN(len(list))]
}

// target returns the path and query of a request, which callers don't change when they
// take a stream up.
func (rqt *request) target() string {
	if rqt.resumes != nil {
		return rqt.resumes.target()
	}
	if rqt.path != "" {
		return rqt.path
	}
	return "/" + rqt.route + "/x?n=" + rqt.id
}

// send sends one request, reads the whole response and records the outcome. A positive
// leave cancels the request after that time.
func (clu *Cluster) send(ctx context.Context, rqt *request, leave time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	start := time.Now()
	if leave > 0 {
		tmr := time.AfterFunc(leave, cancel)
		defer tmr.Stop()
	}
	call := fakes.CallerRequest{ID: rqt.id, Path: rqt.target(), Body: rqt.body, Deadline: routeTimeout, Pieces: "2,1", Parts: rqt.parts, Key: apiKey(rqt.account)}
	if rqt.resumes != nil {
		call.LastEvent = rqt.last
		if !rqt.unnamed {
			call.Resumes = rqt.resumes.id
		}
		call.Deadline -= start.Sub(rqt.resumes.start)
	}
	got := *rqt
	got.start = start
	req, err := call.Request(ctx, rqt.instance.boot.CallerAddr())
	var res *http.Response
	if err == nil {
		res, err = clu.cli.Do(req)
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		got.status, got.signer, got.answer = res.StatusCode, fakes.Signer(res.Header), string(body)
		got.answer, got.versions = fakes.CutTags(got.answer)
	}
	got.err, got.end, got.done = err, time.Now(), true
	if leave > 0 && ctx.Err() != nil {
		got.canceledAt = start.Add(leave)
	}
	clu.mu.Lock()
	defer clu.mu.Unlock()
	*rqt = got
}
