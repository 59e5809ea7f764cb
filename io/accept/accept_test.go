package accept_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/accept"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/stand/stall"
)

// testServer is an HTTP server on a tracking listener.
type testServer struct {
	lis    *accept.Listener
	stalls *stall.Listener
	srv    *http.Server
	grp    *group.Group
	// lost counts the calls of onLost.
	lost atomic.Int64
	mu   sync.Mutex
	// ran holds the IDs of the requests that the handler ran.
	ran map[string]bool
}

func newTestServer(t *testing.T, lim accept.Limits, opts ...func(*http.Server)) *testServer {
	t.Helper()
	return newLimitedServer(t, lim, 0, opts...)
}

// newLimitedServer returns a server with at most a number of connections.
func newLimitedServer(t *testing.T, lim accept.Limits, most int, opts ...func(*http.Server)) *testServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tsv := &testServer{grp: group.New(context.Background()), ran: map[string]bool{}}
	tsv.stalls = stall.New(raw)
	tsv.lis = accept.New(tsv.stalls, clock.System{}, func() accept.Limits { return lim }, func(net.Addr) { tsv.lost.Add(1) })
	tsv.lis.LimitConns(most)
	tsv.srv = &http.Server{Handler: http.HandlerFunc(tsv.run), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	for _, opt := range opts {
		opt(tsv.srv)
	}
	tsv.lis.Attach(tsv.srv)
	tsv.grp.Go(func(context.Context) error {
		_ = tsv.srv.Serve(tsv.lis)
		return nil
	})
	t.Cleanup(func() {
		_ = tsv.srv.Close()
		_ = tsv.grp.Wait()
	})
	return tsv
}

func (tsv *testServer) run(wri http.ResponseWriter, req *http.Request) {
	tsv.mu.Lock()
	tsv.ran[req.Header.Get("Id")] = true
	tsv.mu.Unlock()
	if wait, err := time.ParseDuration(req.Header.Get("Wait")); err == nil {
		time.Sleep(wait)
	}
	_, _ = io.WriteString(wri, "done")
}

func (tsv *testServer) didRun(id string) bool {
	tsv.mu.Lock()
	defer tsv.mu.Unlock()
	return tsv.ran[id]
}

// caller is a client with one kept connection.
type caller struct {
	con net.Conn
	rdr *bufio.Reader
}

