package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"lovagestream/stand/demo"
	"lovagestream/stand/field"
	"lovagestream/stand/world"
)

func runDemo(ctx context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("demo", flag.ContinueOnError)
	fls.SetOutput(errs)
	keep := fls.Bool("keep", false, "keep running after the demo and print a working curl command")
	platform := fls.Bool("platform", false, "run lovagestream edge on fakes of the published platform instead of our own configuration service")
	if fls.Parse(args) != nil {
		return exitUsage
	}
	if *platform {
		return platformDemo(ctx, *keep, out, errs)
	}
	if err := demo.Run(ctx, out, *keep); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}

// platformDemo builds the program and runs the demo on fakes of the platform.
func platformDemo(ctx context.Context, keep bool, out, errs io.Writer) int {
	dir, err := os.MkdirTemp("", "lovagestream-demo")
	if err == nil {
		defer func() { _ = os.RemoveAll(dir) }()
		err = world.Build(dir)
	}
	if err == nil {
		err = field.Demo(ctx, field.Options{Seed: demoSeed, InstancesPerZone: 1, Dir: dir, Out: out}, keep)
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}

// demoSeed keeps the demo's addresses apart from those of soak tests with
// usual seeds.
const demoSeed = 99
