// Command lovagestand runs the simulated servers, the load generator, the
// benchmarks, the soak tests and the demo. It is a development tool and no part
// of the product.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand. The files of this package register theirs in
// commands.
type command struct {
	help string
	run  func(ctx context.Context, args []string, out, errs io.Writer) int
}

var commands = map[string]command{
	"demo": {help: "run a small deployment and send requests through it", run: runDemo},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		usage(errs)
		return exitUsage
	}
	cmd, found := commands[args[0]]
	if !found {
		fmt.Fprintf(errs, "lovagestand: unknown command %q\n", args[0])
		usage(errs)
		return exitUsage
	}
	return cmd.run(ctx, args[1:], out, errs)
}

func usage(errs io.Writer) {
	fmt.Fprintln(errs, "usage: lovagestand COMMAND [flags]\n\nCommands:")
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(errs, "  %-10s %s\n", name, commands[name].help)
	}
	fmt.Fprintln(errs, "\nExit codes: 0 done, 1 failed, 2 wrong usage.")
}
