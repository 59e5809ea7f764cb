package world

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/watch"
	"lovagestream/stand/audit"
)

// Instance is one entry instance or backend server, reached over a link of the
// proxy.
type Instance struct {
	prc  *Process
	zone string
	row  watch.InstanceBody
	// callerAddr and operatorAddr are the listen addresses of an entry instance;
	// empty for a backend server.
	callerAddr   string
	operatorAddr string
	// directAddr is a backend server's own address, which bypasses the proxy.
	directAddr string
	journal    string
	// markedCalls is the number of calls in the journal at the last mark.
	markedCalls int
}

// Process returns the process that runs it.
func (ins *Instance) Process() *Process { return ins.prc }

// IsEntry reports whether it is an entry instance.
func (ins *Instance) IsEntry() bool { return ins.callerAddr != "" }

// Pool returns a backend server's pool.
func (ins *Instance) Pool() string { return ins.row.Pool }

// OperatorAddr returns the address of an entry instance's listener for operators.
func (ins *Instance) OperatorAddr() string { return ins.operatorAddr }

// Instance returns an instance by name.
func (dep *Deployment) Instance(name string) (*Instance, error) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	ins := dep.instances[name]
	if ins == nil {
		return nil, errors.Errorf("no instance %s", name)
	}
	return ins, nil
}

// Instances returns every instance that was ever started, by name.
func (dep *Deployment) Instances() map[string]*Instance {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return maps.Clone(dep.instances)
}

// StartBackend starts a backend server with additional flags and adds it to the
// instance list.
func (dep *Deployment) StartBackend(name, pool, zone string, flags ...string) error {
	poo := dep.doc.Pool(pool)
	if poo == nil || zoneSource[zone] == "" {
		return errors.Errorf("backend %s: no pool %s or zone %s", name, pool, zone)
	}
	journal := filepath.Join(dep.dir, name+".journal")
	args := append([]string{"backend", "-id", name, "-kind", string(poo.Kind()), "-journal", journal}, flags...)
	prc, got, err := dep.startStandIn(name, args...)
	if err != nil {
		return err
	}
	adr, err := dep.setLink(name, got[1])
	if err != nil {
		return err
	}
	return dep.addInstance(name, &Instance{
		prc:        prc,
		zone:       zone,
		directAddr: got[1],
		journal:    journal,
		row:        watch.InstanceBody{ID: name, Role: "backend", Address: adr, Zone: zone, Pool: pool, State: "live"},
	})
}

func (dep *Deployment) addInstance(name string, ins *Instance) error {
	dep.mu.Lock()
	dep.instances[name] = ins
	dep.mu.Unlock()
	dep.order = append(dep.order, name)
	return dep.publishList()
}

// settingsTemplate is the settings file of an entry instance. Its connections
// originate from its zone's source address. It reaches the platform, and its
// peers reach it, over links of the proxy.
const settingsTemplate = `instance: %[1]s
zone: %[2]s
source-address: %[3]s1
operators:
  open: true
platform:
  url: http://%[4]s
peers:
  address: 127.0.0.1:0
  advertised-address: %[5]s
  seeds: [%[6]s]
keys:
  secrets-file: %[7]s
logs:
  format: json
  level: debug
`

var servingLine = regexp.MustCompile(`"callers":"([^"]+)".*"operators":"([^"]+)".*"peers":"([^"]+)"`)

// StartEntry starts an entry instance and adds it to the instance list. The seeds
// are the entry instances that it contacts when the platform is down.
func (dep *Deployment) StartEntry(name, zone string, seeds ...string) error {
	platform, err := dep.setLink(platformLink(name), strings.TrimPrefix(dep.platformURL, "http://"))
	if err != nil {
		return err
	}
	adr, err := dep.setLink(name, "")
	if err != nil {
		return err
	}
	var addresses []string
	for _, sed := range seeds {
		ins, err := dep.Instance(sed)
		if err != nil {
			return err
		}
		addresses = append(addresses, ins.row.Address)
	}
	path := filepath.Join(dep.dir, name+".yaml")
	txt := fmt.Sprintf(settingsTemplate, name, zone, zoneSource[zone], platform, adr, strings.Join(addresses, ", "), dep.secretsPath())
	if err := os.WriteFile(path, []byte(txt), 0o600); err != nil {
		return err
	}
	prc, got, err := Start(name, filepath.Join(dep.bin, "lovagestream"), []string{"serve", "-settings", path}, servingLine)
	if err != nil {
		return err
	}
	if _, err := dep.setLink(name, got[3]); err != nil {
		return err
	}
	return dep.addInstance(name, &Instance{
		prc:          prc,
		zone:         zone,
		callerAddr:   got[1],
		operatorAddr: got[2],
		row:          watch.InstanceBody{ID: name, Role: "entry", Address: adr, Zone: zone, State: "live"},
	})
}

