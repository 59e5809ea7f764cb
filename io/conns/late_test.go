package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// answerAgain serves connections: before the response to each further request of a
// connection, it sends the response to the one before once more.
func answerAgain(t *testing.T, identified bool) (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	grp := group.New(context.Background())
	t.Cleanup(func() {
		_ = lis.Close()
		grp.Stop()
		_ = grp.Wait()
	})
	grp.Go(func(context.Context) error {
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil
			}
			grp.Go(func(ctx context.Context) error {
				defer context.AfterFunc(ctx, func() { _ = con.Close() })()
				defer func() { _ = con.Close() }()
				rdr, last := bufio.NewReader(con), ""
				for {
					req, err := http.ReadRequest(rdr)
					if err != nil {
						return nil
					}
					_, _ = io.WriteString(con, last)
					last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
					if identified {
						last += "Id: " + req.URL.Path[1:] + "\r\n"
					}
					last += "\r\n" + fmt.Sprintf("%-2s", req.URL.Path[1:])
					_, _ = io.WriteString(con, last)
				}
			})
		}
	})
	return lis.Addr().String()
}

func headWithID(status int, hdr http.Header) call.ResponseHead {
	return call.ResponseHead{Status: status, RequestID: hdr.Get("Id")}
}

// exchange returns the body of the response to a request.
func exchange(poo *Pool, req Request, id string) (string, error) {
	req.Method, req.Host = http.MethodGet, req.Address
	rep, err := poo.Do(context.Background(), req, id, headWithID)
	if err != nil {
		return "", err
	}
	defer rep.Close()
	got, err := io.ReadAll(rep)
	return string(got), err
}

// hasIdle reports whether a connection to an address is kept. One whose request was not
// known to be written when its response ended is not.
func hasIdle(poo *Pool, address string) bool {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return len(poo.idle[address]) > 0
}

// A late second response must not be taken for the response to the next request, which
// names no request either.
func TestLateResponseIsNotTakenForTheNextCall(t *testing.T) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := answerAgain(t, false)
	for _, target := range []string{"aa", "bb", "cc"} {
		got, err := exchange(poo, Request{Address: address, Target: "/" + target, NewConn: true}, "")
		require.NoError(t, err)
		require.Equal(t, target, got)
	}
	require.Equal(t, int64(3), poo.Opened())
}

// A response that names no request must not be believed on a connection that served
// another one; one that names it is found behind the other.
func TestLateResponseWithoutIDIsNotBelieved(t *testing.T) {
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := answerAgain(t, false)
	for !hasIdle(poo, address) {
		got, err := exchange(poo, Request{Address: address, Target: "/aa"}, "aa")
		require.NoError(t, err)
		require.Equal(t, "aa", got)
	}
	_, err := exchange(poo, Request{Address: address, Target: "/bb"}, "bb")
	var sen *SendError
	require.ErrorAs(t, err, &sen)
	require.True(t, sen.Sent)
	got, err := exchange(poo, Request{Address: address, Target: "/cc"}, "cc")
	require.NoError(t, err)
	require.Equal(t, "cc", got)

	address = answerAgain(t, true)
	for _, target := range []string{"aa", "bb"} {
		got, err = exchange(poo, Request{Address: address, Target: "/" + target}, target)
		require.NoError(t, err)
		require.Equal(t, target, got)
	}
}
