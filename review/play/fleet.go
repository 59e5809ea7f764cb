package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
)

// instance is one process of the deploy file's role, on a loopback address of its own.
type instance struct {
	name  string
	zone  string
	ip    string
	front string
	ready string
	peer  string
	path  string
	log   *os.File
	cmd   *exec.Cmd
}

// fleet starts the processes.
type fleet struct {
	clk   clock.Service
	dir   string
	store string
	zones []string
	seeds []string
	all   []*instance
}

// ports are those of every instance, as the pages have them the same on all machines.
type ports struct{ front, ready, control int }

// freePort finds a port that is free on an address.
func freePort(ip string) (int, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().(*net.TCPAddr).Port, nil
}

// newFleet writes the settings of num instances over the zones.
func newFleet(clk clock.Service, dir, storeAddress string, zones []string, num int) (*fleet, error) {
	flt := &fleet{clk: clk, dir: dir, store: storeAddress, zones: zones}
	base := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250)
	var prt ports
	for _, dst := range []*int{&prt.front, &prt.ready, &prt.control} {
		got, err := freePort(base + ".1")
		if err != nil {
			return nil, err
		}
		*dst = got
	}
	for idx := range num {
		ins := &instance{name: fmt.Sprintf("edge-%d", idx+1), zone: zones[idx%len(zones)], ip: fmt.Sprintf("%s.%d", base, idx+1)}
		ins.front, ins.ready, ins.peer = fmt.Sprintf("%s:%d", ins.ip, prt.front), fmt.Sprintf("%s:%d", ins.ip, prt.ready), fmt.Sprintf("%s:%d", ins.ip, prt.control)
		flt.all = append(flt.all, ins)
		if len(flt.seeds) < 3 {
			flt.seeds = append(flt.seeds, ins.peer)
		}
	}
	for _, ins := range flt.all {
		if err := flt.writeSettings(ins); err != nil {
			return nil, err
		}
	}
	return flt, nil
}

// writeSettings writes the settings file of DEPLOY.md with the figures of the small site.
func (flt *fleet) writeSettings(ins *instance) error {
	var txt strings.Builder
	fmt.Fprintf(&txt, "nodeName: %q\nrole: \"entry\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n  - \"control\"\nip: %q\nzone: %q\nregion: \"nbo\"\nzones:\n", ins.name, ins.ip, ins.zone)
	for _, zone := range flt.zones {
		fmt.Fprintf(&txt, "  %s: \"nbo\"\n", zone)
	}
	fmt.Fprintf(&txt, "listen:\n  front: %q\n  ready: %q\n  control: %q\ninternalPorts:\n  - 7740\n  - 7755\nseeds:\n", ins.front, ins.ready, ins.peer)
	for _, seed := range flt.seeds {
		fmt.Fprintf(&txt, "  - %q\n", seed)
	}
	fmt.Fprintf(&txt, `bootstrap: true
lossCounts: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"]
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, failClosed: false, revokeMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, budgetSlack: 54, recoveryS: 12, passMs: 120, reuseWindowS: 10}
platform:
  address: %q
  form: "read"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
`, flt.store)
	ins.path = filepath.Join(flt.dir, ins.name+".yaml")
	return os.WriteFile(ins.path, []byte(txt.String()), 0o600)
}

// start starts an instance with the command of the deploy file.
func (flt *fleet) start(ins *instance) error {
	log, err := os.OpenFile(filepath.Join(flt.dir, ins.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	ins.log = log
	ins.cmd = exec.Command("target/lovagestream", "edge", "-metrics", "9464")
	ins.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGESTREAM_NODE_FILE=" + ins.path}
	ins.cmd.Stdout, ins.cmd.Stderr = log, log
	return ins.cmd.Start()
}

// startAll starts all instances and waits until each says that it is ready.
func (flt *fleet) startAll(ctx context.Context) error {
	for _, ins := range flt.all {
		if err := flt.start(ins); err != nil {
			return err
		}
	}
	for _, ins := range flt.all {
		if err := flt.waitReady(ctx, ins); err != nil {
			return err
		}
	}
	// The pages start traffic well after the machines; members know each other by then.
	return flt.clk.Sleep(ctx, 2*time.Second)
}

// readyTimeout bounds the start of an instance.
const readyTimeout = 15 * time.Second

func (flt *fleet) waitReady(ctx context.Context, ins *instance) error {
	for end := flt.clk.Now().Add(readyTimeout); flt.clk.Now().Before(end); {
		if flt.isReady(ctx, ins) {
			return nil
		}
		_ = flt.clk.Sleep(ctx, 50*time.Millisecond)
	}
	return errors.Errorf("%s is not ready", ins.name)
}

func (flt *fleet) isReady(ctx context.Context, ins *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ins.ready+"/-/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// signal sends a signal to an instance's process.
func (ins *instance) signal(sig syscall.Signal) {
	if ins.cmd != nil && ins.cmd.Process != nil {
		_ = ins.cmd.Process.Signal(sig)
	}
}

// stopAll kills all processes and waits for their ends.
func (flt *fleet) stopAll() {
	for _, ins := range flt.all {
		if ins.cmd == nil {
			continue
		}
		ins.signal(syscall.SIGKILL)
		_ = ins.cmd.Wait()
		_ = ins.log.Close()
	}
}
