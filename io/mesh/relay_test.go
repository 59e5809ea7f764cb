package mesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lovagestream/core/call"
	"lovagestream/core/member"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// relayFunc is a RelayHandler.
type relayFunc func(ctx context.Context, cal RelayCall, rsp RelayResponse) error

func (fun relayFunc) Relay(ctx context.Context, cal RelayCall, rsp RelayResponse) error {
	return fun(ctx, cal, rsp)
}

// recordingListener keeps the connections that it accepts.
type recordingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (lis *recordingListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.conns = append(lis.conns, con)
	return con, err
}

// startRelay serves relayed requests with a handler, and returns a transport of another
// instance, the address and the listener.
func startRelay(t *testing.T, han relayFunc) (*Transport, string, *recordingListener) {
	t.Helper()
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis := &recordingListener{Listener: raw}
	dial := (&net.Dialer{}).DialContext
	tra := New(member.Member{Address: raw.Addr().String()}, newRecordingSink(), clock.System{}, dial, grp)
	if han != nil {
		tra.SetRelayHandler(han)
	}
	grp.Go(func(ctx context.Context) error { return tra.Serve(ctx, lis) })
	return New(member.Member{Address: "a"}, newRecordingSink(), clock.System{}, dial, grp), raw.Addr().String(), lis
}

// Bytes of a caller or a server that aren't UTF-8 must pass a relay unchanged.
func TestRelayedBytesNeedNotBeUTF8(t *testing.T) {
	const odd = "/\xff\xe4"
	tra, address, _ := startRelay(t, func(_ context.Context, cal RelayCall, rsp RelayResponse) error {
		if cal.Body != nil {
			return &RelayError{Sent: true, Cause: RelayTooLong, Text: odd}
		}
		return rsp.Head(http.StatusOK, http.Header{"X": {cal.Target, cal.Host, cal.Fields[0].Value}}, 0, call.LengthFraming)
	})
	got, err := tra.Relay(context.Background(), address, RelayCall{Target: odd, Host: odd, Fields: []call.Field{{Name: "N", Value: odd}}})
	require.NoError(t, err)
	require.Equal(t, http.Header{"X": {odd, odd, odd}}, got.Header)
	got.Close()
	_, err = tra.Relay(context.Background(), address, RelayCall{Body: []byte("b")})
	var rer *RelayError
	require.ErrorAs(t, err, &rer)
	require.Equal(t, RelayTooLong, rer.Cause)
}

// A response must arrive unchanged, and only a complete one may end like one.
func TestRelayedResponse(t *testing.T) {
	tra, address, _ := startRelay(t, func(_ context.Context, cal RelayCall, rsp RelayResponse) error {
		if err := rsp.Head(http.StatusTeapot, http.Header{"X": {"1", "2"}}, 4, call.LengthFraming); err != nil {
			return err
		}
		if err := rsp.Data(cal.Body); err != nil {
			return err
		}
		if cal.Target == "/cut" {
			return &RelayError{Sent: true, Cause: RelayClosed}
		}
		return nil
	})
	got, err := tra.Relay(context.Background(), address, RelayCall{Target: "/whole", Body: []byte("body"), Fields: []call.Field{{Name: "N", Value: "v"}}})
	require.NoError(t, err)
	require.Equal(t, http.StatusTeapot, got.Status)
	require.Equal(t, http.Header{"X": {"1", "2"}}, got.Header)
	body, err := io.ReadAll(got)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	got.Close()
	got, err = tra.Relay(context.Background(), address, RelayCall{Target: "/cut", Body: []byte("body")})
	require.NoError(t, err)
	_, err = io.ReadAll(got)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	got.Close()
}

// Only a relay's word that nothing was sent may make a request count as not sent.
func TestOnlyTheRelaySaysNotSent(t *testing.T) {
	var rer *RelayError
	tra, address, _ := startRelay(t, func(_ context.Context, cal RelayCall, _ RelayResponse) error {
		if cal.Target == "/unsent" {
			return &RelayError{Cause: RelayPaused, Text: "paused", Remaining: time.Second}
		}
		return errors.New("the handler fails")
	})
	_, err := tra.Relay(context.Background(), address, RelayCall{Target: "/unsent"})
	require.ErrorAs(t, err, &rer)
	require.False(t, rer.Sent)
	require.Equal(t, RelayPaused, rer.Cause)
	require.Equal(t, time.Second, rer.Remaining)
	_, err = tra.Relay(context.Background(), address, RelayCall{Target: "/fails"})
	require.ErrorAs(t, err, &rer)
	require.True(t, rer.Sent, "the relay ended without a word")
	_, err = tra.Relay(context.Background(), address, RelayCall{Body: make([]byte, maxMessageSize)})
	require.ErrorAs(t, err, &rer)
	require.False(t, rer.Sent, "too large")
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, lis.Close())
	_, err = tra.Relay(context.Background(), lis.Addr().String(), RelayCall{})
	require.ErrorAs(t, err, &rer)
	require.False(t, rer.Sent, "nobody there")
	none, address, _ := startRelay(t, nil)
	_, err = none.Relay(context.Background(), address, RelayCall{})
	require.ErrorAs(t, err, &rer)
	require.Equal(t, RelayBusy, rer.Cause)
}

// The caller of a relayed request leaves. The relay must hear of it at once.
func TestRelayedRequestIsCanceled(t *testing.T) {
	ended := make(chan struct{})
	tra, address, _ := startRelay(t, func(ctx context.Context, _ RelayCall, rsp RelayResponse) error {
		defer close(ended)
		if err := rsp.Head(http.StatusOK, nil, -1, call.ChunkedFraming); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
	got, err := tra.Relay(context.Background(), address, RelayCall{})
	require.NoError(t, err)
	got.Close()
	select {
	case <-ended:
	case <-time.After(time.Second):
		require.Fail(t, "the relay goes on")
	}
}

// gRPC sets TCP_USER_TIMEOUT on the connections that it accepts, to 20 s by itself, and
// then neither end's keep-alive probes give up sooner.
func TestAcceptedLinksGiveUpInTime(t *testing.T) {
	tra, address, lis := startRelay(t, func(context.Context, RelayCall, RelayResponse) error { return &RelayError{} })
	_, err := tra.Relay(context.Background(), address, RelayCall{})
	require.Error(t, err)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	require.NotEmpty(t, lis.conns)
	raw, err := lis.conns[0].(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.Positive(t, got)
		require.LessOrEqual(t, time.Duration(got)*time.Millisecond, 3*time.Second)
	}))
}
