// Package order sends load and unload orders to engines and reads which models they
// have loaded. The control thread decides on both.
package order

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/io/clock"
	"lovagestream/io/frame"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/origin"
)

// Paths on the engines.
const (
	PathOrders    = "/v1/orders"
	PathPlacement = "/v1/placement"
)

const (
	callTimeout   = 2 * time.Second
	maxReplyBytes = 64 << 10
	// maxCalls is the maximum number of calls in flight. Further calls are dropped;
	// the control thread requests them again.
	maxCalls = 64
	// maxModels is the maximum number of models in an engine's placement.
	maxModels = 64
)

// Body is the JSON body of an order.
type Body struct {
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
}

// PlacementBody is the JSON body of an engine's placement: the models that it has
// loaded, the one that it is loading, the number that it can hold, and the highest
// fencing token that it has seen.
type PlacementBody struct {
	Models   []string `json:"models"`
	Loading  string   `json:"loading,omitempty"`
	Capacity int      `json:"room"`
	Fencing  uint64   `json:"fencing"`
}

// Loop is the control thread as used by a Sender.
type Loop interface {
	Post(ctx context.Context, ev core.Event) error
	View() *core.View
}

// Sender sends the orders of one entry instance.
type Sender struct {
	lop   Loop
	clk   clock.Service
	log   *logs.Logger
	hc    *http.Client
	grp   *group.Group
	calls atomic.Int64
}

// New returns a Sender. Run must be started before the first order.
func New(lop Loop, src origin.SourceAddr, clk clock.Service, log *logs.Logger) *Sender {
	tra := &http.Transport{DialContext: src.DialFunc(callTimeout), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: frame.MaxHeadBytes}
	return &Sender{lop: lop, clk: clk, log: log, hc: &http.Client{Transport: frame.Transport{Transport: tra}, Timeout: callTimeout}, grp: group.New(context.Background())}
}

// Run waits until the context ends, then cancels the calls in flight and waits for
// them.
func (snd *Sender) Run(ctx context.Context) error {
	<-ctx.Done()
	snd.grp.Stop()
	err := snd.grp.Wait()
	snd.hc.CloseIdleConnections()
	return err
}

// Read starts to read an engine's placement and doesn't block. The result is posted
// to the control thread.
func (snd *Sender) Read(dec core.ReadPlacement) {
	snd.start(func(ctx context.Context) error { return snd.readPlacement(ctx, dec) })
}

// SendOrder starts to send an order and doesn't block.
func (snd *Sender) SendOrder(dec core.SendOrder) {
	snd.start(func(ctx context.Context) error { return snd.send(ctx, dec) })
}

// start runs a call in a goroutine, unless maxCalls calls are in flight or the
// sender has stopped.
func (snd *Sender) start(run func(ctx context.Context) error) {
	if snd.calls.Add(1) > maxCalls || snd.grp.Context().Err() != nil {
		snd.calls.Add(-1)
		return
	}
	snd.grp.Go(func(ctx context.Context) error {
		defer snd.calls.Add(-1)
		if err := run(ctx); err != nil {
			snd.log.Debug("Call to engine failed.", logs.Fields{"error": err})
		}
		return nil
	})
}

func (snd *Sender) readPlacement(ctx context.Context, dec core.ReadPlacement) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dec.Address()+PathPlacement, nil)
	if err != nil {
		return errors.Wrap(err, "read placement")
	}
	raw, err := snd.do(req)
	if err != nil {
		return err
	}
	var bod PlacementBody
	if err := json.Unmarshal(raw, &bod); err != nil || len(bod.Models) > maxModels {
		return errors.Errorf("read placement: invalid answer of engine %s", dec.Server())
	}
	return snd.lop.Post(ctx, core.NewPlacementRead(dec.Server(), bod.Models, bod.Loading, bod.Capacity))
}

// send checks again, right before the call, whether this process may act. A process
// that was paused after the decision would send an order of an older revision;
// engines that check the fencing token refuse it, others would carry it out.
func (snd *Sender) send(ctx context.Context, dec core.SendOrder) error {
	ord := dec.Order()
	raw, err := json.Marshal(Body{Fencing: dec.FencingToken(), Kind: string(ord.Kind()), Model: ord.Model()})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dec.Address()+PathOrders, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "send order")
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	vie := snd.lop.View()
	if doc := vie.Config(); !vie.Fresh(snd.clk.Now()) || doc == nil || doc.Revision() != dec.FencingToken() {
		return errors.New("send order: revision is out of date")
	}
	if _, err := snd.do(req); err != nil {
		return err
	}
	snd.log.Info("Sent an order.", logs.Fields{"server": ord.Server(), "kind": ord.Kind(), "model": ord.Model(), "fencing": dec.FencingToken()})
	return nil
}

func (snd *Sender) do(req *http.Request) ([]byte, error) {
	res, err := snd.hc.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := frame.ReadAll(res.Body, maxReplyBytes)
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("call engine: answered with status %s", res.Status)
	}
	return raw, err
}
