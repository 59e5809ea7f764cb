package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// A server resets connections beyond a limit for all entry instances together.
// If an instance with a load peak exceeded its share, callers of other
// instances would see resets from a healthy server. At the limit a request
// fails before a byte is sent; it succeeds again once another one has ended.
func TestConnectionShare(t *testing.T) {
	let := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			select {
			case <-let:
			case <-time.After(testWait):
			}
		}
	}))
	defer srv.Close()
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := srv.Listener.Addr().String()
	send := func(path string) error {
		rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: path, Host: address, MaxConns: 2}, "", func(int, http.Header) call.ResponseHead { return call.ResponseHead{} })
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, rep)
		rep.Close()
		return err
	}
	grp := group.New(context.Background())
	ends := make(chan error, 2)
	for range 2 {
		grp.Go(func(context.Context) error {
			ends <- send("/wait")
			return nil
		})
	}
	require.Eventually(t, func() bool { return poo.Opened() == 2 }, testWait, testPoll)
	err := send("/now")
	var lim *ConnLimitError
	require.True(t, errors.As(err, &lim), "%v", err)
	var sen *SendError
	require.True(t, errors.As(err, &sen))
	require.False(t, sen.Sent)
	close(let)
	require.NoError(t, <-ends)
	require.NoError(t, <-ends)
	require.NoError(t, send("/now"))
	require.Equal(t, int64(2), poo.Opened())
	require.NoError(t, grp.Wait())
}

const (
	// testWait bounds each wait of the tests; testPoll is the polling interval.
	testWait = 5 * time.Second
	testPoll = time.Millisecond
)

// If a server asks for a pause while a connection to it is being opened, the
// request must not be sent.
func TestCheckKeepsRequestFromBeingSent(t *testing.T) {
	got := make(chan string, 2)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { got <- req.URL.Path }))
	defer srv.Close()
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := srv.Listener.Addr().String()
	head := func(int, http.Header) call.ResponseHead { return call.ResponseHead{} }
	barred := errors.New("barred")
	_, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/first", Host: address, Check: func() error { return barred }}, "", head)
	var sen *SendError
	require.True(t, errors.As(err, &sen))
	require.False(t, sen.Sent)
	require.ErrorIs(t, err, barred)
	rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/second", Host: address, Check: func() error { return nil }}, "", head)
	require.NoError(t, err)
	rep.Close()
	require.Equal(t, "/second", <-got)
	require.Equal(t, int64(1), poo.Opened(), "the connection is kept")
}

// A server's machine is lost and its process starts again at the address: the idle
// connections look usable, since their end never arrived.
func TestIdleConnectionsToEarlierStartAreClosed(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := srv.Listener.Addr().String()
	send := func() {
		rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: address}, "", func(int, http.Header) call.ResponseHead { return call.ResponseHead{} })
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, rep)
		require.NoError(t, err)
		rep.Close()
	}
	// A connection is kept only if the whole request was written before its answer
	// was read.
	require.Eventually(t, func() bool {
		send()
		return len(poo.idle[address]) == 1
	}, testWait, testPoll)
	opened := poo.Opened()
	poo.CloseIdle(address)
	require.Empty(t, poo.idle)
	require.Empty(t, poo.open)
	send()
	require.Equal(t, opened+1, poo.Opened())
}

// With TCP_USER_TIMEOUT set, it decides when keep-alive probes give up, whatever their
// count. A connection that waits for a response and one with unacknowledged bytes must
// both be given up after three seconds.
func TestVanishedServersAreGivenUpInTime(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lis.Close() }()
	dlr := Dialer(nil)
	con, err := dlr.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = con.Close() }()
	raw, err := con.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	read := func(fd uintptr, option int, unit time.Duration) time.Duration {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		require.NoError(t, err)
		return time.Duration(got) * unit
	}
	require.NoError(t, raw.Control(func(fd uintptr) {
		user := read(fd, unix.TCP_USER_TIMEOUT, time.Millisecond)
		require.Equal(t, 3*time.Second, user)
		probes := read(fd, unix.TCP_KEEPCNT, 1)
		require.Equal(t, user, read(fd, unix.TCP_KEEPIDLE, time.Second)+probes*read(fd, unix.TCP_KEEPINTVL, time.Second))
	}))
}

// relayStub relays each request with one response.
type relayStub struct{ res RelayedResponse }

func (relayStub) Available() bool { return true }

func (stb relayStub) Exchange(context.Context, Request, string) (*RelayedResponse, error) {
	return &stb.res, nil
}

type stringBody struct{ io.Reader }

func (stringBody) Close() {}

// A relay of an earlier version doesn't say how a stream ends. One that ends inside an
// event must not pass for complete.
func TestStreamOfARelayWithoutFraming(t *testing.T) {
	for text, want := range map[string]error{"data: 1\n\n": nil, "data: 1\n\nda": io.ErrUnexpectedEOF} {
		poo := NewPool(clock.System{}, group.New(context.Background()), nil)
		poo.DialWith(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no path") })
		poo.RelayWith(relayStub{RelayedResponse{Status: http.StatusOK, Length: -1, Body: stringBody{strings.NewReader(text)}}}, func() {})
		rep, err := poo.Do(context.Background(), Request{Address: "127.0.0.1:1"}, "", func(int, http.Header) call.ResponseHead {
			return call.ResponseHead{Status: http.StatusOK, EventStream: true}
		})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, rep)
		require.Equal(t, want, err)
	}
}

// A relay of an earlier version passes on heads that are none by the rules of HTTP.
func TestMalformedHeadsOfARelayAreRefused(t *testing.T) {
	for name, res := range map[string]RelayedResponse{
		"sound":  {Status: http.StatusOK, Header: http.Header{"Id": {"mine"}}},
		"status": {Status: 999, Header: http.Header{"Id": {"mine"}}},
		"name":   {Status: http.StatusOK, Header: http.Header{"Id": {"mine"}, "X Odd": {"1"}}},
		"value":  {Status: http.StatusOK, Header: http.Header{"Id": {"mine"}, "X-Odd": {"a\x00"}}},
	} {
		poo := NewPool(clock.System{}, group.New(context.Background()), nil)
		poo.DialWith(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no path") })
		res.Body = stringBody{strings.NewReader("ok")}
		poo.RelayWith(relayStub{res}, func() {})
		_, err := poo.Do(context.Background(), Request{Address: "127.0.0.1:1"}, "mine", headWithID)
		if name == "sound" {
			require.NoError(t, err)
			continue
		}
		var mal *call.MalformedError
		require.ErrorAs(t, err, &mal, name)
	}
}
