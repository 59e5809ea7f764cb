package entry_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lovagestream/core/call"
	"lovagestream/core/marks"
	"lovagestream/core/place"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/entry"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
)

// testCodec implements a small wire format for the tests.
type testCodec struct{}

func (testCodec) DecodeRequest(req *http.Request) (*call.Request, error) {
	wait, _ := strconv.Atoi(req.Header.Get("Wait"))
	path, _, _ := strings.Cut(req.RequestURI, "?")
	out := &call.Request{ID: req.Header.Get("Id"), Method: req.Method, Host: req.Host, Path: path, Target: req.RequestURI, Timeout: time.Duration(wait) * time.Millisecond, Credential: req.Header.Get("Key")}
	out.LastEventID, out.Resumes = req.Header.Get("After"), req.Header.Get("Resumes")
	for name, vals := range req.Header {
		if strings.HasPrefix(name, "X-") {
			out.Fields = append(out.Fields, call.Field{Name: name, Value: vals[0]})
		}
	}
	return out, nil
}

func (testCodec) ForwardFields(req *call.Request, ext call.ForwardMetadata) []call.Field {
	out := append([]call.Field{{Name: "Id", Value: req.ID}, {Name: "Account", Value: ext.Account}}, req.Fields...)
	if ext.LastEventID != "" {
		out = append(out, call.Field{Name: "Last", Value: ext.LastEventID})
	}
	return out
}

func (testCodec) DecodeResponse(status int, hdr http.Header) call.ResponseHead {
	return call.ResponseHead{Status: status, RequestID: hdr.Get("Id"), Signed: hdr.Get("Signed") != "", NotRun: hdr.Get("Not-Run") != "", EventStream: hdr.Get("Content-Type") == "text/event-stream"}
}

func (testCodec) ResponseFields(hdr http.Header) []call.Field {
	var out []call.Field
	for name, vals := range hdr {
		if name != "Connection" && name != "Content-Length" && name != "Transfer-Encoding" {
			out = append(out, call.Field{Name: name, Value: vals[0]})
		}
	}
	return out
}

// testControl places each submitted request at the next server.
type testControl struct {
	viw     atomic.Pointer[entry.View]
	engines []stock.Entry
	placed  atomic.Int64
	mu      sync.Mutex
	ended   []place.Outcome
	crashed []string
	// delay is how long a decision takes.
	delay time.Duration
	// estimate is the expected time to the first event of each placement. If stays
	// is set, slow requests stay at their engine.
	estimate time.Duration
	stays    bool
	// refusal, if set, is the decision when no engine is left.
	refusal sched.Decision
	// unsent is whether the last retry was of a request that reached no server.
	// begun are the records of the streams that began.
	begun []resume.Record
}

func (ctl *testControl) View() *entry.View { return ctl.viw.Load() }

// FindStream knows streams whose ID is that of their service and version.
func (ctl *testControl) FindStream(id string, _ uint64) <-chan resume.Record {
	out := make(chan resume.Record, 1)
	service, version, _ := strings.Cut(id, "/")
	out <- resume.Record{ID: id, Service: service, Version: version}
	return out
}

func (ctl *testControl) StreamBegan(rec resume.Record) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.begun = append(ctl.begun, rec)
}

func (ctl *testControl) Submit(spc sched.Spec) <-chan sched.Decision {
	out := make(chan sched.Decision, 1)
	num := int(ctl.placed.Add(1)) - 1
	time.Sleep(ctl.delay)
	if num >= len(ctl.engines) && ctl.refusal.Outcome != 0 {
		ctl.refusal.Key = spc.Key
		out <- ctl.refusal
		return out
	}
	if num >= len(ctl.engines) {
		out <- sched.Decision{Key: spc.Key, Outcome: sched.Refused, Reason: "none-left", RetryAfter: time.Second}
		return out
	}
	out <- sched.Decision{Key: spc.Key, Outcome: sched.Placed, Server: ctl.engines[num], Estimate: ctl.estimate}
	return out
}

