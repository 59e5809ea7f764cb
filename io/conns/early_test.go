package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// earlyAnswers returns the address of a server that answers before it has read a request's body, and
// reads on. It sends the first line of what it takes for a request to lines.
func earlyAnswers(t *testing.T, lines chan<- string) string {
	t.Helper()
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	lis, _ := listen(t, grp, func(con net.Conn) {
		grp.Go(func(context.Context) error {
			defer func() { _ = con.Close() }()
			rdr := bufio.NewReader(con)
			for {
				req, err := http.ReadRequest(rdr)
				if err != nil {
					return nil
				}
				lines <- req.Method + " " + req.RequestURI
				_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				time.Sleep(100 * time.Millisecond)
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return nil
				}
			}
		})
	})
	return lis.Addr().String()
}

// A server answers before it has read a long body and reads on. It must not get the next request
// where the rest of the body is due.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	lines := make(chan string, 8)
	address := earlyAnswers(t, lines)
	grp := group.New(context.Background())
	defer grp.Stop()
	poo := NewPool(clock.System{}, grp, nil)
	head := func(status int, _ http.Header) call.ResponseHead {
		return call.ResponseHead{Status: status, IdleTimeout: 5 * time.Second}
	}
	for _, size := range []int{32 << 20, 10, 10} {
		rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, size)}, "", head)
		require.NoError(t, err)
		body, err := io.ReadAll(rep)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		require.False(t, size > 10 && rep.reusable())
		rep.Close()
		require.Equal(t, "POST /x", <-lines)
	}
}
