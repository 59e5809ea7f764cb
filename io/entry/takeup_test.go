package entry_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/core/call"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/entry"
)

// eventServer starts a server of a software version that sends one event; if cut, it then
// breaks the stream off.
func eventServer(t *testing.T, runs *atomic.Int64, version string, cut bool, before func()) stock.Entry {
	t.Helper()
	ent := newServer(t, runs, func(wri http.ResponseWriter, _ *http.Request) {
		if before != nil {
			before()
		}
		wri.Header().Set("Signed", version)
		wri.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(wri, "id: 1\ndata: a\n\n")
		if cut {
			_ = http.NewResponseController(wri).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	ent.Version = version
	return ent
}

// A coordinator of an earlier build doesn't know that the version matters. What it places
// at another version must not be sent there.
func TestStreamIsNotSentToAnotherVersion(t *testing.T) {
	for name, svc := range map[string]*table.Service{"model": modelService, "plain": plainService} {
		t.Run(name, func(t *testing.T) {
			var other, own atomic.Int64
			fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: true, MaxAttempts: 2}, svc, eventServer(t, &other, "v1", false, nil), eventServer(t, &own, "v2", false, nil))
			got := fix.send(t, "/p/x", "After", "4", "Resumes", "svc/v2")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "v2", got.hdr.Get("Signed"))
			require.Zero(t, other.Load())
			require.EqualValues(t, 1, own.Load())
			got = fix.send(t, "/p/x", "After", "4", "Resumes", "svc/v3")
			require.Equal(t, http.StatusServiceUnavailable, got.status, "there is no v3")
			got = fix.send(t, "/p/x", "After", "4", "Resumes", "svc/")
			require.Equal(t, http.StatusServiceUnavailable, got.status, "nobody knows the version")
			got = fix.send(t, "/p/x", "After", "4", "Resumes", "removed/v2")
			require.Equal(t, http.StatusServiceUnavailable, got.status, "the route doesn't have the stream's service any more")
			require.Zero(t, other.Load())
			require.EqualValues(t, 1, own.Load())
		})
	}
}

// A stream must be recorded before its caller has the first event, under the ID that its
// caller names later.
func TestStreamIsRecordedOnce(t *testing.T) {
	var runs atomic.Int64
	fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: true, MaxAttempts: 2}, modelService, eventServer(t, &runs, "v1", true, nil), eventServer(t, &runs, "v1", false, nil))
	require.NoError(t, fix.send(t, "/p/x").err)
	require.EqualValues(t, 2, runs.Load())
	require.Len(t, fix.ctl.begun, 1)
	require.Equal(t, "r1", fix.ctl.begun[0].ID)
	require.Equal(t, "v1", fix.ctl.begun[0].Version)
	require.False(t, fix.ctl.begun[0].Until.IsZero())
}

// A server starts again under its ID, as another version, while it has a request. Which one
// sent the first event isn't known, so the stream must not go on.
func TestStreamOfAServerThatStartedAgainIsCut(t *testing.T) {
	var runs atomic.Int64
	var fix *fixture
	var one stock.Entry
	one = eventServer(t, &runs, "v1", true, func() {
		fix.updateView(func(viw *entry.View) {
			again := one
			again.Version, again.StartedAt = "v2", 7
			viw.Servers = map[string][]stock.Entry{"svc": {again}}
		})
	})
	fix = newFixture(t, &table.Route{Kind: call.Stream, Resumable: true, MaxAttempts: 3}, modelService, one, eventServer(t, &runs, "v1", false, nil))
	require.Error(t, fix.send(t, "/p/x").err)
	require.EqualValues(t, 1, runs.Load())
	require.Empty(t, fix.ctl.begun)
}

// A server's start was seen to end, and no entry names the next one. Its software isn't known,
// so no stream must go on there, and a stream that begins there must not be recorded.
func TestNoStreamGoesOnAtAnEndedStart(t *testing.T) {
	for name, svc := range map[string]*table.Service{"model": modelService, "plain": plainService} {
		t.Run(name, func(t *testing.T) {
			var ended, sound atomic.Int64
			gone := eventServer(t, &ended, "v2", false, nil)
			fix := newFixture(t, &table.Route{Kind: call.Stream, Resumable: true, MaxAttempts: 2}, svc, gone, eventServer(t, &sound, "v2", false, nil))
			fix.updateView(func(viw *entry.View) { viw.EndedStarts = map[string]bool{gone.Start(): true} })
			for range 4 {
				fix.ctl.placed.Store(0)
				got := fix.send(t, "/p/x", "After", "4", "Resumes", "svc/v2")
				require.Equal(t, http.StatusOK, got.status)
			}
			require.Zero(t, ended.Load())
			require.EqualValues(t, 4, sound.Load())
			fix.updateView(func(viw *entry.View) { viw.EndedStarts[fix.ctl.engines[1].Start()] = true })
			fix.ctl.placed.Store(0)
			require.Equal(t, http.StatusServiceUnavailable, fix.send(t, "/p/x", "After", "4", "Resumes", "svc/v2").status)
			require.EqualValues(t, 4, ended.Load()+sound.Load())
		})
	}
}