func (ctl *testControl) Retry(spc sched.Spec, how place.Outcome, _ bool) <-chan sched.Decision {
	if how == place.Slow && ctl.stays {
		out := make(chan sched.Decision, 1)
		out <- sched.Decision{Key: spc.Key, Outcome: sched.Refused, Reason: "stays"}
		return out
	}
	ctl.Ended(spc.Key.ID, how)
	return ctl.Submit(spc)
}

func (ctl *testControl) Withdraw(string)                                       {}
func (ctl *testControl) ObserveResponse(stock.Entry, call.ResponseHead)        {}
func (ctl *testControl) MaySend(string) error                                  { return nil }
func (ctl *testControl) Paused([]stock.Entry) (map[string]bool, time.Duration) { return nil, 0 }
func (ctl *testControl) Began(string)                                          {}
func (ctl *testControl) Ended(_ string, out place.Outcome) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.ended = append(ctl.ended, out)
}
func (ctl *testControl) WrongServer(stock.Entry)          {}
func (ctl *testControl) Sound(...marks.Fingerprint)       {}
func (ctl *testControl) ServerAnswered(string, time.Time) {}
func (ctl *testControl) Crashed(_ marks.Request, _ []string, server string, _ bool) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.crashed = append(ctl.crashed, server)
}

// newServer starts a backend server that runs a handler and counts its
// requests.
func newServer(t *testing.T, runs *atomic.Int64, han http.HandlerFunc) stock.Entry {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		wri.Header().Set("Id", req.Header.Get("Id"))
		han(wri, req)
	}))
	t.Cleanup(srv.Close)
	return stock.Entry{ID: "i-" + srv.Listener.Addr().String(), Service: "svc", Address: srv.Listener.Addr().String(), Slots: 4}
}

// fixture is one entry instance with a few servers.
type fixture struct {
	ctl    *testControl
	url    string
	log    *bytes.Buffer
	logger *lines.Writer
}

func newFixture(t *testing.T, rou *table.Route, svc *table.Service, servers ...stock.Entry) *fixture {
	t.Helper()
	rou.Host, rou.Prefix, rou.MaxAttempts = "h", "/p/", max(1, rou.MaxAttempts)
	rou.Shares = []table.TrafficShare{{Service: "svc", Weight: 1}}
	if rou.LatencyTarget == 0 {
		rou.LatencyTarget, rou.Timeout = time.Second, 3*time.Second
	}
	keys := map[string]*table.Account{"good": {Name: "acc"}}
	fix := &fixture{ctl: &testControl{engines: servers}, log: &bytes.Buffer{}}
	fix.ctl.viw.Store(&entry.View{
		Table:   table.New(3, []*table.Route{rou}, []*table.Service{svc}, keys, table.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000}),
		Servers: map[string][]stock.Entry{"svc": servers}, Verified: true, Live: 1, Known: 1,
		Retries: entry.RetryLimits{Ratio: 0.2, Slack: 20, Window: 10 * time.Second, Part: 1},
	})
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	clk := clock.System{}
	fix.logger = lines.New(fix.log, clk)
	srv := httptest.NewServer(entry.New("me", "z", fix.ctl, testCodec{}, conns.NewPool(clk, grp, nil), clk, fix.logger, gauge.New()))
	t.Cleanup(srv.Close)
	fix.url = srv.URL
	return fix
}

// logLines returns the lines of an event that were logged so far.
func (fix *fixture) logLines(t *testing.T, kind string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, fix.logger.Run(ctx))
	var out []string
	for _, lin := range strings.Split(fix.log.String(), "\n") {
		if strings.Contains(lin, `"msg":"`+kind+`"`) {
			out = append(out, lin)
		}
	}
	return out
}

func (fix *fixture) updateView(fun func(*entry.View)) {
	viw := *fix.ctl.viw.Load()
	fun(&viw)
	fix.ctl.viw.Store(&viw)
}

type response struct {
	status int
	hdr    http.Header
	body   string
	err    error
}

func (fix *fixture) send(t *testing.T, path string, fields ...string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, fix.url+path, strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "good")
	for idx := 0; idx+1 < len(fields); idx += 2 {
		req.Header.Set(fields[idx], fields[idx+1])
	}
	cli := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	res, err := cli.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, hdr: res.Header, body: string(body), err: err}
}

