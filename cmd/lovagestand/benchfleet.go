package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lovagestream/stand/drill"
)

func init() {
	commands["bench-fleet"] = command{help: "measure a deployment of many entry instances: idle cost, convergence and behaviour in outages", run: runBenchFleet}
}

func runBenchFleet(ctx context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("bench-fleet", flag.ContinueOnError)
	fls.SetOutput(errs)
	instances := fls.Int("instances", 9, "number of entry instances")
	zones := fls.Int("zones", 3, "number of availability zones, 1 to 7")
	accounts := fls.Int("accounts", 1300, "number of client accounts in the configuration")
	seed := fls.Uint64("seed", 1, "seed of all random choices")
	active := fls.Int("active", 16, "number of client accounts with demand at each instance")
	rate := fls.Float64("rate", 16, "requests per second at each instance")
	quiet := fls.Duration("quiet", 10*time.Second, "how long the idle cost is measured")
	down := fls.Duration("down", 20*time.Second, "duration of each outage")
	secured := fls.Bool("secured", true, "authenticate the links with a shared key")
	if err := fls.Parse(args); err != nil {
		return exitUsage
	}
	if *instances < 2 || *instances > 100 || *zones < 1 || *zones > 7 || *accounts < 2 || *accounts > 8192 {
		fmt.Fprintln(errs, "lovagestand: want 2 to 100 instances, 1 to 7 zones and 2 to 8192 accounts")
		return exitUsage
	}
	keyFile := ""
	if *secured {
		dir, err := os.MkdirTemp("", "lovagestand")
		if err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
		defer func() { _ = os.RemoveAll(dir) }()
		keyFile = filepath.Join(dir, "keys")
		if err := os.WriteFile(keyFile, []byte(strings.Repeat("bench-key-", 4)), 0o600); err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
	}
	opt := drill.NewOptions(*instances, *zones, *accounts, *seed).WithDurations(*quiet, *down).WithSharedKey(*secured).WithDemand(max(1, *active), *rate)
	good, err := drill.Run(ctx, out, opt, keyFile)
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	if !good {
		return exitFailed
	}
	return exitOK
}
