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

// TestStopAnswersAnOperatorWhoWasJustRead:
//
// An operator asked an instance for something in the moment in which it ended.
// The operators' listener still ends the HTTP server's own way: what was read and
// not begun is dropped without a word.
func TestStopAnswersAnOperatorWhoWasJustRead(t *testing.T) {
	t.Parallel()
	set, err := setup.Read("test", []byte("instance: entry-1\nzone: z\noperators:\n  open: true\nplatform:\n  url: http://127.0.0.1:1\n"))
	require.NoError(t, err)
	nod, err := New(set, logs.Quiet(), 1)
	require.NoError(t, err)
	lis := stall.New(nod.operators)
	nod.operators = lis
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
	lis.HoldHead()
	_, err = io.WriteString(con, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-lis.Held()
	grp.Go(func(context.Context) error { return nod.Stop() })
	time.Sleep(300 * time.Millisecond)
	lis.Release()
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.NoError(t, <-done)
}