func (tsv *testServer) dial(t *testing.T) *caller {
	t.Helper()
	con, err := net.Dial("tcp", tsv.lis.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	return &caller{con: con, rdr: bufio.NewReader(con)}
}

// request sends a request and reports whether its answer arrived completely.
func (cal *caller) request(id, wait string) bool {
	if _, err := io.WriteString(cal.con, "GET / HTTP/1.1\r\nHost: h\r\nId: "+id+"\r\nWait: "+wait+"\r\n\r\n"); err != nil {
		return false
	}
	_ = cal.con.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(cal.rdr, nil)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return err == nil && string(got) == "done"
}

// Callers send on kept connections without a pause while idle connections are
// closed again and again. A request that crosses the close of its connection must
// not be run, so that its caller may send it again. net/http's own handling runs
// requests that were just read and leaves no connection for their answer.
func TestCloseIdleLosesNoRunningRequest(t *testing.T) {
	t.Parallel()
	const callers, rounds = 40, 300
	tsv := newTestServer(t, accept.Limits{})
	tsv.lis.SetMinIdle(0)
	ctx, stop := context.WithCancel(context.Background())
	grp := group.New(ctx)
	var answered atomic.Int64
	lost := make([][]string, callers)
	for num := range callers {
		grp.Go(func(ctx context.Context) error {
			cal := tsv.dial(t)
			for turn := 0; ctx.Err() == nil; turn++ {
				id := strconv.Itoa(num) + "-" + strconv.Itoa(turn)
				if cal.request(id, "") {
					answered.Add(1)
					continue
				}
				lost[num] = append(lost[num], id)
				_ = cal.con.Close()
				cal = tsv.dial(t)
			}
			return nil
		})
	}
	ended := 0
	for range rounds {
		time.Sleep(3 * time.Millisecond)
		ended += tsv.lis.CloseIdle()
	}
	stop()
	require.NoError(t, grp.Wait())
	require.Zero(t, tsv.lis.Drain(context.Background()))
	crossed, unanswered := 0, 0
	for _, id := range slices.Concat(lost...) {
		if tsv.didRun(id) {
			unanswered++
			continue
		}
		crossed++
	}
	t.Logf("%d answered, %d connections closed, %d requests crossed a close unread, %d run without an answer", answered.Load(), ended, crossed, unanswered)
	require.Zero(t, unanswered)
	require.Zero(t, tsv.lost.Load())
	require.Positive(t, ended)
}

// A request arrives within the idle timeout, but the process gets processor time
// only after it. The read then fails though the request is in the socket; the
// connection must not be closed with the request unread.
func TestRequestInTimeIsReadAfterTheLimit(t *testing.T) {
	t.Parallel()
	const idle = 150 * time.Millisecond
	tsv := newTestServer(t, accept.Limits{HeaderTimeout: time.Second, IdleTimeout: idle})
	cal := tsv.dial(t)
	// The wait for the first request has begun; HoldWait applies to the wait for the second.
	require.Eventually(t, tsv.stalls.Waiting, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	tsv.stalls.HoldIdle()
	require.True(t, cal.request("first", ""))
	<-tsv.stalls.Held()
	_, err := io.WriteString(cal.con, "GET / HTTP/1.1\r\nHost: h\r\nId: second\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(2 * idle)
	tsv.stalls.Release()
	_ = cal.con.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(cal.rdr, nil)
	require.NoError(t, err)
	_ = res.Body.Close()
	require.True(t, tsv.didRun("second"))
}

// Drain with one busy, one idle and one unused connection: the running request
// gets its answer, further connections are not accepted, and no request is run
// that could not be answered.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	t.Parallel()
	tsv := newTestServer(t, accept.Limits{})
	busy, idle, unused := tsv.dial(t), tsv.dial(t), tsv.dial(t)
	require.True(t, idle.request("idle", ""))
	got := make(chan bool, 1)
	grp := group.New(context.Background())
	grp.Go(func(context.Context) error {
		got <- busy.request("busy", "300ms")
		return nil
	})
	require.Eventually(t, func() bool { return tsv.didRun("busy") && tsv.lis.OpenConns() == 3 }, time.Second, time.Millisecond)

	tsv.lis.SetMinIdle(time.Hour)
	require.Zero(t, tsv.lis.CloseIdle(), "the connection has not been idle for long enough")
	tsv.lis.SetMinIdle(0)
	// A caller may have its answer before the HTTP server reports the connection as idle.
	require.Eventually(t, func() bool { return tsv.lis.CloseIdle() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, 2, tsv.lis.OpenConns(), "the unused connection must stay open")
	require.Zero(t, tsv.lis.Drain(context.Background()))
	require.True(t, <-got)
	require.NoError(t, grp.Wait())
	require.False(t, unused.request("late", ""))
	require.False(t, tsv.didRun("late"))
	require.False(t, tsv.dial(t).request("later", ""))
	require.False(t, tsv.didRun("later"))
	require.Zero(t, tsv.lost.Load())
}

// A request that outlasts the context of Drain is counted as left.
func TestDrainEndsInTime(t *testing.T) {
	t.Parallel()
	tsv := newTestServer(t, accept.Limits{})
	cal := tsv.dial(t)
	grp := group.New(context.Background())
	grp.Go(func(context.Context) error {
		cal.request("long", "400ms")
		return nil
	})
	require.Eventually(t, func() bool { return tsv.didRun("long") }, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.Equal(t, 1, tsv.lis.Drain(ctx))
	require.NoError(t, grp.Wait())
}

// Connections without a request, and heads that don't end, must not keep new connections out.
// Those whose request is served stay.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	const most = 8
	tsv := newLimitedServer(t, accept.Limits{}, most)
	busy := tsv.dial(t)
	served := make(chan bool, 1)
	tsv.grp.Go(func(context.Context) error {
		served <- busy.request("busy", "3s")
		return nil
	})
	require.Eventually(t, func() bool { return tsv.didRun("busy") }, 5*time.Second, time.Millisecond)
	for num := range most {
		cal := tsv.dial(t)
		if num%2 == 0 {
			_, err := io.WriteString(cal.con, "GET / HTTP/1.1\r\nA: ")
			require.NoError(t, err)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for num := range most {
		require.True(t, tsv.dial(t).request(strconv.Itoa(num), ""), "connection %d", num)
		// A connection that has served a request just now isn't idle.
		time.Sleep(100 * time.Millisecond)
	}
	require.True(t, <-served)
	require.LessOrEqual(t, tsv.lis.OpenConns(), most)
	require.Positive(t, tsv.lis.ClosedForRoom())
	require.Zero(t, tsv.lost.Load())
}
