// Package field is a fault-injection test of entry instances. They run as real
// processes behind proxies, against fakes of the platform, while callers send
// requests. Random faults occur one after the other and at the same time; at
// the end, the callers' results are compared with what the backend servers ran.
//
// The seed determines the faults and the requests, but not their relative
// timing, since the processes run in real time.
package field

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/platform/fakes"
	"lovagestream/stand/proxy"
	"lovagestream/stand/world"
)

// Options configure a run.
type Options struct {
	// Seed is the seed of faults and requests.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// InstancesPerZone is the number of entry instances in each zone.
	InstancesPerZone int
	// ServerFactor multiplies the number of backend servers; 0 counts as 1.
	ServerFactor int
	// Rate is in requests per second.
	Rate float64
	// KeepAlive is the number of callers that reuse one connection until the server
	// closes it.
	KeepAlive int
	// ThinkTime is their mean pause between an answer and the next request.
	ThinkTime time.Duration
	// MaxProcs is the GOMAXPROCS of each instance; 0 sets none.
	MaxProcs int
	// FaultKinds lists the kinds of faults to draw from; empty means all.
	FaultKinds []string
	// FaultInterval is the mean time between the starts of faults; 0 means no faults.
	FaultInterval time.Duration
	// Dir holds the programs, the settings and, after the run, the instances' logs.
	Dir string
	Out io.Writer
}

// zones lists the availability zones in the order of their numbers in addresses.
var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	// gracePeriod is the longest duration of a planned stop.
	gracePeriod = 8 * time.Second
	// routeTimeout is the timeout of every route.
	routeTimeout = 3 * time.Second
	// recoveryWait is the time after the last fault until requests must be served again.
	recoveryWait = 6 * time.Second
	// recoveryWindow is how long requests are counted after recoveryWait.
	recoveryWindow = 4 * time.Second
	// startTimeout bounds the wait for an instance to become ready.
	startTimeout = 20 * time.Second
	// checkInterval is the interval of the load balancer's readiness checks. An
	// instance that fails two in a row leaves the rotation.
	checkInterval = 500 * time.Millisecond
)

// modelEventGap is the time between two events, so that some streams are in progress at
// each fault.
const modelEventGap = 60 * time.Millisecond

// Cluster is the instances, backend servers and store of one run.
type Cluster struct {
	opt Options
	sto *fakes.Store
	jou *fakes.Journal
	grp *group.Group
	cli *http.Client
	// storeLink is the proxy in front of the store.
	storeLink *proxy.Link
	// subnet is the second byte of the instances' IP addresses; subnetLock is a
	// listener that reserves it against other runs on the machine.
	subnet     int
	subnetLock net.Listener

	mu          sync.Mutex
	instances   []*instance
	servers     map[string]*server
	serversMade int
	// versionsDrawn counts the starts of servers, releases the replacements of all model
	// servers by later versions. oneVersion is set while those that start have the same.
	versionsDrawn int
	releases      int
	oneVersion    bool
	version       int
	requests      []*request
	disturbances  []disturbance
	changes       []configChange
	// evacuations are ordered by start; the last one may be in progress.
	evacuations []evacuation
	problems    []string
	faults      map[string]int
	// stops counts completed planned stops, floods those of an account.
	stops  int
	floods int
	// favorite gets most requests; nil if none does.
	favorite *instance
}

// instance is one entry instance across process restarts.
type instance struct {
	boot fakes.InstanceSettings
	zone int
	// link is the proxy through which other instances reach it.
	link         *proxy.Link
	settingsFile string
	// skewFile sets the offset of its clock. It is empty for instances that run the
	// shipped program, which uses the machine's clock.
	skewFile string
	// busy is set while a fault has the instance; inRotation is set while callers use it.
	busy         bool
	inRotation   bool
	failedChecks int
	prc          *world.Process
	// logs are the logs of its earlier processes.
	logs string
}

// server is one backend server behind a proxy.
type server struct {
	fake    *fakes.Server
	link    *proxy.Link
	service string
	kind    string
	zone    int
	seq     int
	busy    bool
	// leavingSince is when the store recorded that the server leaves or was removed.
	leavingSince time.Time
	// announcedAt is when its responses began to announce that it leaves.
	announcedAt time.Time
	// unannounced are the times between a start and the entry of that start. Nobody can
	// know the server's software then.
	unannounced []span
}

type span struct{ from, to time.Time }

