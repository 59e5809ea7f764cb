package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxCancels is the highest number of cancel calls in flight. More are
	// dropped: a server also ends a call when its connection closes.
	maxCancels    = 256
	cancelTimeout = time.Second
)

// cancelBody is the request body of a cancel call.
type cancelBody struct {
	ID string `json:"id"`
}

// canceller tells servers to cancel calls whose reply is no longer needed.
//
// When a caller leaves or a deadline passes, closing the connection may not stop
// the engine: a middlebox may have dropped the connection, or the engine checks
// it only between batches. So a separate cancel call names the call to end. It
// is sent once, in the background.
type canceller struct {
	cli *Client
	// slots holds one entry for each cancel call in flight.
	slots   chan struct{}
	sent    *atomic.Int64
	dropped *atomic.Int64
}

func newCanceller(cli *Client) canceller {
	return canceller{cli: cli, slots: make(chan struct{}, maxCancels), sent: &atomic.Int64{}, dropped: &atomic.Int64{}}
}

func (ccl canceller) send(lnk *link, id string) {
	select {
	case ccl.slots <- struct{}{}:
	default:
		ccl.dropped.Add(1)
		return
	}
	started := ccl.cli.background(func(ctx context.Context) {
		defer func() { <-ccl.slots }()
		cctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		ccl.call(cctx, lnk, id)
	})
	if !started {
		<-ccl.slots
	}
}

// call sends one cancel call. It ignores errors, because they don't affect the
// caller.
func (ccl canceller) call(ctx context.Context, lnk *link, id string) {
	raw, err := json.Marshal(cancelBody{ID: id})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+lnk.srv.Address()+PathCancel, bytes.NewReader(raw))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCall, id)
	ccl.sent.Add(1)
	res, err := lnk.pooled.Load().RoundTrip(req)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, res.Body, drainBytes)
	_ = res.Body.Close()
}
