package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/setup"
	"lovagestream/stand/stall"
)

// TestStopRefusesARequestThatWasJustRead:
//
// An instance that is stopped as planned had nothing under way and ended its
// listeners. A request had been read by then, and its goroutine had not said so
// yet. The HTTP server dropped it without a word: the caller, whose request may
// not be repeated, was left with an unknown outcome instead of a refusal that
// says that nothing was run.
func TestStopRefusesARequestThatWasJustRead(t *testing.T) {
	t.Parallel()
	set, err := setup.Read("test", []byte("instance: entry-1\nzone: z\noperators:\n  open: true\nplatform:\n  url: http://127.0.0.1:1\n"))
	require.NoError(t, err)
	nod, err := New(set, logs.Quiet(), 1)
	require.NoError(t, err)
	lis := stall.New(nod.callers)
	nod.callers = lis
	nod.build()
	grp := group.New(context.Background())
	done := make(chan error, 1)
	grp.Go(func(ctx context.Context) error {
		done <- nod.Run(ctx)
		return nil
	})
	con, err := net.Dial("tcp", lis.Addr().String())
	require.NoError(t, err)
	defer func() { _ = con.Close() }()
	require.Eventually(t, lis.Waiting, 5*time.Second, time.Millisecond)
	lis.HoldHead()
	_, err = io.WriteString(con, "POST /v1/pipelines/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	<-lis.Held()
	grp.Go(func(context.Context) error { return nod.Stop() })
	select {
	case <-done:
		require.Fail(t, "the instance ended under a request")
	case <-time.After(time.Second):
	}
	lis.Release()

	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.True(t, res.Close)
	require.NoError(t, <-done)
}
