package accept_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/accept"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// switchedIntake refuses connections while it is off.
type switchedIntake struct {
	off      atomic.Bool
	accepted atomic.Int64
}

func (itk *switchedIntake) Wait(time.Time) time.Duration {
	if itk.off.Load() {
		return time.Second
	}
	return 0
}

func (itk *switchedIntake) Accepted(time.Time) { itk.accepted.Add(1) }

// Connections must be refused, not left waiting, while the intake is off, and open ones
// must stay open.
func TestGateRefusesAndListensAgain(t *testing.T) {
	itk := &switchedIntake{}
	gat, err := accept.Listen("127.0.0.1:0", clock.System{}, itk, nil)
	require.NoError(t, err)
	grp := group.New(context.Background())
	conns := make(chan net.Conn, 10)
	ended := make(chan error, 1)
	grp.Go(func(context.Context) error {
		for {
			con, err := gat.Accept()
			if err != nil {
				ended <- err
				return nil
			}
			conns <- con
		}
	})
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", gat.Addr().String(), time.Second) }
	first, err := dial()
	require.NoError(t, err)
	server := <-conns

	itk.off.Store(true)
	gat.Refuse()
	require.Eventually(t, func() bool {
		con, err := dial()
		if err == nil {
			_ = con.Close()
		}
		return err != nil
	}, 5*time.Second, time.Millisecond, "connections are accepted")
	_, err = server.Write([]byte("open"))
	require.NoError(t, err)
	buf := make([]byte, 4)
	_, err = first.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "open", string(buf))

	itk.off.Store(false)
	require.Eventually(t, func() bool {
		_, err := dial()
		return err == nil
	}, 5*time.Second, 5*time.Millisecond, "connections stay refused")
	<-conns
	require.NoError(t, gat.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	_, err = gat.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, grp.Wait())
}
