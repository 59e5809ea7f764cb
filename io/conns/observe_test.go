package conns

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// listen returns a listener whose connections are handled until it is closed, and a channel that is
// closed then.
func listen(t *testing.T, grp *group.Group, handle func(con net.Conn)) (net.Listener, <-chan struct{}) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	closed := make(chan struct{})
	grp.Go(func(context.Context) error {
		defer close(closed)
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil
			}
			handle(con)
		}
	})
	return lis, closed
}

// A server without requests ends. Its end must be seen at once, and only if new connections are
// refused, or closed by a proxy: servers close idle connections, and reset those beyond their number.
func TestObserverSeesEnds(t *testing.T) {
	for name, tst := range map[string]struct {
		refuses, closes bool
		ended           bool
	}{
		"closes the connection": {false, false, false},
		"ends":                  {true, false, true},
		"ends behind a proxy":   {false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			grp := group.New(context.Background())
			defer grp.Stop()
			var closes atomic.Bool
			accepted := make(chan net.Conn, 16)
			lis, _ := listen(t, grp, func(con net.Conn) {
				if closes.Load() {
					_ = con.Close()
					return
				}
				accepted <- con
			})
			poo := NewPool(clock.System{}, grp, nil)
			ended := make(chan string, 16)
			obr := NewObserver(poo, func(start string) { ended <- start })
			obd := Observed{Start: "m1/7", Service: "m", Address: lis.Addr().String()}
			obr.Observe([]Observed{obd})
			con := <-accepted
			require.Zero(t, poo.open[obd.Address], "the connection has a place of its own")
			time.Sleep(2 * closedAtOnce)
			closes.Store(tst.closes)
			if tst.refuses {
				_ = lis.Close()
			}
			_ = con.Close()
			if !tst.ended {
				_ = (<-accepted).Close()
			}
			select {
			case start := <-ended:
				require.Equal(t, obd.Start, start)
				require.True(t, tst.ended)
			case <-time.After(300 * time.Millisecond):
				require.False(t, tst.ended)
			}
			obr.Observe(nil)
			require.Empty(t, obr.cancels)
		})
	}
}

// A server that closes each connection at once must not be asked without a pause.
func TestObserverPausesBetweenConnections(t *testing.T) {
	grp := group.New(context.Background())
	defer grp.Stop()
	lis, _ := listen(t, grp, func(con net.Conn) { _ = con.Close() })
	poo := NewPool(clock.System{}, grp, nil)
	NewObserver(poo, func(string) { t.Error("the server has not ended") }).Observe([]Observed{{Start: "m1/7", Address: lis.Addr().String()}})
	time.Sleep(observeInterval * 3 / 2)
	require.LessOrEqual(t, poo.Opened(), int64(4))
}

// A server resets connections beyond its number. It must not be taken for ended by an instance
// that has another connection to it open, and must count as reached.
func TestServerThatResetsConnectionsHasNotEnded(t *testing.T) {
	grp := group.New(context.Background())
	defer grp.Stop()
	first := make(chan net.Conn, 1)
	lis, closed := listen(t, grp, func(con net.Conn) {
		select {
		case first <- con:
		default:
			_ = con.(*net.TCPConn).SetLinger(0)
			_ = con.Close()
		}
	})
	poo := NewPool(clock.System{}, grp, nil)
	address := lis.Addr().String()
	con, err := poo.openConn(context.Background(), Request{Address: address, Uncounted: true}, time.Second)
	require.NoError(t, err)
	grp.Go(func(ctx context.Context) error {
		con.waitClosed(ctx)
		return nil
	})
	reached := make(chan bool, 2)
	reach := func() bool {
		poo.Reach("m", address, func() { reached <- true })
		select {
		case <-reached:
			return true
		case <-time.After(200 * time.Millisecond):
			return false
		}
	}
	require.False(t, poo.Ended(context.Background(), "m", address))
	require.True(t, reach())
	_ = lis.Close()
	<-closed
	_ = (<-first).Close()
	require.True(t, poo.Ended(context.Background(), "m", address))
	require.False(t, reach())
}
