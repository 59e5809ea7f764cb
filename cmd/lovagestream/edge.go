package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	klog "github.com/go-kratos/kratos/v2/log"

	"lovagestream/io/clock"
	"lovagestream/io/edge"
	"lovagestream/io/follow"
	"lovagestream/io/lines"
	"lovagestream/io/setup"
	"lovagestream/io/trace"
	plat "lovagestream/platform"
)

func init() {
	commands["edge"] = command{help: "run one entry instance on the published platform", run: runEdge}
}

const edgeAbout = `Runs one entry instance on the published platform. The path of the settings file
is taken from ` + plat.EnvSettings + `. Log lines go to standard output. SIGTERM begins
a planned stop, SIGHUP reads the settings again.`

// gcPercent is the heap growth, in percent of the live heap, that starts a garbage
// collection. Instances are small and mostly idle, so memory is scarcer than
// processor time.
const gcPercent = 40

const (
	// defaultAccountMetrics is the default number of client accounts that metrics
	// name, maxAccountMetrics the largest: each is a row in every reading.
	defaultAccountMetrics = 8
	maxAccountMetrics     = 256
)

// defaultTracesShare is the share of requests that is traced by default. It keeps
// spans below a thousandth of the bytes that an instance sends.
const defaultTracesShare = 0.01

func runEdge(args []string, out, errs io.Writer) int {
	fls := newFlags("edge", "[flags]", edgeAbout, "  lovagestream edge -settings /etc/lovagestream/boot.yaml\n", errs)
	path := fls.String("settings", os.Getenv(plat.EnvSettings), "settings `file` of the platform")
	metrics := fls.Int("metrics", 0, "`port` for metrics on the instance's own address; 0 serves none")
	advertised := fls.String("told", "", "`address` advertised to other instances, if it differs from the listen address")
	traces := fls.String("traces", "", "`address` of a collector of spans over OTLP with gRPC; if empty, tracing is off")
	share := fls.Float64("traces-share", defaultTracesShare, "share of the requests that is traced")
	divide := fls.Bool("divide-accounts", true, "divide contended pools and services between the client accounts that ask for them; if false, requests are served whatever their accounts use")
	named := fls.Int("account-metrics", defaultAccountMetrics, "largest `number` of client accounts that metrics name, up to 256; the others are added up, and 0 serves no metrics by account")
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if *path == "" || fls.NArg() > 0 {
		fls.Usage()
		return exitUsage
	}
	if *named < 0 || *named > maxAccountMetrics {
		fmt.Fprintf(errs, "lovagestream: -account-metrics: found %d, want a whole number from 0 to %d\n", *named, maxAccountMetrics)
		return exitUsage
	}
	read := func() (edge.Settings, error) {
		set, err := plat.Settings(*path)
		if *advertised != "" {
			set.AdvertisedAddr = *advertised
		}
		set.UndividedAccounts, set.AccountMetrics = !*divide, *named
		return set, err
	}
	debug.SetGCPercent(gcPercent)
	set, err := read()
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	if *metrics > 0 {
		set.MetricsAddr = net.JoinHostPort(set.IP, strconv.Itoa(*metrics))
	}
	dep := edge.Dependencies{
		Dialect: plat.Codec{},
		NewSource: func(dial func(context.Context, string, string) (net.Conn, error)) follow.Source {
			return plat.NewStore(set.StoreAddr, dial)
		},
		Reload: read,
		Log:    lines.New(out, clock.System{}),
		Clock:  clock.System{},
	}
	if *traces != "" {
		if dep.Tracer, err = trace.New(setup.OTLPTraces(*traces, *share), set.Name); err != nil {
			fmt.Fprintln(errs, "lovagestream:", err)
			return exitFailed
		}
	}
	klog.SetLogger(lines.NewLibraryLogger(dep.Log))
	nod, err := edge.New(context.Background(), set, dep)
	if err == nil {
		err = nod.Run()
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	return exitOK
}
