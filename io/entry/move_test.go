package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/table"
	"lovagestream/io/entry"
)

// An engine that is slow to begin must not hold a request which may move, and
// must keep one which may run only once or which the coordinator leaves there.
func TestSlowToBegin(t *testing.T) {
	const streamed = "id: 1\ndata: x\n\n"
	tests := []struct {
		name      string
		resumable bool
		stays     bool
		second    int64
		slack     int
	}{
		{"moves", true, false, 1, 20},
		{"may run once", false, false, 0, 20},
		{"stays", true, true, 0, 20},
		{"no retry left", true, false, 0, 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var firstRuns, secondRuns atomic.Int64
			release, left := make(chan struct{}), make(chan struct{})
			first := newServer(t, &firstRuns, func(wri http.ResponseWriter, req *http.Request) {
				_, _ = io.ReadAll(req.Body)
				select {
				case <-release:
				case <-req.Context().Done():
					close(left)
					return
				}
				wri.Header().Set("Signed", "first")
				wri.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(wri, streamed)
			})
			second := newServer(t, &secondRuns, func(wri http.ResponseWriter, _ *http.Request) {
				wri.Header().Set("Signed", "second")
				wri.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(wri, streamed)
			})
			fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: tst.resumable, MaxAttempts: 2, LatencyTarget: 5 * time.Second, Timeout: 20 * time.Second}, modelService, first, second)
			fix.updateView(func(viw *entry.View) { viw.Retries.Ratio, viw.Retries.Slack = 0, tst.slack })
			fix.ctl.estimate, fix.ctl.stays = 10*time.Millisecond, tst.stays
			if tst.second == 0 {
				time.AfterFunc(300*time.Millisecond, func() { close(release) })
			}
			got := fix.send(t, "/p/x", "Wait", "20000")
			require.NoError(t, got.err)
			require.Equal(t, streamed, got.body)
			require.Equal(t, tst.second, secondRuns.Load())
			require.Equal(t, int64(1), firstRuns.Load())
			if tst.second > 0 {
				require.Equal(t, "second", got.hdr.Get("Signed"))
				<-left
			}
		})
	}
}