func signedResponse(wri http.ResponseWriter, _ *http.Request) {
	wri.Header().Set("Signed", "s")
	_, _ = io.WriteString(wri, "the answer")
}

var plainService = &table.Service{Name: "svc"}
var modelService = &table.Service{Name: "svc", Model: &table.Model{Slots: 4}}

// A request whose deadline is after the end of a planned stop must be refused,
// so that its answer is not cut off.
func TestRequestThatMayOutlastAStopIsRefused(t *testing.T) {
	var runs atomic.Int64
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, plainService, newServer(t, &runs, signedResponse))
	fix.updateView(func(viw *entry.View) { viw.Stopping, viw.ClosingAt = true, time.Now().Add(time.Second) })
	got := fix.send(t, "/p/x", "Wait", "2000")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.hdr.Get("Retry-After"))
	require.Zero(t, runs.Load())
	got = fix.send(t, "/p/x", "Wait", "500")
	require.Equal(t, http.StatusOK, got.status)
	require.EqualValues(t, 1, runs.Load())
}

// refusingAddress returns an address that refuses connections. Its port is taken, so that no other
// listener gets it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	adr, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(adr.(*unix.SockaddrInet4).Port))
}

// Sends that reach no server must not use up the retries that a request needs to reach one
// that serves.
func TestUnsentRequestsSpendNoRetries(t *testing.T) {
	for name, svc := range map[string]*table.Service{"plain": plainService, "model": modelService} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			gone, other := newServer(t, &runs, nil), newServer(t, &runs, signedResponse)
			gone.Address = refusingAddress(t)
			other.Zone = "other"
			fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, svc, gone, other)
			fix.updateView(func(viw *entry.View) { viw.Retries = entry.RetryLimits{Window: 10 * time.Second} })
			require.Equal(t, http.StatusOK, fix.send(t, "/p/x").status)
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

// All servers fail or reject, and the limit of retries is used up. Each request must reach one
// server and be answered at once.
func TestNothingIsSentAgainBeyondTheLimit(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"fail": func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Signed", "s")
			wri.WriteHeader(http.StatusInternalServerError)
		},
		"reject": func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Not-Run", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	for name, han := range answers {
		for kind, svc := range map[string]*table.Service{"plain": plainService, "model": modelService} {
			t.Run(name+" "+kind, func(t *testing.T) {
				var runs atomic.Int64
				var servers []stock.Entry
				for range 4 {
					servers = append(servers, newServer(t, &runs, han))
				}
				fix := newFixture(t, &table.Route{Kind: call.Idempotent, MaxAttempts: 4}, svc, servers...)
				fix.updateView(func(viw *entry.View) { viw.Retries = entry.RetryLimits{Window: 10 * time.Second, Part: 1} })
				require.GreaterOrEqual(t, fix.send(t, "/p/x").status, http.StatusInternalServerError)
				require.EqualValues(t, 1, runs.Load())
				fix.updateView(func(viw *entry.View) { viw.Retries.Slack = 10 })
				fix.ctl.placed.Store(0)
				fix.send(t, "/p/x")
				require.GreaterOrEqual(t, runs.Load(), int64(3))
			})
		}
	}
}

// An instance that has lost the path to all engines must not report them as failed: the
// coordinator would eject them for the instances that reach them.
func TestLostPathIsNoFailureOfEngines(t *testing.T) {
	var runs atomic.Int64
	var engines []stock.Entry
	for range 4 {
		ent := newServer(t, &runs, nil)
		ent.Address = refusingAddress(t)
		engines = append(engines, ent)
	}
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, modelService, engines...)
	require.Equal(t, http.StatusServiceUnavailable, fix.send(t, "/p/x").status)
	require.Equal(t, []place.Outcome{place.Failed, place.Failed, place.Done, place.Done}, fix.ctl.ended[:4])
}

