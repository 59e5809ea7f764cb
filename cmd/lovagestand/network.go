package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lovagestream/io/group"
	"lovagestream/stand/plat"
	"lovagestream/stand/proxy"
)

func init() {
	commands["platform"] = command{help: "run the simulated platform, controlled over HTTP", run: runPlatform}
	commands["proxy"] = command{help: "run the fault injection proxy, controlled over HTTP", run: runProxy}
}

func runPlatform(ctx context.Context, args []string, out, errs io.Writer) int {
	return runServer(ctx, "platform", args, out, errs, plat.NewControlled().Handler())
}

func runProxy(ctx context.Context, args []string, out, errs io.Writer) int {
	return runServer(ctx, "proxy", args, out, errs, proxy.NewServer(ctx).Handler())
}

// runServer serves a handler until the context ends. The first line of output
// names the address, so that the parent process can let the kernel choose the
// port.
func runServer(ctx context.Context, name string, args []string, out, errs io.Writer, han http.Handler) int {
	fls := flag.NewFlagSet(name, flag.ContinueOnError)
	fls.SetOutput(errs)
	address := fls.String("listen", "127.0.0.1:0", "IP address and port to listen on; with port 0 the kernel chooses one")
	if err := fls.Parse(args); err != nil {
		return exitUsage
	}
	lis, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	fmt.Fprintln(out, "listening", lis.Addr())
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Minute}
	grp := group.New(ctx)
	grp.Go(func(gctx context.Context) error {
		<-gctx.Done()
		return srv.Close()
	})
	grp.Go(func(context.Context) error {
		_ = srv.Serve(lis)
		return nil
	})
	if err := grp.Wait(); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}