// pools lists the services with the kind and the number of their servers in each
// zone.
var pools = []struct {
	service, kind string
	count         int
}{{"plain", "plain", 1}, {"other", "plain", 1}, {"first", "stage", 1}, {"second", "stage", 1}, {"model", "model", 2}}

// Start starts all processes and fakes and waits until every instance is ready.
func Start(ctx context.Context, opt Options) (*Cluster, error) {
	if err := checkOnly(opt.FaultKinds); err != nil {
		return nil, err
	}
	clu := &Cluster{
		opt: opt, sto: fakes.NewStore(), jou: &fakes.Journal{}, grp: group.New(ctx), servers: map[string]*server{}, faults: map[string]int{},
		cli: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 50, IdleConnTimeout: 5 * time.Second}},
	}
	err := clu.reserveSubnet()
	if err != nil {
		return nil, err
	}
	if clu.storeLink, err = proxy.NewLink(ctx, clu.sto.Address()); err != nil {
		return nil, err
	}
	for _, poo := range pools {
		for num := range len(zones) * poo.count * max(1, opt.ServerFactor) {
			if err := clu.addServer(poo.service, poo.kind, num%len(zones)); err != nil {
				return nil, err
			}
		}
	}
	clu.publishConfig()
	for num := range opt.InstancesPerZone * len(zones) {
		if err := clu.addInstance(num); err != nil {
			return nil, err
		}
	}
	return clu, clu.waitReady(ctx)
}

func (clu *Cluster) waitReady(ctx context.Context) error {
	for _, ins := range clu.instances {
		for end := time.Now().Add(startTimeout); !clu.ready(ctx, ins); sleep(ctx, checkInterval/10) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready:\n%s", ins.boot.Name, ins.prc.Log())
			}
		}
		ins.inRotation = true
	}
	clu.grp.Go(clu.updateRotation)
	return nil
}

// addServer starts a backend server and puts its entry into the store.
func (clu *Cluster) addServer(service, kind string, zone int) error {
	clu.mu.Lock()
	clu.serversMade++
	id := fmt.Sprintf("%s-%d", service, clu.serversMade)
	clu.mu.Unlock()
	fake := fakes.NewServer(id, service, zones[zone], kind, clu.jou)
	lnk, err := proxy.NewLink(clu.grp.Context(), fake.Address())
	if err != nil {
		return err
	}
	fake.SetEntryAddress(lnk.Address(), time.Now())
	clu.drawVersion(fake)
	if kind == "model" {
		fake.SetEventGap(modelEventGap)
	}
	ser := &server{fake: fake, link: lnk, service: service, kind: kind, zone: zone}
	clu.mu.Lock()
	clu.servers[id] = ser
	clu.mu.Unlock()
	clu.putEntry(ser, "ready")
	return nil
}

// drawVersion sets the version of a server's software; mostly two are in use side by side.
func (clu *Cluster) drawVersion(fake *fakes.Server) {
	fake.SetVersion(clu.nextVersion())
	fake.TagEvents()
}

// nextVersion returns the version of the software of the next server that starts.
func (clu *Cluster) nextVersion() string {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.versionsDrawn++
	version := 1 + 2*clu.releases
	if !clu.oneVersion {
		version += clu.versionsDrawn % 2
	}
	return fmt.Sprint("v", version)
}

// putEntry writes a server's entry to the store.
func (clu *Cluster) putEntry(ser *server, state string) {
	ser.seq++
	clu.sto.Put("servers/"+ser.fake.ID, ser.fake.Entry(state, ser.seq))
}

// configChange is one published version of the configuration.
type configChange struct {
	at      time.Time
	service string
}

// publishConfig writes the next version of the configuration, in which the
// repeatable route "often" alternates between the two plain services.
func (clu *Cluster) publishConfig() {
	clu.mu.Lock()
	clu.version++
	num := clu.version
	clu.mu.Unlock()
	often := []string{"plain", "other"}[num%2]
	cfg := fakes.Config{
		Version: 3*num + num%2, Timeout: routeTimeout, MaxAttempts: 2, IdleTimeout: 10 * time.Second, HeaderTimeout: routeTimeout, MaxBody: 2 * longBody, Accounts: apiKeys(),
		Routes: []fakes.Route{
			{Name: "once", Kind: "once", Service: "plain"}, {Name: "often", Kind: "often", Service: often}, {Name: "bare", Kind: "bare", Service: "model"},
			{Name: "llm", Kind: "llm", Service: "model"}, {Name: "resume", Kind: "resume", Service: "model"},
		},
	}
	clu.sto.Put("op/config", cfg.Document())
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.changes = append(clu.changes, configChange{at: time.Now(), service: often})
}

