package stage_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/route"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/origin"
	"lovagestream/io/stage"
)

// rawServer replies on connections that a test can close or leave silent. It
// calls answer for each request, with the connection's number and the request's
// number on that connection, both from 1; answer reports whether the connection
// stays open.
type rawServer struct {
	lis      net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	answer   func(con net.Conn, req *http.Request, conn, num int64) bool
}

func newRawServer(t *testing.T, answer func(con net.Conn, req *http.Request, conn, num int64) bool) *rawServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawServer{lis: lis, answer: answer}
	grp := group.New(context.Background())
	grp.Go(func(ctx context.Context) error {
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil
			}
			num := raw.conns.Add(1)
			grp.Go(func(context.Context) error { raw.serve(con, num); return nil })
			context.AfterFunc(ctx, func() { _ = con.Close() })
		}
	})
	t.Cleanup(func() {
		_ = lis.Close()
		grp.Stop()
		_ = grp.Wait()
	})
	return raw
}

func (raw *rawServer) serve(con net.Conn, conn int64) {
	defer func() { _ = con.Close() }()
	rdr := bufio.NewReader(con)
	for num := int64(1); ; num++ {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == stage.PathCancel {
			_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		raw.requests.Add(1)
		if !raw.answer(con, req, conn, num) {
			return
		}
	}
}

func plainReply(con net.Conn, req *http.Request) {
	id := req.Header.Get(stage.HeaderCall)
	bod := fmt.Sprintf(`{"id":%q,"output":[1]}`, id)
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", stage.HeaderCall, id, len(bod), bod)
}

func (raw *rawServer) fixture(t *testing.T) *fixture {
	t.Helper()
	fix := newFixture(t, respond(wholeStream))
	fix.srv = route.NewServer("raw", raw.lis.Addr().String(), "here", "engines")
	fix.cli = stage.NewClient(clock.System{}, origin.SourceAddr{}, func(string) {})
	t.Cleanup(fix.cli.Close)
	return fix
}

// A reused connection breaks right after the server read a request from it. Go's
// HTTP transport retries requests that it takes for repeatable on a new
// connection; the server would then run the call twice, and the client would
// count it once.
func TestCallIsSentAtMostOnce(t *testing.T) {
	raw := newRawServer(t, func(con net.Conn, req *http.Request, _, num int64) bool {
		if num == 1 {
			plainReply(con, req)
		}
		return num == 1
	})
	fix := raw.fixture(t)
	require.Empty(t, fix.do(t.Context(), fix.call(plainStage, time.Minute)).fault)
	res := fix.do(t.Context(), fix.call(plainStage, time.Minute))
	require.Equal(t, stage.FaultConnLost, res.fault)
	require.Equal(t, 1, res.sent)
	require.EqualValues(t, 2, raw.requests.Load(), "one request per call")
}

// A reused connection may have died or gone silent since its last use. A call that
// may not be repeated would then have an unknown outcome although the server is
// healthy, so such calls must use a new connection.
func TestNonRepeatableCallTakesNewConnection(t *testing.T) {
	raw := newRawServer(t, func(con net.Conn, req *http.Request, _, num int64) bool {
		if num == 1 {
			plainReply(con, req)
		}
		return num == 1
	})
	fix := raw.fixture(t)
	for range 3 {
		require.Empty(t, fix.do(t.Context(), fix.call(onceStage, time.Minute)).fault)
	}
	require.EqualValues(t, 3, raw.conns.Load())
}

// A middlebox drops all open connections without notice, so calls on them make no
// progress. After the first such call, later calls must use new connections, and
// the server, which is healthy, must not be suspected.
func TestSilentConnections(t *testing.T) {
	const old = 4
	ready := make(chan struct{}, old)
	gate := make(chan struct{})
	raw := newRawServer(t, func(con net.Conn, req *http.Request, conn, num int64) bool {
		if conn <= old && num == 1 {
			// Hold the first calls until all have arrived, so that each uses
			// its own connection.
			ready <- struct{}{}
			<-gate
		}
		if conn <= old && num > 1 {
			return true
		}
		plainReply(con, req)
		return true
	})
	fix := raw.fixture(t)
	grp := group.New(t.Context())
	for range old {
		grp.Go(func(ctx context.Context) error {
			_, err := fix.cli.Do(ctx, fix.srv, fix.call(plainStage, time.Minute), func() {}, nil)
			return err
		})
	}
	for range old {
		<-ready
	}
	close(gate)
	require.NoError(t, grp.Wait())
	require.EqualValues(t, old, fix.srv.Connections().Open())

	res := fix.do(t.Context(), fix.call(plainStage, 100*time.Millisecond))
	require.Equal(t, stage.FaultSilent, res.fault)
	require.EqualValues(t, 1, fix.srv.Connections().TotalSilent())
	for range old {
		require.Empty(t, fix.do(t.Context(), fix.call(plainStage, time.Minute)).fault)
	}
	require.False(t, fix.srv.Connections().ServerSuspected(), "its new connections work")
	require.Zero(t, fix.srv.Connections().Silent())
	// A call opens a new connection if the previous call's is not idle yet.
	require.Eventually(t, func() bool { return fix.srv.Connections().Open() == raw.conns.Load()-old }, 10*time.Second, time.Millisecond, "only the old connections are closed")
}

// A server that hangs does so on old and new connections; after two silent calls
// the server itself must be suspected.
func TestSilentServer(t *testing.T) {
	raw := newRawServer(t, func(net.Conn, *http.Request, int64, int64) bool { return true })
	fix := raw.fixture(t)
	for i := range 2 {
		require.Equal(t, i == 2, fix.srv.Connections().ServerSuspected())
		require.Equal(t, stage.FaultSilent, fix.do(t.Context(), fix.call(plainStage, 50*time.Millisecond)).fault)
	}
	require.True(t, fix.srv.Connections().ServerSuspected())
}

// Closing a reply at the end marker, before the end of the HTTP body, closes the
// connection. At thousands of calls per second, each would open a new one.
func TestStreamReleasesConnection(t *testing.T) {
	conns := map[string]bool{}
	fix := newFixture(t, func(wri http.ResponseWriter, req *http.Request) {
		conns[req.RemoteAddr] = true
		id := writeHead(wri, req)
		_, _ = io.WriteString(wri, tokenEvent(id, 0)+tokenEvent(id, 1)+tokenEvent(id, 2))
		_ = http.NewResponseController(wri).Flush()
		_, _ = io.WriteString(wri, streamEnding(id))
		_ = http.NewResponseController(wri).Flush()
		// Send the end of the HTTP body separately from the end marker.
		time.Sleep(20 * time.Millisecond)
	})
	for range 5 {
		require.Empty(t, fix.do(t.Context(), fix.call(generateStage, time.Minute)).fault)
		// The connection is released in the background.
		require.Eventually(t, func() bool { return fix.cli.Draining() == 0 }, 10*time.Second, time.Millisecond)
	}
	require.Len(t, conns, 1)
}

// A server answers before it has read a call, and resets the connection after a part of its
// answer. The part must not be taken for the answer.
func TestEarlyAnswerThatIsResetIsNoAnswer(t *testing.T) {
	for name, stg := range map[string]int{"plain": plainStage, "stream": generateStage} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = lis.Close() }()
			grp := group.New(context.Background())
			grp.Go(func(context.Context) error {
				con, err := lis.Accept()
				if err != nil {
					return nil
				}
				req, err := http.ReadRequest(bufio.NewReaderSize(con, 64))
				if err != nil {
					return nil
				}
				id := req.Header.Get(stage.HeaderCall)
				part := `{"id":"` + id + `","output":[1`
				if stg == generateStage {
					part = tokenEvent(id, 0)
				}
				_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+stage.HeaderCall+": "+id+"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+part)
				time.Sleep(100 * time.Millisecond)
				_ = con.(*net.TCPConn).SetLinger(0)
				_ = con.Close()
				return nil
			})
			raw := &rawServer{lis: lis}
			fix := raw.fixture(t)
			cal := fix.call(stg, time.Minute).WithInputs([]stage.Input{{From: "x", Data: []byte(strconv.Quote(strings.Repeat("x", 8<<20)))}})
			res := fix.do(t.Context(), cal)
			require.Equal(t, stage.FaultConnLost, res.fault)
			require.Nil(t, res.rep)
		})
	}
}
