// Package world runs a deployment as real processes for integration and soak
// tests: entry instances, backend servers and the platform, connected through
// the fault proxy. It sends requests as callers do and records the answers.
//
// It starts programs of the project; only tests and tools use it.
package world

import (
	"bytes"
	_ "embed" // for the document
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/io/watch"
	"lovagestream/stand/plat"
	"lovagestream/stand/proxy"
)

// initialDocument is the configuration that every deployment starts with.
//
//go:embed world.yaml
var initialDocument string

// zoneSource holds the prefix of the IP addresses from which a zone's entry
// instances connect. The proxy's rules distinguish zones by it.
var zoneSource = map[string]string{"zone-a": "127.0.1.", "zone-b": "127.0.2.", "zone-c": "127.0.3."}

// StateTimeout bounds every wait for a state. It is long, so that no result
// depends on the machine's speed.
const StateTimeout = 60 * time.Second

// Deployment is a running deployment. Its methods must be called from one
// goroutine, except those that send requests and return answers, which are safe
// for concurrent use.
type Deployment struct {
	// dir holds settings and journals, bin the programs.
	dir, bin string
	// document is the configuration last published, under revision.
	document string
	revision int
	doc      *config.Document

	platform *Process
	proxy    *Process
	// platformURL and proxyURL are the control addresses of the two. Entry
	// instances reach the platform over a link of their own.
	platformURL string
	proxyURL    string
	// order holds the names of the listed instances in the order of their start.
	order []string

	mu        sync.Mutex
	instances map[string]*Instance
	calls     map[string]*call
}

// New starts the proxy and the platform and publishes the initial configuration.
// Settings and journals are written to dir; the programs are in bin.
func New(dir, bin string) (*Deployment, error) {
	dep := &Deployment{dir: dir, bin: bin, document: initialDocument, revision: 1, instances: map[string]*Instance{}, calls: map[string]*call{}}
	var err error
	if dep.doc, err = config.Read("world.yaml", []byte(initialDocument)); err != nil {
		return nil, err
	}
	if err := os.WriteFile(dep.secretsPath(), []byte("first:the-secret-of-every-world\n"), 0o600); err != nil {
		return nil, err
	}
	var got []string
	if dep.proxy, got, err = dep.startStandIn("proxy", "proxy"); err != nil {
		return nil, err
	}
	dep.proxyURL = "http://" + got[1]
	if dep.platform, got, err = dep.startStandIn("platform", "platform"); err != nil {
		dep.Close()
		return nil, err
	}
	dep.platformURL = "http://" + got[1]
	return dep, dep.publish()
}

// secretsPath returns the path of the file with the secrets of idempotency keys.
func (dep *Deployment) secretsPath() string { return filepath.Join(dep.dir, "secrets") }

var listeningLine = regexp.MustCompile(`^listening (\S+)`)

// startStandIn starts a command of lovagestand and waits until it listens.
func (dep *Deployment) startStandIn(name string, args ...string) (*Process, []string, error) {
	return Start(name, filepath.Join(dep.bin, "lovagestand"), args, listeningLine)
}

// Close ends every process.
func (dep *Deployment) Close() {
	for _, ins := range dep.Instances() {
		ins.prc.Kill()
	}
	for _, prc := range []*Process{dep.platform, dep.proxy} {
		if prc != nil {
			prc.Kill()
		}
	}
}

// Config returns the initial configuration. Later ones have the same pools and
// pipelines.
func (dep *Deployment) Config() *config.Document { return dep.doc }

// Logs returns the end of every listed instance's output.
func (dep *Deployment) Logs() string {
	const tail = 4000
	var buf strings.Builder
	for _, name := range dep.order {
		txt := dep.instances[name].prc.Log()
		fmt.Fprintf(&buf, "--- %s\n%s", name, txt[max(0, len(txt)-tail):])
	}
	return buf.String()
}

func post(url string, bod []byte) ([]byte, error) {
	res, err := http.Post(url, "application/json", bytes.NewReader(bod))
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode/100 != 2 {
		err = errors.Errorf("%s: %s: %s", url, res.Status, raw)
	}
	return raw, err
}

func (dep *Deployment) publish() error {
	_, err := post(dep.platformURL+plat.PathPublish, []byte(dep.document))
	return err
}

// PublishChange sets one of the configuration's top-level keys and publishes it
// under the next revision.
func (dep *Deployment) PublishChange(key, value string) error {
	dep.revision++
	dep.setKey("revision", fmt.Sprint(dep.revision))
	dep.setKey(key, value)
	return dep.publish()
}