func (clu *Cluster) addInstance(num int) error {
	zone := num % len(zones)
	ip := clu.addrPrefix(zone) + itoa(num/len(zones)+1)
	ins := &instance{zone: zone, settingsFile: filepath.Join(clu.opt.Dir, fmt.Sprintf("entry-%d.yaml", num+1))}
	if num%2 == 1 {
		ins.skewFile = ins.settingsFile + ".skew"
	}
	ins.boot = fakes.InstanceSettings{Name: fmt.Sprintf("entry-%d", num+1), IP: ip, Zone: zones[zone], StoreAddr: clu.storeLink.Address(), Grace: gracePeriod}
	var err error
	if ins.link, err = proxy.NewLink(clu.grp.Context(), ins.boot.PeerAddr()); err != nil {
		return err
	}
	for _, oth := range clu.instances {
		if len(ins.boot.Seeds) < 3 {
			ins.boot.Seeds = append(ins.boot.Seeds, oth.link.Address())
		}
	}
	if err := os.WriteFile(ins.settingsFile, ins.boot.File(), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	clu.instances = append(clu.instances, ins)
	return clu.startProcess(ins)
}

var startLine = regexp.MustCompile(`"msg":"start"`)

// startProcess starts an instance's process.
func (clu *Cluster) startProcess(ins *instance) error {
	path := filepath.Join(clu.opt.Dir, "lovagestream")
	args := []string{"edge", "-settings", ins.settingsFile, "-told", ins.link.Address()}
	if ins.skewFile != "" {
		path = filepath.Join(clu.opt.Dir, "lovagestand")
		args = append([]string{"entry", "-skew", ins.skewFile, "-path", ins.pathFile()}, args[1:]...)
	}
	if clu.opt.MaxProcs > 0 {
		path, args = "/usr/bin/env", append([]string{"GOMAXPROCS=" + itoa(clu.opt.MaxProcs), path}, args...)
	}
	prc, _, err := world.Start(ins.boot.Name, path, args, startLine)
	if err != nil {
		return err
	}
	clu.mu.Lock()
	defer clu.mu.Unlock()
	ins.prc = prc
	return nil
}

// ready checks an instance's readiness as the platform's load balancer does.
func (clu *Cluster) ready(ctx context.Context, ins *instance) bool {
	ctx, cancel := context.WithTimeout(ctx, checkInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ins.boot.ReadyAddr()+"/", nil)
	if err != nil {
		return false
	}
	res, err := clu.cli.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// updateRotation checks all instances until the context ends and updates their inRotation.
func (clu *Cluster) updateRotation(ctx context.Context) error {
	for sleep(ctx, checkInterval) {
		var asked sync.WaitGroup
		for _, ins := range clu.instances {
			asked.Add(1)
			clu.grp.Go(func(ctx context.Context) error {
				defer asked.Done()
				good := clu.ready(ctx, ins)
				clu.mu.Lock()
				defer clu.mu.Unlock()
				ins.failedChecks++
				if good {
					ins.failedChecks = 0
				}
				ins.inRotation = ins.failedChecks < 2
				return nil
			})
		}
		asked.Wait()
	}
	return nil
}

// Stop kills all processes and writes their logs to the directory.
func (clu *Cluster) Stop() {
	for _, ins := range clu.instances {
		ins.prc.Kill()
		path := filepath.Join(clu.opt.Dir, ins.boot.Name+".log")
		if err := os.WriteFile(path, []byte(ins.logs+ins.prc.Log()), 0o600); err != nil {
			fmt.Fprintln(clu.opt.Out, err)
		}
	}
	clu.grp.Stop()
	_ = clu.grp.Wait()
	for _, ser := range clu.servers {
		ser.fake.Close()
	}
	clu.sto.Close()
	_ = clu.subnetLock.Close()
}

// addProblem records a violated guarantee.
func (clu *Cluster) addProblem(form string, args ...any) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.problems = append(clu.problems, fmt.Sprintf(form, args...))
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	return clock.System{}.Sleep(ctx, wait) == nil
}

func itoa(num int) string { return strconv.Itoa(num) }
