package frame

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
)

// Readers that use net/http's transport must not take all that it takes.
func TestTransportTakesNoMalformedHead(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for head, taken := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n":               true,
		"HTTP/1.1 304 Not Modified\r\nA: b\r\n":     true,
		"HTTP/1.1 000 None\r\nA: b\r\n":             false,
		"HTTP/1.1 101 Other\r\nUpgrade: x\r\n":      false,
		"HTTP/1.1 600 More\r\nA: b\r\n":             false,
		"HTTP/9.9 200 OK\r\nA: b\r\n":               false,
		"HTTP/1.1 200 OK\r\nA B: c\r\n":             false,
		"HTTP/1.1 200 OK\r\nA : b\r\n":              false,
		"HTTP/1.1 200 OK\r\nContent-Length : 9\r\n": false,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
			con, _, err := http.NewResponseController(wri).Hijack()
			if err == nil {
				_, _ = io.WriteString(con, head+rest)
				_ = con.Close()
			}
		}))
		var dlr net.Dialer
		cli := &http.Client{Transport: Transport{&http.Transport{DialContext: dlr.DialContext}}}
		res, err := cli.Get(srv.URL)
		if taken {
			require.NoError(t, err, head)
			_ = res.Body.Close()
		} else {
			var mal *call.MalformedError
			require.True(t, errors.As(err, &mal), "%q: %v", head, err)
		}
		srv.Close()
	}
}