// PublishSameRevision publishes a changed configuration under the current
// revision, which operators must not do.
func (dep *Deployment) PublishSameRevision(key, value string) error {
	dep.setKey(key, value)
	return dep.publish()
}

func (dep *Deployment) setKey(key, value string) {
	line := regexp.MustCompile(`(?m)^` + key + `: .*$`)
	dep.document = line.ReplaceAllString(dep.document, key+": "+value)
}

// publishList publishes the instance list, in the order in which the instances
// started.
func (dep *Deployment) publishList() error {
	bod := watch.ListBody{}
	for _, name := range dep.order {
		bod.Instances = append(bod.Instances, dep.instances[name].row)
	}
	raw, err := json.Marshal(bod)
	if err != nil {
		return err
	}
	_, err = post(dep.platformURL+plat.PathList, raw)
	return err
}

// MarkLeaving marks an instance as leaving in the instance list.
func (dep *Deployment) MarkLeaving(name string) error {
	ins, err := dep.Instance(name)
	if err != nil {
		return err
	}
	ins.row.State = "leaving"
	return dep.publishList()
}

// Unlist removes an instance from the instance list.
func (dep *Deployment) Unlist(name string) error {
	for i, nam := range dep.order {
		if nam == name {
			dep.order = append(dep.order[:i], dep.order[i+1:]...)
			return dep.publishList()
		}
	}
	return errors.Errorf("no instance %s", name)
}

// SetPlatformMode sets the platform's mode: up, down, or stale. A stale platform
// serves the configuration published back documents ago.
func (dep *Deployment) SetPlatformMode(mode string, back int) error {
	_, err := post(fmt.Sprintf("%s%s?mode=%s&back=%d", dep.platformURL, plat.PathMode, mode, back), nil)
	return err
}

// setLink creates a link of the proxy, or changes its target, and returns its
// address.
func (dep *Deployment) setLink(name, target string) (string, error) {
	raw, err := json.Marshal(proxy.LinkBody{Name: name, Target: target})
	if err != nil {
		return "", err
	}
	raw, err = post(dep.proxyURL+proxy.PathLinks, raw)
	if err != nil {
		return "", err
	}
	var bod proxy.LinkBody
	err = json.Unmarshal(raw, &bod)
	return bod.Address, err
}

// SetFaults replaces the rules of the link to an instance. zone, unless empty,
// limits them to connections from that availability zone.
func (dep *Deployment) SetFaults(name, zone string, rules ...proxy.Rule) error {
	for i := range rules {
		rules[i].Source = zoneSource[zone]
	}
	return dep.setRules(name, rules)
}

func (dep *Deployment) setRules(name string, rules []proxy.Rule) error {
	raw, err := json.Marshal(proxy.LinkBody{Name: name, Rules: rules})
	if err != nil {
		return err
	}
	_, err = post(dep.proxyURL+proxy.PathRules, raw)
	return err
}

// platformLink returns the name of the link over which an entry instance reaches
// the platform.
func platformLink(name string) string { return name + "-platform" }

// IsolateZone cuts off an availability zone from the others in both directions
// and, if requested, from the platform.
func (dep *Deployment) IsolateZone(zone string, platform bool) error {
	for _, name := range dep.order {
		ins := dep.instances[name]
		var rules []proxy.Rule
		for other, source := range zoneSource {
			if (ins.zone == zone) != (other == zone) {
				rules = append(rules, proxy.Rule{Mode: proxy.Cut, Source: source})
			}
		}
		if err := dep.setRules(name, rules); err != nil {
			return err
		}
		if platform && ins.zone == zone && ins.IsEntry() {
			if err := dep.setRules(platformLink(name), []proxy.Rule{{Mode: proxy.Cut}}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Heal removes all faults from all links.
func (dep *Deployment) Heal() error {
	for _, name := range dep.order {
		if err := dep.setRules(name, nil); err != nil {
			return err
		}
		if dep.instances[name].IsEntry() {
			if err := dep.setRules(platformLink(name), nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// WaitFor polls a condition until it holds or StateTimeout has passed. The error
// contains the last state that holds returned.
func WaitFor(what string, holds func() (bool, string)) error {
	end := time.Now().Add(StateTimeout)
	last := ""
	for time.Now().Before(end) {
		ok, now := holds()
		if ok {
			return nil
		}
		last = now
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("waiting for %s timed out; last state: %s", what, last)
}