// Requests are forwarded and responses relayed unchanged.
func TestForwardedUnchanged(t *testing.T) {
	var runs atomic.Int64
	var target, body string
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, plainService, newServer(t, &runs, func(wri http.ResponseWriter, req *http.Request) {
		got, _ := io.ReadAll(req.Body)
		target, body = req.RequestURI, string(got)
		wri.Header().Set("X-Own", "kept")
		signedResponse(wri, req)
	}))
	got := fix.send(t, "/p/a//b%2Fc/../d?x=1&&y")
	require.NoError(t, got.err)
	require.Equal(t, "/p/a//b%2Fc/../d?x=1&&y", target)
	require.Equal(t, "body", body)
	require.Equal(t, "the answer", got.body)
	require.Equal(t, "kept", got.hdr.Get("X-Own"))
	require.Equal(t, "s", got.hdr.Get("Signed"))
}

// A request that the configuration doesn't allow is denied with a matching
// status. Without a verified configuration it is refused instead, because the
// instance can't know whether it is allowed.
func TestDenials(t *testing.T) {
	var runs atomic.Int64
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, plainService, newServer(t, &runs, signedResponse))
	require.Equal(t, http.StatusNotFound, fix.send(t, "/other/").status)
	require.Equal(t, http.StatusUnauthorized, fix.send(t, "/p/", "Key", "bad").status)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, fix.send(t, "/p/", "X-Long", strings.Repeat("x", 5000)).status)
	fix.updateView(func(viw *entry.View) { viw.Verified = false })
	require.Equal(t, http.StatusServiceUnavailable, fix.send(t, "/other/").status)
	fix.updateView(func(viw *entry.View) { viw.Table = nil })
	require.Equal(t, http.StatusServiceUnavailable, fix.send(t, "/other/").status)
	require.Zero(t, runs.Load())
}

// No caller may be told "not run" for a request that ran, or get a success that
// no server signed.
func TestOutcomes(t *testing.T) {
	hijack := func(text string) http.HandlerFunc {
		return func(wri http.ResponseWriter, _ *http.Request) {
			con, _, err := wri.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(con, text)
				_ = con.Close()
			}
		}
	}
	status := func(code int, fields ...string) http.HandlerFunc {
		return func(wri http.ResponseWriter, _ *http.Request) {
			for idx := 0; idx+1 < len(fields); idx += 2 {
				wri.Header().Set(fields[idx], fields[idx+1])
			}
			wri.WriteHeader(code)
		}
	}
	cases := []struct {
		name  string
		first http.HandlerFunc
		// once and again are the statuses of requests that run at most once and
		// of idempotent ones, onceRuns and againRuns the requests that reached
		// both servers. The second server responds correctly.
		once, again         int
		onceRuns, againRuns int64
	}{
		{"refused-with-proof", status(503, "Not-Run", "1"), 200, 200, 2, 2},
		{"refused-without-proof", status(503, "Signed", "s"), 502, 200, 1, 2},
		{"too-many-without-proof", status(429, "Signed", "s"), 502, 200, 1, 2},
		{"another-server", status(421), 200, 200, 2, 2},
		{"closed-unanswered", hijack(""), 502, 200, 1, 2},
		{"no-http", hijack("nonsense\r\n\r\n"), 502, 200, 1, 2},
		{"unsigned", status(200), 502, 200, 1, 2},
		{"to-another", hijack("HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nContent-Length: 1\r\n\r\nx"), 502, 200, 1, 2},
		{"cut-short", hijack("HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: 10\r\n\r\nx"), 502, 200, 1, 2},
		{"own-error", status(500, "Signed", "s"), 500, 200, 1, 2},
	}
	for _, cas := range cases {
		for _, kind := range []call.Kind{call.AtMostOnce, call.Idempotent} {
			t.Run(cas.name+"-"+kind.String(), func(t *testing.T) {
				var runs atomic.Int64
				one := newServer(t, &runs, cas.first)
				two := newServer(t, &runs, signedResponse)
				one.Zone, two.Zone = "z", "far"
				fix := newFixture(t, &table.Route{Kind: kind, MaxAttempts: 2}, plainService, one, two)
				got := fix.send(t, "/p/x")
				want, num := cas.once, cas.onceRuns
				if kind == call.Idempotent {
					want, num = cas.again, cas.againRuns
				}
				require.NoError(t, got.err)
				require.Equal(t, want, got.status, got.body)
				require.Equal(t, num, runs.Load())
			})
		}
	}
}

