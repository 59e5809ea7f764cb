// Package main plays the scripts of review 2: the product's processes among small
// stand-ins of clients, engines and the platform's store.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/platform/fakes"
)

var clk = clock.System{}

// Bounds of a small deployment, as its sheet states them.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
)

// World is one small deployment on loopback addresses.
type World struct {
	trouble bool
	folder  string
	network int
	held    net.Listener
	grp     *group.Group
	sto     *fakes.Store
	front   *storeFront
	// instances are the product's processes by name, seeds their addresses among
	// each other.
	instances map[string]*Instance
	seeds     []string

	mu      sync.Mutex
	record  bytes.Buffer
	started time.Time
}

// newWorld returns a world without instances.
func newWorld(trouble bool) (*World, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	wld := &World{trouble: trouble, folder: folder, grp: group.New(context.Background()), sto: fakes.NewStore(), instances: map[string]*Instance{}, started: clk.Now()}
	if wld.network, wld.held, err = fakes.ClaimNetwork(os.Getpid() % 200); err != nil {
		return nil, err
	}
	if wld.front, err = newStoreFront(wld); err != nil {
		return nil, err
	}
	return wld, nil
}

// Note writes one line to the record.
func (wld *World) Note(format string, args ...any) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	fmt.Fprintf(&wld.record, "%8.3f  %s\n", clk.Now().Sub(wld.started).Seconds(), fmt.Sprintf(format, args...))
}

// Sleep waits.
func (wld *World) Sleep(wait time.Duration) { _ = clk.Sleep(context.Background(), wait) }

// IP returns a loopback address of the world's network.
func (wld *World) IP(num int) string { return fmt.Sprintf("127.%d.1.%d", wld.network, num) }

// Close ends all processes and stand-ins, and writes the record.
func (wld *World) Close(record string) {
	for _, ins := range wld.instances {
		ins.Kill()
	}
	wld.front.close()
	wld.sto.Close()
	wld.grp.Stop()
	_ = wld.grp.Wait()
	_ = wld.held.Close()
	wld.mu.Lock()
	defer wld.mu.Unlock()
	if err := os.WriteFile(record, wld.record.Bytes(), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(wld.folder)
	}
}

// Publish writes a value to the store.
func (wld *World) Publish(key string, value any) {
	doc, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	wld.sto.Put(key, doc)
}

// Instance is one process of the product.
type Instance struct {
	wld  *World
	name string
	zone string
	ip   string
	file string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
}

// Ports of the instances, each on an address of its own.
const (
	frontPort   = "8625"
	readyPort   = "8621"
	controlPort = "8628"
)

// AddInstance adds an instance in a zone, without starting it.
func (wld *World) AddInstance(name, zone string) *Instance {
	ins := &Instance{wld: wld, name: name, zone: zone, ip: wld.IP(len(wld.instances) + 1)}
	ins.file = filepath.Join(wld.folder, name+".yaml")
	wld.instances[name] = ins
	if len(wld.seeds) < 3 {
		wld.seeds = append(wld.seeds, net.JoinHostPort(ins.ip, controlPort))
	}
	return ins
}

// Front returns the address for clients.
func (ins *Instance) Front() string { return net.JoinHostPort(ins.ip, frontPort) }

// settings is the settings file of an instance, with the fields that DEPLOY.md explains.
const settings = `nodeName: "%s"
role: "entry"
machineClass: "edge"
serves: ["edge", "control"]
ip: "%s"
zone: "%s"
region: "r"
zones: {a: "r", b: "r", c: "r"}
listen: {front: "%s", ready: "%s", control: "%s"}
internalPorts: [7740, 7755]
seeds: ["%s"]
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
faultTolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, failClosed: false, revokeMs: 5000, retryBudgetRatio: 0.2, retryWindowS: 10, budgetSlack: 54, recoveryS: 12, passMs: 120, reuseWindowS: 10}
platform: {address: "%s", form: "read", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`

// Start starts the process with the command of the deploy file.
func (ins *Instance) Start() error {
	wld := ins.wld
	text := fmt.Sprintf(settings, ins.name, ins.ip, ins.zone, ins.Front(), net.JoinHostPort(ins.ip, readyPort), net.JoinHostPort(ins.ip, controlPort), strings.Join(wld.seeds, `", "`), wld.front.Address())
	if err := os.WriteFile(ins.file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings file")
	}
	out, err := os.OpenFile(filepath.Join(wld.folder, ins.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log file")
	}
	cmd := exec.Command("target/lovagestream", "edge", "-metrics", "9464")
	cmd.Env = append(os.Environ(), "LOVAGESTREAM_NODE_FILE="+ins.file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start an instance")
	}
	ins.mu.Lock()
	ins.cmd, ins.exited = cmd, make(chan struct{})
	exited := ins.exited
	ins.mu.Unlock()
	wld.grp.Go(func(context.Context) error {
		err := cmd.Wait()
		wld.Note("process of %s ended: %v", ins.name, err)
		_ = out.Close()
		close(exited)
		return nil
	})
	wld.Note("process of %s started", ins.name)
	return nil
}

// Signal sends a signal to the process.
func (ins *Instance) Signal(sig syscall.Signal) {
	ins.mu.Lock()
	defer ins.mu.Unlock()
	if ins.cmd != nil {
		_ = ins.cmd.Process.Signal(sig)
	}
}

// Kill kills the process, if one runs, and waits for its end.
func (ins *Instance) Kill() {
	ins.mu.Lock()
	exited := ins.exited
	ins.mu.Unlock()
	if exited == nil {
		return
	}
	ins.Signal(syscall.SIGKILL)
	<-exited
}

// Ready reports whether the instance answers the platform's question with 200.
func (ins *Instance) Ready() bool {
	ans := exchange(context.Background(), net.JoinHostPort(ins.ip, readyPort), "GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", time.Second)
	return ans.Status == 200
}

// startAll starts all instances and waits until they are ready.
func (wld *World) startAll() error {
	for _, ins := range wld.instances {
		if err := ins.Start(); err != nil {
			return err
		}
	}
	for range 100 {
		ready := 0
		for _, ins := range wld.instances {
			if ins.Ready() {
				ready++
			}
		}
		if ready == len(wld.instances) {
			wld.Note("all instances are ready")
			return nil
		}
		wld.Sleep(100 * time.Millisecond)
	}
	return errors.New("the instances don't become ready")
}
