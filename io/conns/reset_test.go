package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// closeHead begins a response that ends with its connection.
const closeHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// answerEarly returns the address of a server that sends text once it has the head of a request,
// and then ends the connection.
func answerEarly(t *testing.T, text string, end func(con *net.TCPConn, rest io.Reader)) string {
	t.Helper()
	grp := group.New(context.Background())
	t.Cleanup(grp.Stop)
	lis, _ := listen(t, grp, func(con net.Conn) {
		grp.Go(func(context.Context) error {
			defer func() { _ = con.Close() }()
			req, err := http.ReadRequest(bufio.NewReaderSize(con, 64))
			if err != nil {
				return nil
			}
			_, _ = io.WriteString(con, text)
			time.Sleep(50 * time.Millisecond)
			end(con.(*net.TCPConn), req.Body)
			return nil
		})
	})
	return lis.Addr().String()
}

// reset resets a connection.
func reset(con *net.TCPConn, _ io.Reader) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// closeUnread closes a connection whose request isn't read.
func closeUnread(con *net.TCPConn, _ io.Reader) { _ = con.Close() }

// readOn ends the response and reads the rest of the request.
func readOn(con *net.TCPConn, rest io.Reader) {
	_ = con.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
}

// readNothing ends the response and keeps the connection open without reading.
func readNothing(con *net.TCPConn, _ io.Reader) {
	_ = con.CloseWrite()
	time.Sleep(testWait)
}

// A server answers without a length before it has read the request, and the connection is reset.
// What came must not be taken for the whole body.
func TestBodyOfAResetConnectionIsNotWhole(t *testing.T) {
	const stream, part = "id: 1\ndata: x\n\n", "a part"
	for _, tst := range []struct {
		name   string
		upload int
		stream bool
		end    func(con *net.TCPConn, rest io.Reader)
		whole  bool
		// silent is set if the connection's state can't be read.
		silent bool
	}{
		{"reset during the upload", 4<<20 - 1000, false, reset, false, false},
		{"reset between two events", 4<<20 - 1000, true, reset, false, false},
		{"reset, upload in the sockets' buffers", 3 << 20, false, reset, false, false},
		{"reset of a long upload", 32 << 20, false, reset, false, false},
		{"reset without an upload", 0, false, reset, false, false},
		{"closed with the upload unread", 4<<20 - 1000, true, closeUnread, false, false},
		{"ended, upload never read", 4<<20 - 1000, false, readNothing, false, false},
		{"ended, upload never read and in the sockets' buffers", 3 << 20, true, readNothing, false, false},
		{"ended, upload read later", 4<<20 - 1000, false, readOn, true, false},
		{"ended, long upload of a stream read later", 32 << 20, true, readOn, true, false},
		{"ended, no upload", 0, false, readNothing, true, false},
		{"reset during the upload, state unknown", 4<<20 - 1000, false, reset, false, true},
		{"ended, upload read later, state unknown", 4<<20 - 1000, false, readOn, true, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			body := part
			if tst.stream {
				body = stream
			}
			address := answerEarly(t, closeHead+body, tst.end)
			grp := group.New(context.Background())
			defer grp.Stop()
			poo := NewPool(clock.System{}, grp, nil)
			if tst.silent {
				poo, _ = newCountedPool()
			}
			head := func(status int, _ http.Header) call.ResponseHead {
				return call.ResponseHead{Status: status, EventStream: tst.stream}
			}
			for try := range 4 {
				rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodPost, Target: "/" + strconv.Itoa(try), Host: "h", Body: make([]byte, tst.upload)}, "", head)
				require.NoError(t, err)
				begun := time.Now()
				got, err := io.ReadAll(rep)
				rep.Close()
				if tst.whole {
					require.NoError(t, err)
					require.Equal(t, body, string(got))
					continue
				}
				require.Error(t, err, "%q taken for the whole body", got)
				require.Less(t, time.Since(begun), testWait/2, "held")
			}
		})
	}
}

// A look at whether connections are open must not take the reset of one whose body is being read.
func TestResetIsLeftToTheReaderOfTheBody(t *testing.T) {
	resets := make(chan struct{})
	ended := make(chan struct{})
	address := answerEarly(t, closeHead+"a part", func(con *net.TCPConn, _ io.Reader) {
		<-resets
		reset(con, nil)
		close(ended)
	})
	grp := group.New(context.Background())
	defer grp.Stop()
	poo := NewPool(clock.System{}, grp, nil)
	rep, err := poo.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"}, "", headWithID)
	require.NoError(t, err)
	defer rep.Close()
	got := make([]byte, len("a part"))
	_, err = io.ReadFull(rep, got)
	require.NoError(t, err)
	close(resets)
	<-ended
	require.Eventually(t, func() bool { return !poo.connected(address) }, testWait, testPoll)
	_, err = rep.Read(got)
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}
