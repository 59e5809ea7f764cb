package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"

	"lovagestream/io/edge"
	"lovagestream/io/follow"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	plat "lovagestream/platform"
	"lovagestream/platform/fakes"
	"lovagestream/stand/skew"
)

func init() {
	commands["entry"] = command{help: "run one entry instance of the published platform with a clock skew read from a file", run: runEntry}
}

// runEntry runs an entry instance as the product's own command does, but with a
// clock whose time of day can be skewed.
func runEntry(ctx context.Context, args []string, out, errs io.Writer) int {
	fls := flag.NewFlagSet("entry", flag.ContinueOnError)
	fls.SetOutput(errs)
	path := fls.String("settings", "", "settings `file` of the platform")
	advertised := fls.String("told", "", "`address` that other instances use to reach this one")
	skewFile := fls.String("skew", "", "`file` with the offset of the time of day")
	pathFile := fls.String("path", "", "`file` that says how the path to the backend servers is cut: silent, reset, refused, or nothing")
	if fls.Parse(args) != nil {
		return exitUsage
	}
	read := func() (edge.Settings, error) {
		set, err := plat.Settings(*path)
		set.AdvertisedAddr = *advertised
		return set, err
	}
	set, err := read()
	clk := &skew.Clock{}
	if err == nil {
		err = clk.Read(*skewFile)
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	// The signal that cancels the context begins a planned stop, during which
	// the clock must still follow the file.
	ctx = context.WithoutCancel(ctx)
	grp := group.New(ctx)
	defer grp.Stop()
	grp.Go(func(ctx context.Context) error { return clk.FollowFile(ctx, *skewFile) })
	pth := fakes.NewPath(set.IP)
	grp.Go(func(ctx context.Context) error { return pth.FollowFile(ctx, *pathFile) })
	nod, err := edge.New(ctx, set, edge.Dependencies{
		Dialect: plat.Codec{},
		NewSource: func(dial func(context.Context, string, string) (net.Conn, error)) follow.Source {
			return plat.NewStore(set.StoreAddr, dial)
		},
		Reload: read,
		Log:    lines.New(out, clk),
		Clock:  clk,

		DialServer: pth.Dial,
	})
	if err == nil {
		err = nod.Run()
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}
