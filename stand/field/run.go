package field

import (
	"context"
	"fmt"
	"regexp"
	"time"

	"lovagestream/io/group"
)

// Run does one run and returns its report.
func Run(ctx context.Context, opt Options) (Report, error) {
	clu, err := Start(ctx, opt)
	if err != nil {
		return Report{}, err
	}
	clu.runLoad(ctx)
	for _, ins := range clu.instances {
		if !ins.prc.Running() {
			clu.addProblem("%s exited unexpectedly", ins.boot.Name)
		}
	}
	clu.checkCoordinators()
	clu.Stop()
	return clu.report(), nil
}

// runLoad sends requests and injects faults at the same time. After the faults it
// waits for recovery and checks that requests are served again.
func (clu *Cluster) runLoad(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	callers := group.New(ctx)
	callers.Go(func(context.Context) error { return clu.sendRequests(sending) })
	clu.startKeepAliveCallers(sending, callers)
	breaking, cancel := context.WithTimeout(ctx, clu.opt.Duration)
	defer cancel()
	if clu.opt.FaultInterval > 0 {
		_ = clu.injectFaults(breaking)
	} else {
		<-breaking.Done()
	}
	sleep(ctx, recoveryWait)
	from := time.Now()
	sleep(ctx, recoveryWindow)
	stop()
	_ = callers.Wait()
	clu.waitAnswered(ctx)
	served, all := clu.countServed(from)
	fmt.Fprintf(clu.opt.Out, "served after the faults ended: %d of %d\n", served, all)
	if float64(served) < minServedShare*float64(all) || all == 0 {
		clu.addProblem("RECOVER only %d of %d requests were served after the faults ended", served, all)
	}
}

var coordinatorChanged = regexp.MustCompile(`"msg":"coordinator-changed".*"to":"([^"]*)"`)

// checkCoordinators checks that all instances agree on the coordinator, which forms
// the calls to stage servers. The choice depends on the instances' start times by
// their own clocks, and wrong clocks must not make them disagree.
func (clu *Cluster) checkCoordinators() {
	coordinators := map[string][]string{}
	for _, ins := range clu.instances {
		coordinator := coordinatorOf(ins.link.Address(), ins.prc.Log())
		coordinators[coordinator] = append(coordinators[coordinator], ins.boot.Name)
	}
	if len(coordinators) > 1 {
		clu.addProblem("COORDINATOR instances disagree after the faults ended: %v", coordinators)
	}
}

// coordinatorOf returns the coordinator that a process last logged, which is
// itself at first.
func coordinatorOf(own, log string) string {
	if all := coordinatorChanged.FindAllStringSubmatch(log, -1); len(all) > 0 {
		return all[len(all)-1][1]
	}
	return own
}

// waitAnswered waits until every request has ended, at most for the callers' timeout.
func (clu *Cluster) waitAnswered(ctx context.Context) {
	for end := time.Now().Add(callerTimeout + time.Second); time.Now().Before(end) && clu.hasPending(); {
		sleep(ctx, checkInterval/10)
	}
}

func (clu *Cluster) hasPending() bool {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	for _, rqt := range clu.requests {
		if !rqt.done {
			return true
		}
	}
	return false
}
