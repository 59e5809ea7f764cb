package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/result"
	sample "lovagestream/examples"
	"lovagestream/stand/back"
)

// demoRun is one run of the demo.
type demoRun struct {
	dep *Deployment
	out io.Writer
	num int
	// counts is the number of requests by outcome, unexpected the number of
	// results other than expected.
	counts     map[result.Outcome]int
	unexpected int
	// refused holds the IDs of requests whose callers were told "not run".
	refused map[string]bool
}

// step is one request with its expected outcome and reason.
type step struct {
	name    string
	req     CallerRequest
	outcome result.Outcome
	reason  result.Reason
}

// Run starts the company example, sends requests through every pipeline and
// prints one line for each and a summary. With keep it then prints a curl
// command and serves until the context ends. It returns an error if a result
// was not as expected.
func Run(ctx context.Context, out io.Writer, keep bool) error {
	dep, err := Start(ctx, sample.Company, back.ConstantSpeed(2*time.Millisecond, 2*time.Millisecond))
	if err != nil {
		return err
	}
	dmr := &demoRun{dep: dep, out: out, counts: map[result.Outcome]int{}, refused: map[string]bool{}}
	err = dmr.runAll(ctx)
	if err == nil && keep {
		dmr.keepServing(ctx)
	}
	if serr := dep.Stop(); err == nil {
		err = serr
	}
	return err
}

func (dmr *demoRun) runAll(ctx context.Context) error {
	for _, pip := range dmr.dep.doc.Pipelines() {
		steps, err := dmr.steps(ctx, pip)
		if err != nil {
			return err
		}
		for _, stp := range steps {
			if err := dmr.run(ctx, pip, stp); err != nil {
				return err
			}
		}
	}
	return dmr.writeSummary()
}

// steps returns the requests for a pipeline. Requests with the same idempotency
// key must have the same body.
func (dmr *demoRun) steps(ctx context.Context, pip *config.Pipeline) ([]step, error) {
	token := dmr.token(0)
	if pip.Repeatable() {
		return []step{
			{"whole", dmr.newRequest(pip, token), result.Complete, ""},
			{"streamed", dmr.newRequest(pip, token).WithStream(), result.Complete, ""},
			{"wrong credential", dmr.newRequest(pip, "guess"), result.NotRun, result.Unauthorized},
			{"deadline in the past", dmr.newRequest(pip, token).WithDeadline("-1s"), result.NotRun, result.DeadlinePassed},
		}, nil
	}
	key, err := dmr.dep.IssueKey(ctx, http.DefaultClient, token)
	if err != nil {
		return nil, err
	}
	first := dmr.newRequest(pip, token).WithKey(key)
	again := first
	again.id = dmr.id()
	return []step{
		{"without a key", dmr.newRequest(pip, token), result.NotRun, result.KeyRequired},
		{"under a key", first, result.Complete, ""},
		{"sent again", again, result.Complete, ""},
	}, nil
}

func (dmr *demoRun) token(num int) string { return dmr.dep.doc.Accounts()[num].Name() + "-token" }

func (dmr *demoRun) id() string {
	dmr.num++
	return fmt.Sprintf("demo-%d", dmr.num)
}

func (dmr *demoRun) newRequest(pip *config.Pipeline, token string) CallerRequest {
	id := dmr.id()
	return NewCallerRequest(id, pip.Name(), token, fmt.Sprintf(`{"text":"request %s"}`, id))
}

func (dmr *demoRun) run(ctx context.Context, pip *config.Pipeline, stp step) error {
	began := time.Now()
	rep, err := dmr.dep.Send(ctx, http.DefaultClient, stp.req)
	if err != nil {
		return errors.Wrapf(err, "%s, %s", pip.Name(), stp.name)
	}
	dmr.counts[rep.outcome]++
	note := string(rep.reason)
	switch {
	case rep.outcome != stp.outcome || rep.reason != stp.reason:
		dmr.unexpected++
		note += " (unexpected)"
	case rep.outcome == result.Complete && rep.output != string(back.ExpectedAnswer(pip, []byte(stp.req.body))):
		dmr.unexpected++
		note = "(the answer is wrong)"
	case rep.outcome == result.NotRun:
		dmr.refused[stp.req.id] = true
	case rep.replayed:
		note = "(the first run's answer)"
	}
	fmt.Fprintf(dmr.out, "%-20s %-22s %3d %-9s %6s %s\n", pip.Name(), stp.name, rep.status, rep.outcome, time.Since(began).Round(time.Millisecond), note)
	return nil
}

// writeSummary checks the servers' journals against the outcomes that callers
// received, and prints the totals.
func (dmr *demoRun) writeSummary() error {
	runs := dmr.dep.Runs()
	for _, run := range runs {
		if dmr.refused[run.Request()] {
			dmr.unexpected++
			fmt.Fprintf(dmr.out, "request %s was reported as not-run, but stage %s ran\n", run.Request(), run.Stage())
		}
	}
	fmt.Fprintf(dmr.out, "sent %d requests: %d complete, %d not-run, %d unknown; backend servers ran %d calls, none of a request told not-run\n",
		dmr.num, dmr.counts[result.Complete], dmr.counts[result.NotRun], dmr.counts[result.Unknown], len(runs))
	if dmr.unexpected > 0 {
		return errors.Errorf("%d results were not as expected", dmr.unexpected)
	}
	return nil
}

func (dmr *demoRun) keepServing(ctx context.Context) {
	pip := dmr.dep.doc.Pipelines()[0].Name()
	fmt.Fprintf(dmr.out, "\nStill serving; end with Ctrl-C. Send a request:\n\n  curl -N -H 'Authorization: Bearer %s' -H 'Accept: text/event-stream' -H 'Content-Type: application/json' -d '{\"text\":\"hello\"}' http://%s/v1/pipelines/%s\n\nMetrics: http://%s/debug/vars\n",
		dmr.token(0), dmr.dep.CallerAddr(), pip, dmr.dep.nod.OperatorAddr())
	<-ctx.Done()
}
