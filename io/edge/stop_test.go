package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/entry"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	"lovagestream/stand/stall"
)

// testCodec forwards requests with their ID. If the ID is a duration, the backend
// server takes that long.
type testCodec struct{ Codec }

func (testCodec) DecodeRequest(req *http.Request) (*call.Request, error) {
	out := &call.Request{ID: req.Header.Get("Id"), Method: req.Method, Host: req.Host, Path: req.URL.Path, Target: req.RequestURI, Timeout: time.Second}
	if wait, err := time.ParseDuration(out.ID); err == nil {
		out.Timeout = 2 * wait
	}
	return out, nil
}

func (testCodec) ForwardFields(req *call.Request, _ call.ForwardMetadata) []call.Field {
	return []call.Field{{Name: "Id", Value: req.ID}}
}

func (testCodec) DecodeResponse(status int, hdr http.Header) call.ResponseHead {
	return call.ResponseHead{Status: status, RequestID: hdr.Get("Id"), Signed: true}
}

func (testCodec) ResponseFields(http.Header) []call.Field { return nil }

// stopFixture is an instance with one backend server, for tests of the planned
// stop.
type stopFixture struct {
	nod *Node
	lis *stall.Listener
	// runs counts the requests that the backend server ran.
	runs atomic.Int64
	done chan error
	grp  *group.Group
}

// workTime is how long the backend server takes for the held request.
const workTime = 50 * time.Millisecond

func newStopFixture(t *testing.T) *stopFixture {
	t.Helper()
	sto := &stopFixture{done: make(chan error, 1), grp: group.New(context.Background())}
	t.Cleanup(sto.grp.Stop)
	back := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		sto.runs.Add(1)
		if req.Header.Get("Id") == "held" {
			sto.lis.ReleaseClose()
			time.Sleep(workTime)
		}
		if wait, err := time.ParseDuration(req.Header.Get("Id")); err == nil {
			time.Sleep(wait)
		}
		wri.Header().Set("Id", req.Header.Get("Id"))
		_, _ = io.WriteString(wri, "confirmed")
	}))
	t.Cleanup(back.Close)
	ctl, _ := newControl(t)
	rou := &table.Route{Name: "r", Host: "h", Prefix: "/", Kind: call.Idempotent, Timeout: time.Minute, LatencyTarget: 150 * time.Millisecond, MaxAttempts: 2, Shares: []table.TrafficShare{{Service: "svc", Weight: 1}}, AllowAnonymous: true}
	ctl.tab = table.New(1, []*table.Route{rou}, []*table.Service{{Name: "svc"}}, nil, table.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second})
	now := ctl.clk.Now()
	ctl.putRecord(now, stock.Record{Revision: 1, Entry: stock.Entry{ID: "s1", Service: "svc", Address: back.Listener.Addr().String(), Zone: "z", Slots: 4}}, "store")
	ctl.changed(now)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sto.lis = stall.New(callers)
	out := &bytes.Buffer{}
	log := lines.New(out, clock.System{})
	gau := gauge.New()
	wri := group.New(context.Background())
	wri.Go(log.Run)
	t.Cleanup(func() {
		wri.Stop()
		_ = wri.Wait()
		t.Logf("log:\n%s", out)
	})
	nod := &Node{rly: &relay{},
		set: Settings{CallerAddr: callers.Addr().String(), ReadyAddr: ready.Addr().String()}, dep: Dependencies{Clock: clock.System{}, Log: log},
		ctl: ctl, grp: sto.grp, gau: gau, callerLis: sto.lis, readyLis: ready,
	}
	nod.srv = entry.New("b", "z", ctl, testCodec{}, conns.NewPool(clock.System{}, sto.grp, nil), clock.System{}, log, gau)
	nod.buildServers()
	sto.nod = nod
	sto.grp.Go(ctl.Run)
	sto.grp.Go(func(context.Context) error {
		sto.done <- nod.stopResult(nod.app.Run())
		return nil
	})
	return sto
}

// sendRequest sends a request on a caller's connection.
func sendRequest(t *testing.T, con net.Conn, id string) {
	t.Helper()
	_, err := io.WriteString(con, "GET /seat HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\n\r\n")
	require.NoError(t, err)
}

// readStatus reads one answer and returns its status, or 0 if the connection
// ended before the answer was complete.
func readStatus(con net.Conn, rdr *bufio.Reader) int {
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(rdr, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// releaseHeld waits until the stop has reached a point, and releases the held
// request once the instance had time to act on it, or its connection was closed.
func (sto *stopFixture) releaseHeld(t *testing.T, reached func() bool) {
	t.Helper()
	require.Eventually(t, reached, 5*time.Second, 5*time.Millisecond)
	select {
	case <-sto.lis.Closing():
	case <-time.After(4 * drainPollInterval):
	}
	sto.lis.Release()
}

// A planned stop must not close a connection as idle if a request was just read
// from it.
func TestStopAnswersARequestThatWasJustRead(t *testing.T) {
	t.Parallel()
	sto := newStopFixture(t)
	con, err := net.Dial("tcp", sto.lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = con.Close() }()
	rdr := bufio.NewReader(con)
	sendRequest(t, con, "r1")
	require.Equal(t, http.StatusOK, readStatus(con, rdr))
	require.Eventually(t, sto.lis.Waiting, time.Second, time.Millisecond)

	sto.grp.Go(func(context.Context) error { return sto.nod.Stop() })
	sto.lis.HoldAfterHeader()
	sendRequest(t, con, "held")
	sto.releaseHeld(t, func() bool { return !sto.nod.ctl.View().ClosingAt.IsZero() })

	require.Equal(t, http.StatusOK, readStatus(con, rdr), "the backend server ran %d of 2 requests", sto.runs.Load())
	require.NoError(t, <-sto.done)
}

// A planned stop must not end before a request that was just read counts as
// active.
func TestStopWaitsForARequestThatWasJustRead(t *testing.T) {
	t.Parallel()
	sto := newStopFixture(t)
	sto.grp.Go(func(context.Context) error { return sto.nod.Stop() })
	require.Eventually(t, func() bool { return !sto.nod.ctl.View().ClosingAt.IsZero() }, 5*time.Second, 5*time.Millisecond)
	sto.lis.HoldAfterHeader()
	con, err := net.Dial("tcp", sto.lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = con.Close() }()
	sendRequest(t, con, "held")
	<-sto.lis.Held()
	begun := time.Now()
	sto.releaseHeld(t, func() bool { return time.Since(begun) > 3*quietPeriod })

	require.Equal(t, http.StatusOK, readStatus(con, bufio.NewReader(con)))
	require.NoError(t, <-sto.done)
}
