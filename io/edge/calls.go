package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/pause"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
)

// StageCodec encodes calls to stage servers and decodes their answers.
type StageCodec interface {
	EncodeStageCall(cal sched.Call) (method, target string, fields []call.Field, body []byte, err error)
	DecodeStageResults(body []byte) ([]sched.Result, error)
	EncodeStageFree(handles []string) (method, target string, fields []call.Field, body []byte, err error)
	DecodeResponse(status int, hdr http.Header) call.ResponseHead
}

const (
	// baseAnswerBytes and pieceAnswerBytes bound the answer to a call: a result is a handle
	// of about a hundred bytes, or the reason of a failure.
	baseAnswerBytes  = 4 << 10
	pieceAnswerBytes = 1 << 10
	// freeTimeout bounds a request that frees results, which otherwise expire by
	// themselves.
	freeTimeout = time.Second
)

// stageCaller makes the calls to stage servers that the scheduler decides on.
type stageCaller struct {
	cdc StageCodec
	poo *conns.Pool
	clk clock.Service
	grp *group.Group
	log *lines.Writer
	gau *gauge.Metrics
	ctl *Control

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newStageCaller(cdc StageCodec, poo *conns.Pool, clk clock.Service, grp *group.Group, log *lines.Writer, gau *gauge.Metrics, ctl *Control) *stageCaller {
	return &stageCaller{cdc: cdc, poo: poo, clk: clk, grp: grp, log: log, gau: gau, ctl: ctl, cancels: map[uint64]context.CancelFunc{}}
}

func (cal *stageCaller) cancel(number uint64) {
	cal.mu.Lock()
	defer cal.mu.Unlock()
	if cancel := cal.cancels[number]; cancel != nil {
		cancel()
		delete(cal.cancels, number)
	}
}

// forgetConns closes the idle connections to an address.
func (cal *stageCaller) forgetConns(address string) {
	if cal.poo != nil {
		cal.poo.CloseIdle(address)
	}
}

// serverStarted drops what is known of the path to the server that had the address before.
func (cal *stageCaller) serverStarted(ent stock.Entry) {
	if cal != nil && cal.poo != nil {
		cal.poo.ServerStarted(ent.Service, ent.Address)
	}
}

type evCallEnded struct {
	number  uint64
	results []sched.Result
	status  sched.CallStatus
}

func (evt evCallEnded) apply(ctl *Control, now time.Time) {
	ctl.sched.CallEnded(now, evt.number, evt.results, evt.status)
}

func (cal *stageCaller) start(ask sched.Call) {
	cal.grp.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		cal.mu.Lock()
		cal.cancels[ask.Number] = cancel
		cal.mu.Unlock()
		begun := cal.clk.Now()
		results, status, err := cal.exchange(ctx, ask)
		cal.gau.Count("stage-calls", ask.Server.Service+" "+status.String())
		cal.gau.ObserveDuration("stage-call", ask.Server.Service, cal.clk.Now().Sub(begun))
		cal.cancel(ask.Number)
		if err != nil {
			cal.log.Log("stage-call-failed", lines.Fields{"call": ask.Number, "server": ask.Server.ID, "error": err.Error(), "ids": ids(ask.Items)})
		}
		cal.ctl.post(evCallEnded{number: ask.Number, results: results, status: status})
		return nil
	})
}

// request builds a request to a server. It isn't sent if the server turns out to
// be paused once the connection is open.
func (cal *stageCaller) request(ent stock.Entry, method, target string, fields []call.Field, body []byte) conns.Request {
	return conns.Request{
		Server: ent.ID, Service: ent.Service, Zone: ent.Zone, Address: ent.Address, Method: method, Target: target, Host: ent.Address, Fields: fields, Body: body,
		Check: func() error { return cal.ctl.MaySend(ent.ID) },
	}
}

func (cal *stageCaller) exchange(ctx context.Context, ask sched.Call) ([]sched.Result, sched.CallStatus, error) {
	method, target, fields, body, err := cal.cdc.EncodeStageCall(ask)
	if err != nil {
		return nil, sched.NoReply, err
	}
	snd := cal.request(ask.Server, method, target, fields, body)
	snd.Abort, snd.NewConn = true, true
	snd.MaxConns = cal.ctl.View().Connections(ask.Server.Service)
	rep, err := cal.poo.Do(ctx, snd, "", cal.cdc.DecodeResponse)
	var tak *conns.ConnLimitError
	var pau *pause.Error
	var noPath *conns.PathError
	switch {
	case errors.As(err, &tak) || errors.As(err, &pau):
		return nil, sched.Full, err
	case errors.As(err, &noPath):
		return nil, sched.NoPath, err
	}
	if err != nil {
		return nil, sched.NoReply, err
	}
	defer rep.Close()
	if rep.ResponseHead.Status != http.StatusMisdirectedRequest {
		cal.ctl.ObserveResponse(ask.Server, rep.ResponseHead)
	}
	switch {
	case rep.ResponseHead.Status == http.StatusMisdirectedRequest:
		cal.ctl.WrongServer(ask.Server)
		return nil, sched.WrongServer, nil
	case rep.ResponseHead.NotRun:
		return nil, sched.Full, errors.New("stage server has no free capacity")
	case rep.ResponseHead.Status != http.StatusOK:
		return nil, sched.NoReply, errors.Errorf("stage server answered with status %d", rep.ResponseHead.Status)
	}
	got, err := rep.Buffer(baseAnswerBytes + pieceAnswerBytes*int64(len(ask.Items)))
	if err != nil {
		return nil, sched.NoReply, errors.Wrap(err, "read results")
	}
	defer got.Release()
	results, err := cal.cdc.DecodeStageResults(got.Bytes())
	if err != nil {
		return nil, sched.NoReply, err
	}
	return results, sched.Answered, nil
}

// free frees results at a server. Its answer may be the first in which the server
// names a limit or that it is leaving.
func (cal *stageCaller) free(ent stock.Entry, handles []string) {
	method, target, fields, body, err := cal.cdc.EncodeStageFree(handles)
	if err != nil {
		cal.log.Log("free-failed", lines.Fields{"address": ent.Address, "error": err.Error()})
		return
	}
	cal.grp.Go(func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		dog := cal.clk.StartWatchdog(freeTimeout, cancel)
		defer dog.Stop()
		snd := cal.request(ent, method, target, fields, body)
		snd.Release = true
		rep, err := cal.poo.Do(ctx, snd, "", cal.cdc.DecodeResponse)
		if err != nil {
			cal.log.Log("free-failed", lines.Fields{"address": ent.Address, "count": len(handles), "error": err.Error()})
			return nil
		}
		if ent.ID != "" {
			cal.ctl.ObserveResponse(ent, rep.ResponseHead)
		}
		rep.Discard()
		return nil
	})
}
