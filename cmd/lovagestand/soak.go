package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"lovagestream/stand/field"
	"lovagestream/stand/world"
)

func init() {
	commands["soak"] = command{help: "run entry instances as processes on fakes of the platform under mixed faults, and check the callers' results against the servers' journals", run: runSoak}
}

func runSoak(ctx context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("soak", flag.ContinueOnError)
	fls.SetOutput(errs)
	opt := field.Options{Out: out}
	fls.Uint64Var(&opt.Seed, "seed", 1, "seed of the faults and requests")
	fls.DurationVar(&opt.Duration, "for", time.Minute, "how long faults are injected")
	fls.IntVar(&opt.InstancesPerZone, "zone", 2, "entry instances in each of the three availability zones")
	fls.IntVar(&opt.ServerFactor, "servers", 1, "number of backend servers, in units of 18")
	fls.IntVar(&opt.KeepAlive, "kept", 24, "callers that reuse one connection until the instance closes it")
	fls.DurationVar(&opt.ThinkTime, "think", 200*time.Millisecond, "mean pause of these callers between an answer and the next request")
	fls.IntVar(&opt.MaxProcs, "procs", 0, "most processors that an entry instance uses; 0 for no limit")
	only := fls.String("only", "", "`kinds` of faults to inject, separated by commas; default all")
	fls.Float64Var(&opt.Rate, "rate", 40, "requests per second")
	fls.DurationVar(&opt.FaultInterval, "every", 1500*time.Millisecond, "mean time between the starts of faults")
	keep := fls.String("keep", "", "`directory` for settings and logs, which are kept")
	if fls.Parse(args) != nil {
		return exitUsage
	}
	if *only != "" {
		opt.FaultKinds = strings.Split(*only, ",")
	}
	dir, err := workDir(*keep)
	if err == nil {
		if *keep == "" {
			defer func() { _ = os.RemoveAll(dir) }()
		}
		err = world.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	opt.Dir = dir
	rep, err := field.Run(ctx, opt)
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	for _, prb := range rep.Problems {
		fmt.Fprintln(out, prb)
	}
	fmt.Fprintf(out, "seed %d: %s\n", opt.Seed, rep)
	if len(rep.Problems) > 0 {
		return exitFailed
	}
	return exitOK
}

// workDir creates and returns the given directory, or a temporary one if none
// is given.
func workDir(keep string) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "lovagestream-soak")
	}
	return keep, os.MkdirAll(keep, 0o700)
}