// A request crashes a server, which starts again under its ID and is crashed
// again. The two crashes must not count as one.
func TestCrashesNameTheStart(t *testing.T) {
	var runs atomic.Int64
	one := newServer(t, &runs, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce}, plainService, one)
	// A crash is reported once the path has been checked.
	crashed := func() []string {
		fix.ctl.mu.Lock()
		defer fix.ctl.mu.Unlock()
		return slices.Clone(fix.ctl.crashed)
	}
	for num, started := range []int64{0, 1000, 2000} {
		one.StartedAt = started
		fix.updateView(func(viw *entry.View) { viw.Servers = map[string][]stock.Entry{"svc": {one}} })
		require.Equal(t, http.StatusBadGateway, fix.send(t, "/p/x").status)
		require.Eventually(t, func() bool { return len(crashed()) > num }, 5*time.Second, 10*time.Millisecond)
	}
	require.Equal(t, []string{one.ID, one.ID + "@1000", one.ID + "@2000"}, crashed())
}

// An engine is found when a request has no time left. Nothing must be sent, and the
// caller must get a refusal, not a 504 that leaves open whether it ran.
func TestPlacementTooLateIsRefused(t *testing.T) {
	var runs atomic.Int64
	fix := newFixture(t, &table.Route{Kind: call.AtMostOnce, LatencyTarget: time.Second, Timeout: 100 * time.Millisecond}, modelService, newServer(t, &runs, signedResponse))
	fix.ctl.delay = 90 * time.Millisecond
	require.Equal(t, http.StatusServiceUnavailable, fix.send(t, "/p/x").status)
	require.Zero(t, runs.Load())
}

// The log must name the server of a request that failed, and of one that was
// lost with this instance.
func TestLogNamesTheServerOfARequest(t *testing.T) {
	var runs atomic.Int64
	var fix *fixture
	var meanwhile []string
	one := newServer(t, &runs, func(wri http.ResponseWriter, _ *http.Request) {
		meanwhile = fix.logLines(t, "request-sent")
		wri.Header().Set("Signed", "s")
		wri.WriteHeader(http.StatusInternalServerError)
	})
	fix = newFixture(t, &table.Route{Kind: call.AtMostOnce}, plainService, one)
	require.Equal(t, http.StatusInternalServerError, fix.send(t, "/p/x").status)
	require.Len(t, meanwhile, 1)
	require.Contains(t, meanwhile[0], `"id":"r1"`)
	require.Contains(t, meanwhile[0], `"server":"`+one.ID+`"`)
	last := fix.logLines(t, "request-failed")
	require.Len(t, last, 1)
	require.Contains(t, last[0], `"server":"`+one.ID+`"`)
	require.Regexp(t, `"print":[1-9]`, last[0], "the fingerprint, which the caller's other attempts share")
}

// A stream whose connection breaks must resume after the last complete event,
// or look incomplete to the caller.
func TestStreamResumesOrIsCut(t *testing.T) {
	for _, resume := range []bool{true, false} {
		t.Run(strconv.FormatBool(resume), func(t *testing.T) {
			var runs atomic.Int64
			first := newServer(t, &runs, func(wri http.ResponseWriter, _ *http.Request) {
				wri.Header().Set("Signed", "one")
				wri.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(wri, "id: 1\ndata: a\n\nid: 2\nda")
				_ = http.NewResponseController(wri).Flush()
				panic(http.ErrAbortHandler)
			})
			var last string
			second := newServer(t, &runs, func(wri http.ResponseWriter, req *http.Request) {
				last = req.Header.Get("Last")
				wri.Header().Set("Signed", "two")
				wri.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(wri, "id: 2\ndata: b\n\n")
			})
			fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: resume, MaxAttempts: 2}, modelService, first, second)
			got := fix.send(t, "/p/x")
			require.Equal(t, "one", got.hdr.Get("Signed"))
			if !resume {
				require.Error(t, got.err)
				require.EqualValues(t, 1, runs.Load())
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got.body)
			require.Equal(t, "1", last)
			require.Equal(t, []place.Outcome{place.Failed, place.Done}, fix.ctl.ended)
		})
	}
}

