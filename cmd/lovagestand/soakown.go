package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"lovagestream/stand/soak"
	"lovagestream/stand/world"
)

func init() {
	commands["soak-own"] = command{help: "run nine entry instances on our own configuration service under mixed faults, and audit the results", run: runOwnSoak}
}

func runOwnSoak(ctx context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("soak-own", flag.ContinueOnError)
	fls.SetOutput(errs)
	length := fls.Duration("for", time.Minute, "how long callers send requests")
	seed := fls.Uint64("seed", 1, "seed of the faults and requests")
	rate := fls.Float64("rate", 40, "requests per second")
	every := fls.Duration("every", 2*time.Second, "time between faults")
	if err := fls.Parse(args); err != nil {
		return exitUsage
	}
	dir, err := os.MkdirTemp("", "lovagestream-soak")
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := world.Build(dir); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	rep, err := soak.Run(ctx, dir, dir, soak.NewOptions(*seed, *length, *rate, *every, out))
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	fmt.Fprintf(out, "seed %d: %s\nattainment %.4f\n", *seed, rep, rep.Attainment())
	for _, fin := range rep.Findings() {
		fmt.Fprintln(out, fin)
	}
	if len(rep.Findings()) > 0 {
		return exitFailed
	}
	return exitOK
}
