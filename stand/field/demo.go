package field

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"lovagestream/platform/fakes"
)

// Demo starts the platform's fakes and the instances, sends one request to each
// route of each instance and prints the outcomes. With keep it goes on until the
// context ends and prints a command that sends a request.
func Demo(ctx context.Context, opt Options, keep bool) error {
	clu, err := Start(ctx, opt)
	if err != nil {
		return err
	}
	for _, ins := range clu.instances {
		for _, rte := range routes {
			rqt := &request{id: ins.boot.Name + "-" + rte, account: accounts[0], route: rte, instance: ins}
			clu.requests = append(clu.requests, rqt)
			clu.send(ctx, rqt, 0)
			if rqt.err != nil {
				fmt.Fprintf(opt.Out, "%-20s failed: %v\n", rqt.id, rqt.err)
				continue
			}
			fmt.Fprintf(opt.Out, "%-20s status %d by %-9s %4d bytes in %s\n", rqt.id, rqt.status, rqt.signer, len(rqt.answer), rqt.end.Sub(rqt.start).Round(time.Millisecond/10))
		}
	}
	if keep {
		call := fakes.CallerRequest{ID: "by-hand", Path: "/llm/x", Body: "hello", Pieces: "2,1", Key: apiKey(accounts[0])}
		fmt.Fprintf(opt.Out, "to send a request, run for example:\n  %s\nthe logs are written to %s on exit\n", call.CurlCommand(clu.instances[0].boot.CallerAddr()), filepath.Clean(opt.Dir))
		<-ctx.Done()
	}
	clu.Stop()
	rep := clu.report()
	fmt.Fprintln(opt.Out, rep)
	// The checker doesn't know requests that were sent by hand.
	if rep.Served < rep.Requests || len(rep.Problems) > 0 && !keep {
		return errors.Errorf("%d of %d requests were served: %v", rep.Served, rep.Requests, rep.Problems)
	}
	return nil
}
