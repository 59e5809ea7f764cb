package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/serve"
	"lovagestream/io/setup"
)

func init() {
	commands["serve"] = command{help: "run one entry instance", run: runServe}
}

const serveAbout = `Runs one entry instance. SIGTERM or SIGINT begins a planned stop: no more requests
are admitted, and those in progress may complete within stop.grace. A second
signal ends the process at once, with exit code 1.`

const serveExamples = `  lovagestream serve -settings /etc/lovagestream.yaml
  lovagestream serve -settings /etc/lovagestream.yaml -print-settings
`

func runServe(args []string, out, errs io.Writer) int {
	fls := newFlags("serve", "-settings FILE [flags]", serveAbout, serveExamples, errs)
	path := fls.String("settings", "", "settings `file` in YAML; see docs/settings.md")
	printing := fls.Bool("print-settings", false, "print the settings with their defaults and exit")
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if *path == "" || fls.NArg() > 0 {
		fls.Usage()
		return exitUsage
	}
	if *printing {
		return printSettings(*path, out, errs)
	}
	if err := serveFrom(*path, errs); err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	return exitOK
}

func printSettings(path string, out, errs io.Writer) int {
	data, err := os.ReadFile(path)
	if err == nil {
		data, err = setup.Print(path, data)
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	_, _ = out.Write(data)
	return exitOK
}

func serveFrom(path string, errs io.Writer) error {
	set, err := setup.Load(path)
	if err != nil {
		return err
	}
	roo, err := logs.New(errs, set.LogLevel(), set.LogFormat())
	if err != nil {
		return err
	}
	logs.SetKratosLogger(roo)
	nod, err := serve.New(set, roo, uint64(time.Now().UnixNano()))
	if err != nil {
		return err
	}
	return runUntilSecondSignal(nod.Run, roo.For("main"), os.Exit)
}

// runUntilSecondSignal runs an instance, which itself begins a planned stop at the
// first signal, and exits the process at the second one. A stop can take as long as
// the grace time if a caller keeps a stream open.
func runUntilSecondSignal(run func(context.Context) error, log *logs.Logger, exit func(int)) error {
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(sigs)
	ctx, cancel := context.WithCancel(context.Background())
	grp := group.New(ctx)
	grp.Go(func(gctx context.Context) error {
		for num := 1; ; num++ {
			select {
			case <-gctx.Done():
				return nil
			case <-sigs:
			}
			if num == 2 {
				log.Warn("Exiting immediately after a second signal.", nil)
				exit(exitFailed)
			}
		}
	})
	err := run(ctx)
	cancel()
	_ = grp.Wait()
	return err
}
