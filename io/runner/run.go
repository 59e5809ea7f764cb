package runner

import (
	"context"
	"encoding/json"

	"go.opentelemetry.io/otel/attribute"

	"lovagestream/core/admit"
	"lovagestream/core/config"
	"lovagestream/io/group"
	"lovagestream/io/stage"
	"lovagestream/io/trace"
)

// run is one running request.
type run struct {
	rnr *Runner
	req *Request
	tkt *admit.Ticket
	// done[i] is closed once outputs[i] and costs[i] are written.
	done    []chan struct{}
	outputs []json.RawMessage
	costs   []Cost
}

func newRun(rnr *Runner, req *Request) *run {
	num := len(req.pip.Stages())
	rn := &run{
		rnr:     rnr,
		req:     req,
		tkt:     rnr.sts.Admit(req.pip, req.acc),
		done:    make([]chan struct{}, num),
		outputs: make([]json.RawMessage, num),
		costs:   make([]Cost, num),
	}
	for i := range rn.done {
		rn.done[i] = make(chan struct{})
	}
	return rn
}

// runStages runs the stages; each waits for its inputs. The first failure
// cancels the others. A stage that can run concurrently with a later one gets
// its own goroutine. A stage that all later stages wait for, such as every
// stage of a chain and the last one of each pipeline, runs in this goroutine:
// another one would cost a wake-up for each stage, and a stack for the duration
// of a stream.
func (rn *run) runStages(ctx context.Context) error {
	grp := group.New(ctx)
	for i := range rn.req.pip.Stages() {
		stage := func(gctx context.Context) error { return rn.runStage(gctx, i) }
		if !neededByAllLater(rn.req.pip, i) {
			grp.Go(stage)
			continue
		}
		if !grp.Do(stage) {
			break
		}
	}
	return grp.Wait()
}

// neededByAllLater reports whether every later stage needs the output of stage
// idx, directly or indirectly.
func neededByAllLater(pip *config.Pipeline, idx int) bool {
	needs := make([]bool, len(pip.Stages()))
	needs[idx] = true
	for i, stg := range pip.Stages()[idx+1:] {
		for _, inp := range stg.Inputs() {
			if inp >= 0 && needs[inp] {
				needs[idx+1+i] = true
			}
		}
		if !needs[idx+1+i] {
			return false
		}
	}
	return true
}

func (rn *run) answer() *Answer {
	return &Answer{output: rn.outputs[rn.req.pip.AnswerStage()], costs: rn.costs}
}

func (rn *run) runStage(ctx context.Context, idx int) error {
	stg := rn.req.pip.Stages()[idx]
	if err := rn.awaitInputs(ctx, stg); err != nil {
		return err
	}
	began := rn.rnr.clk.Now()
	dec := rn.rnr.pols.adm.Decide(rn.rnr.admitQuery(began, rn.req).AtStage(idx))
	if dec.Refusal() != "" {
		return &infeasibleError{stage: stg.Name(), reason: dec.Refusal(), wait: dec.RetryAfter()}
	}
	rn.tkt.Begin(idx)
	var snk stage.Sink
	if idx == rn.req.pip.AnswerStage() {
		snk = rn.req.sink
	}
	att := newAttempts(rn, stg, snk, dec.Priority())
	sctx, spn := trace.Start(ctx, "stage", attribute.String("stage", stg.Name()), attribute.String("pool", stg.Pool()))
	rep, err := att.run(sctx)
	spn.End(err)
	rn.costs[idx] = att.cost
	if err != nil {
		return err
	}
	now := rn.rnr.clk.Now()
	rn.tkt.Done(now, idx)
	rn.rnr.sts.ObserveDuration(now, rn.req.pip.Name(), stg.Name(), now.Sub(began))
	rn.outputs[idx] = rep.Output()
	close(rn.done[idx])
	return nil
}

// awaitInputs waits for a stage's inputs.
func (rn *run) awaitInputs(ctx context.Context, stg *config.Stage) error {
	for _, inp := range stg.Inputs() {
		if inp < 0 {
			continue
		}
		select {
		case <-rn.done[inp]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (rn *run) inputs(stg *config.Stage) []stage.Input {
	inputs := make([]stage.Input, 0, len(stg.Inputs()))
	for _, inp := range stg.Inputs() {
		if inp < 0 {
			inputs = append(inputs, stage.Input{From: config.FromRequest, Data: rn.req.body})
			continue
		}
		inputs = append(inputs, stage.Input{From: rn.req.pip.Stages()[inp].Name(), Data: rn.outputs[inp]})
	}
	return inputs
}
