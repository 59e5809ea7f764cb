// Package setup reads the settings of an entry instance from a YAML file. It
// validates strictly and reports all faults at once.
package setup

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/schema"
)

// Settings are the settings of one process.
type Settings struct {
	// sourceAddr is an IP address; if empty, the operating system chooses one.
	sourceAddr   string
	instance     string
	zone         string
	callerAddr   string
	operatorAddr string
	operator     Operator
	platformURL  string
	callerLimits CallerLimits
	traces       Traces
	// maxReplySize is the largest reply of a stage, in bytes.
	maxReplySize int64
	logLevel     string
	logFormat    string
	gracePeriod  time.Duration
	peers        Peers
	keys         Keys
	bootFile     string
}

// Instance returns the identity of the entry instance.
func (set *Settings) Instance() string { return set.instance }

// Zone returns the availability zone of the entry instance.
func (set *Settings) Zone() string { return set.zone }

// CallerAddr returns the listen address for callers, as host and port.
func (set *Settings) CallerAddr() string { return set.callerAddr }

// OperatorAddr returns the listen address for operators, as host and port.
func (set *Settings) OperatorAddr() string { return set.operatorAddr }

// PlatformURL returns the base URL of the platform's service.
func (set *Settings) PlatformURL() string { return set.platformURL }

// BootFile returns the path of the configuration that is used at the start while
// neither the platform nor a peer has provided one; empty if there is none.
func (set *Settings) BootFile() string { return set.bootFile }

// MaxReplySize returns the largest reply of one stage, in bytes.
func (set *Settings) MaxReplySize() int64 { return set.maxReplySize }

// LogLevel returns the minimum level of log lines: debug, info, warn or error.
func (set *Settings) LogLevel() string { return set.logLevel }

// LogFormat returns the format of log lines: text or json.
func (set *Settings) LogFormat() string { return set.logFormat }

// GracePeriod returns how long a planned stop waits for requests in progress.
func (set *Settings) GracePeriod() time.Duration { return set.gracePeriod }

// Load reads and validates a settings file. It returns an error if the file can't
// be read, or all faults of its content.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Read(path, data)
}

// Read parses and validates settings. Faults name the given file. It returns all
// faults as one error.
func Read(file string, data []byte) (*Settings, error) {
	set := &Settings{}
	if fas := schema.Read(file, data, set.fill); len(fas) > 0 {
		return nil, fas
	}
	return set, nil
}

// Print returns settings as YAML with every key at its effective value. It can't
// reveal secrets: settings only name the files and variables that contain them.
func Print(file string, data []byte) ([]byte, error) {
	return schema.Print(file, data, new(Settings).fill)
}

// Fields describes all keys for the reference page.
func Fields() []schema.Field {
	return schema.Describe(new(Settings).fill)
}

func (set *Settings) fill(mp *schema.Map) {
	set.instance = mp.Name("instance", "The entry instance's identity, unique in the deployment.")
	set.zone = mp.Name("zone", "The availability zone it runs in.")
	set.sourceAddr = readSourceAddr(mp)
	mp.Sub("callers", func(sub *schema.Map) {
		set.callerAddr = readAddr(sub, "address", "127.0.0.1:0", "Where callers connect.")
		set.callerLimits.fill(sub)
	})
	mp.Sub("operators", func(sub *schema.Map) {
		set.operatorAddr = readAddr(sub, "address", "127.0.0.1:0", "Where operators connect.")
		set.operator.fill(sub, set.operatorAddr)
	})
	mp.Sub("peers", set.peers.fill)
	mp.Sub("keys", set.keys.fill)
	mp.Sub("platform", func(sub *schema.Map) {
		set.platformURL = sub.Text("url", "", "Base URL of the platform's service.", true)
		set.bootFile = sub.Text("boot-file", "", "A configuration to start from; it counts as the lowest revision.", false)
	})
	mp.Sub("backend-servers", func(sub *schema.Map) {
		set.maxReplySize = sub.Size("max-answer", 4<<20, 1<<10, 64<<20, "Largest answer of one stage; a larger one is given up.")
	})
	mp.Sub("traces", set.traces.fill)
	mp.Sub("logs", func(sub *schema.Map) {
		set.logLevel = sub.Choice("level", "Least level written.", "info", "debug", "warn", "error")
		set.logFormat = sub.Choice("format", "How lines are written.", "text", "json")
	})
	mp.Sub("stop", func(sub *schema.Map) {
		set.gracePeriod = sub.Duration("grace", 30*time.Second, 0, 10*time.Minute, "How long a planned stop waits for requests in progress.")
	})
}

// readAddr reads a host and port; the host must be an IP address.
func readAddr(mp *schema.Map, key, initial, doc string) string {
	val := mp.Text(key, initial, doc, false)
	if !isAddr(val) && !mp.Describing() {
		mp.Fault(key, strconv.Quote(val), addrFormat)
	}
	return val
}

const addrFormat = "an IP number and a port, such as 127.0.0.1:8080"

func isAddr(val string) bool {
	host, port, err := net.SplitHostPort(val)
	_, perr := strconv.ParseUint(port, 10, 16)
	return err == nil && perr == nil && net.ParseIP(host) != nil
}