// A stream that breaks after an event without an ID can't go on: the event would come twice.
func TestStreamWithoutIDsIsCut(t *testing.T) {
	var runs atomic.Int64
	broken := newServer(t, &runs, func(wri http.ResponseWriter, _ *http.Request) {
		wri.Header().Set("Signed", "one")
		wri.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(wri, "id: 1\ndata: a\n\ndata: b\n\n")
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	})
	fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: true, MaxAttempts: 2}, modelService, broken, broken)
	require.Error(t, fix.send(t, "/p/x").err)
	require.EqualValues(t, 1, runs.Load())
}

// When a caller leaves, the connection to the server must be closed, so that
// the server stops working on the request.
func TestServerSeesThatTheCallerLeft(t *testing.T) {
	var runs atomic.Int64
	gone := make(chan struct{})
	fix := newFixture(t, &table.Route{Kind: call.Stream}, modelService, newServer(t, &runs, func(_ http.ResponseWriter, req *http.Request) {
		<-req.Context().Done()
		close(gone)
	}))
	con, err := net.Dial("tcp", strings.TrimPrefix(fix.url, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(con, "GET /p/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: good\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return runs.Load() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, con.Close())
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the server was not closed")
	}
}

// Events of a service without model servers must be passed on as they come, and a stream that
// breaks must go on or look incomplete.
func TestPlainStreamIsPassedOn(t *testing.T) {
	for name, resume := range map[string]bool{"resumable": true, "not resumable": false} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			seen := make(chan struct{})
			var last atomic.Value
			srv := newServer(t, &runs, func(wri http.ResponseWriter, req *http.Request) {
				wri.Header().Set("Signed", "one")
				wri.Header().Set("Content-Type", "text/event-stream")
				if req.Header.Get("Last") != "" {
					last.Store(req.Header.Get("Last"))
					_, _ = io.WriteString(wri, "id: 2\ndata: b\n\n")
					return
				}
				_, _ = io.WriteString(wri, "id: 1\ndata: a\n\nid: 2\nda")
				_ = http.NewResponseController(wri).Flush()
				select {
				case <-seen:
				case <-req.Context().Done():
				}
				panic(http.ErrAbortHandler)
			})
			fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: resume, MaxAttempts: 2}, plainService, srv, eventServerAt(srv))
			req, err := http.NewRequest(http.MethodPost, fix.url+"/p/x", strings.NewReader("body"))
			require.NoError(t, err)
			req.Host = "h"
			req.Header.Set("Id", "r1")
			req.Header.Set("Key", "good")
			res, err := (&http.Transport{DisableCompression: true}).RoundTrip(req)
			require.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			buf := make([]byte, len("id: 1\ndata: a\n\n"))
			_, err = io.ReadFull(res.Body, buf)
			require.NoError(t, err)
			close(seen)
			rest, err := io.ReadAll(res.Body)
			if !resume {
				require.Error(t, err)
				require.EqualValues(t, 1, runs.Load())
				return
			}
			require.NoError(t, err)
			require.Equal(t, "id: 2\ndata: b\n\n", string(rest))
			require.Equal(t, "1", last.Load())
		})
	}
}

// eventServerAt returns another server at the same address.
func eventServerAt(ent stock.Entry) stock.Entry {
	ent.ID += "-other"
	return ent
}

// An answer that is larger than what is buffered must be passed on, and look incomplete if it is.
func TestLargeAnswerIsPassedOn(t *testing.T) {
	const size = 9 << 20
	for name, whole := range map[string]bool{"whole": true, "cut": false} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			srv := newServer(t, &runs, func(wri http.ResponseWriter, _ *http.Request) {
				wri.Header().Set("Signed", "one")
				wri.Header().Set("Content-Length", strconv.Itoa(size))
				text := make([]byte, size)
				if !whole {
					text = text[:size/2]
				}
				_, _ = wri.Write(text)
			})
			got := newFixture(t, &table.Route{Kind: call.Idempotent}, plainService, srv).send(t, "/p/x")
			require.Equal(t, http.StatusOK, got.status)
			require.EqualValues(t, 1, runs.Load())
			if whole {
				require.NoError(t, got.err)
				require.Len(t, got.body, size)
			} else {
				require.Error(t, got.err)
			}
		})
	}
}
