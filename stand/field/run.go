package field

import (
	"context"
	"fmt"
	"regexp"
	"time"

	"lovagestream/io/group"
)

// Run makes one run and reports what it showed.
func Run(ctx context.Context, opt Options) (Report, error) {
	fld, err := Start(ctx, opt)
	if err != nil {
		return Report{}, err
	}
	fld.play(ctx)
	for _, ins := range fld.instances {
		if !ins.prc.Running() {
			fld.problem("%s ended by itself", ins.boot.Name)
		}
	}
	fld.agreed()
	fld.Stop()
	return fld.report(), nil
}

// play sends and breaks side by side, then lets all settle and counts whether
// requests are served again.
func (fld *Field) play(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	callers := group.New(ctx)
	callers.Go(func(context.Context) error { return fld.callers(sending) })
	fld.keepers(sending, callers)
	breaking, cancel := context.WithTimeout(ctx, fld.opt.Length)
	defer cancel()
	if fld.opt.Every > 0 {
		_ = fld.breakThings(breaking)
	} else {
		<-breaking.Done()
	}
	pause(ctx, recovery)
	from := time.Now()
	pause(ctx, calm)
	stop()
	_ = callers.Wait()
	fld.answered(ctx)
	served, all := fld.recovered(from)
	fmt.Fprintf(fld.opt.Out, "served once calm: %d of %d\n", served, all)
	if float64(served) < servedShare*float64(all) || all == 0 {
		fld.problem("RECOVER %d of %d are served once calm", served, all)
	}
}

var coordinatorChanged = regexp.MustCompile(`"msg":"coordinator-changed".*"to":"([^"]*)"`)

// agreed checks that all instances take the same one for the one that forms the
// calls to stage servers. It follows from when they started, by their own
// clocks: it must not matter that these are wrong.
func (fld *Field) agreed() {
	coordinators := map[string][]string{}
	for _, ins := range fld.instances {
		coordinator := coordinatorOf(ins.link.Address(), ins.prc.Log())
		coordinators[coordinator] = append(coordinators[coordinator], ins.boot.Name)
	}
	if len(coordinators) > 1 {
		fld.problem("COORDINATOR instances disagree once calm: %v", coordinators)
	}
}

// coordinatorOf is whom a process takes for that one, by its lines: itself at first.
func coordinatorOf(own, log string) string {
	if all := coordinatorChanged.FindAllStringSubmatch(log, -1); len(all) > 0 {
		return all[len(all)-1][1]
	}
	return own
}

// answered waits until all callers have their answers.
func (fld *Field) answered(ctx context.Context) {
	for end := time.Now().Add(answerWait + time.Second); time.Now().Before(end) && fld.waiting(); {
		pause(ctx, lookEvery/10)
	}
}

func (fld *Field) waiting() bool {
	fld.mu.Lock()
	defer fld.mu.Unlock()
	for _, snd := range fld.sends {
		if !snd.done {
			return true
		}
	}
	return false
}
