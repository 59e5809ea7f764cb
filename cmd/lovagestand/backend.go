package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/group"
	"lovagestream/stand/back"
)

// exitCrash is the exit code of a backend server after a simulated crash.
const exitCrash = 3

func init() {
	commands["backend"] = command{help: "run one simulated backend server", run: runBackend}
}

// backendFlags holds the flags of the backend subcommand.
type backendFlags struct {
	id        string
	pool      string
	kind      string
	listen    string
	journal   string
	scale     float64
	flat      time.Duration
	batch     int
	reportLag time.Duration
	slots     int
	// models are the loaded models of an engine that accepts orders, separated
	// by commas; "" for a server that accepts none.
	models   string
	fenced   bool
	loadTime time.Duration
}

func (bfl *backendFlags) parse(args []string, errs io.Writer) error {
	fls := flag.NewFlagSet("backend", flag.ContinueOnError)
	fls.SetOutput(errs)
	fls.StringVar(&bfl.id, "id", "backend-1", "server ID in the instance list")
	fls.StringVar(&bfl.pool, "pool", "", "pool of the server; has no effect")
	fls.StringVar(&bfl.kind, "kind", "generate", "kind of the server's stages: generate, encode, retrieve, rerank or service; has no effect, each server answers completions and plain calls")
	fls.StringVar(&bfl.listen, "listen", "127.0.0.1:0", "address to listen on")
	fls.StringVar(&bfl.journal, "journal", "", "file to which a line of JSON is appended at the start and end of each call")
	fls.Float64Var(&bfl.scale, "scale", 10, "divide the times of the calibrated model by this")
	fls.DurationVar(&bfl.flat, "flat", 0, "time per token and per plain call, independent of the load, instead of the calibrated model")
	fls.IntVar(&bfl.batch, "batch", 8, "most sequences that run at once")
	fls.DurationVar(&bfl.reportLag, "report-lag", -1, "age of load reports; negative for that of the calibrated model")
	fls.IntVar(&bfl.slots, "slots", 8, "most plain calls that run at once")
	fls.StringVar(&bfl.models, "holds", "", "loaded models, separated by commas; if set, the server accepts load and unload orders")
	fls.BoolVar(&bfl.fenced, "fenced", false, "refuse orders with an old fencing token")
	fls.DurationVar(&bfl.loadTime, "load-time", 200*time.Millisecond, "time to load a model")
	return fls.Parse(args)
}

func (bfl *backendFlags) model() back.Model {
	if bfl.flat > 0 {
		return back.ConstantSpeed(bfl.flat, bfl.flat)
	}
	mod := back.Calibrated(bfl.scale).WithMaxBatch(bfl.batch).WithPlainSlots(bfl.slots)
	if bfl.reportLag >= 0 {
		mod = mod.WithReportLag(bfl.reportLag)
	}
	return mod
}

func runBackend(ctx context.Context, args []string, out, errs io.Writer) int {
	var bfl backendFlags
	if bfl.parse(args, errs) != nil {
		return exitUsage
	}
	srv := back.NewServer(bfl.id, bfl.model())
	if bfl.models != "" {
		models := strings.Split(bfl.models, ",")
		srv.WithOrders(back.NewOrderReceiver(bfl.fenced, bfl.loadTime, len(models), models...))
	}
	srv.OnCrash(func() { os.Exit(exitCrash) })
	if bfl.journal != "" {
		fil, err := os.OpenFile(bfl.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			fmt.Fprintln(errs, "lovagestand:", err)
			return exitFailed
		}
		defer func() { _ = fil.Close() }()
		srv.SetJournalWriter(fil)
	}
	if err := serveBackend(ctx, srv, bfl.listen, out); err != nil {
		fmt.Fprintln(errs, "lovagestand:", err)
		return exitFailed
	}
	return exitOK
}

// serveBackend serves until the context ends. The first line of output names the
// address, so that the parent process can let the kernel choose it with port 0.
func serveBackend(ctx context.Context, srv *back.Server, address string, out io.Writer) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "listening", lis.Addr())
	hsv := &http.Server{Handler: srv.Handler(), ReadHeaderTimeout: time.Minute}
	grp := group.New(ctx)
	grp.Go(func(gctx context.Context) error {
		<-gctx.Done()
		return hsv.Close()
	})
	if err := hsv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return grp.Wait()
}