// WaitReady waits until an entry instance admits requests.
func (dep *Deployment) WaitReady(name string) error {
	ins, err := dep.Instance(name)
	if err != nil {
		return err
	}
	return WaitFor(name+" ready", func() (bool, string) {
		res, err := http.Get("http://" + ins.operatorAddr + "/readyz")
		if err != nil {
			return false, err.Error()
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK, res.Status
	})
}

// SetSwitches sets a backend server's test switches, given as JSON.
func (dep *Deployment) SetSwitches(name, switches string) error {
	ins, err := dep.Instance(name)
	if err == nil {
		_, err = post("http://"+ins.directAddr+"/control", []byte(switches))
	}
	return err
}

// MarkJournal records how many calls a backend server's journal has.
func (dep *Deployment) MarkJournal(name string) error {
	ins, err := dep.Instance(name)
	if err != nil {
		return err
	}
	rans, err := readJournal(ins.journal)
	ins.markedCalls = len(rans)
	return err
}

// CallsSinceMark returns how many calls a backend server received since the mark,
// by the entry instance that the caller used.
func (dep *Deployment) CallsSinceMark(name string) (map[string]int, error) {
	ins, err := dep.Instance(name)
	if err != nil {
		return nil, err
	}
	rans, err := readJournal(ins.journal)
	if err != nil {
		return nil, err
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	from := map[string]int{}
	for _, ran := range rans[ins.markedCalls:] {
		entry := "unknown"
		if cal := dep.calls[ran.RequestID()]; cal != nil {
			entry = cal.entry
		}
		from[entry]++
	}
	return from, nil
}

// ReadJournals reads the journals of all backend servers. They are files, so that
// the journals of killed servers can be read too.
func (dep *Deployment) ReadJournals() ([]audit.StageRun, error) {
	var rans []audit.StageRun
	for name, ins := range dep.Instances() {
		if ins.journal == "" {
			continue
		}
		got, err := readJournal(ins.journal)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		rans = append(rans, got...)
	}
	return rans, nil
}

// readJournal reads a backend server's journal, one JSON object a line. A run
// is recorded when it starts and again when its reply is complete.
func readJournal(path string) ([]audit.StageRun, error) {
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	type run struct {
		began time.Time
		whole bool
	}
	runs := map[string]run{}
	var calls []string
	for _, line := range strings.Split(string(raw), "\n") {
		var bod struct {
			Call  string    `json:"call"`
			Began time.Time `json:"began"`
			Whole bool      `json:"whole"`
		}
		// A killed server may leave a truncated last line.
		if json.Unmarshal([]byte(line), &bod) != nil || bod.Call == "" {
			continue
		}
		got, known := runs[bod.Call]
		if !known {
			calls = append(calls, bod.Call)
			got.began = bod.Began
		}
		got.whole = got.whole || bod.Whole
		runs[bod.Call] = got
	}
	rans := make([]audit.StageRun, len(calls))
	for i, cal := range calls {
		rans[i] = audit.NewStageRun(cal, runs[cal].began, runs[cal].whole)
	}
	return rans, nil
}

// acceptedLine is the message that an entry instance logs when a configuration
// takes effect.
const acceptedLine = "control: Accepted a configuration."

// auditRevisions checks the configuration revisions that each entry instance,
// killed ones included, logged as accepted.
func (dep *Deployment) auditRevisions(rep audit.Report) (audit.Report, error) {
	accepted := 0
	for name, ins := range dep.Instances() {
		if !ins.IsEntry() {
			continue
		}
		revisions := acceptedRevisions(ins.prc.Log())
		accepted += len(revisions)
		rep = rep.CheckRevisions(name, revisions)
	}
	if accepted == 0 {
		return rep, errors.New("no entry instance logged an accepted configuration; the log message may have changed")
	}
	return rep, nil
}

func acceptedRevisions(log string) []uint64 {
	var revisions []uint64
	for _, line := range strings.Split(log, "\n") {
		var bod struct {
			Msg      string `json:"msg"`
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &bod) == nil && bod.Msg == acceptedLine {
			revisions = append(revisions, bod.Revision)
		}
	}
	return revisions
}
