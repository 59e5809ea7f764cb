package admin

import (
	"time"

	"lovagestream/io/meter"
)

// Status is the response to GET /v1/status: the state of one entry instance and its
// view of the others.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"availability-zone"`
	// At is the time of the snapshot by the instance's clock.
	At       time.Time `json:"at"`
	Ready    bool      `json:"ready"`
	Stopping bool      `json:"stopping"`
	// Revision and Preset are those in force; 0 and empty before the first
	// configuration.
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// FromBootFile reports whether the configuration came from the boot file.
	FromBootFile bool           `json:"boot"`
	ListRevision uint64         `json:"list-revision"`
	Duties       []string       `json:"duties"`
	Members      []MemberBody   `json:"members"`
	Servers      []ServerBody   `json:"backend-servers"`
	Accounts     []ContractBody `json:"contracts"`
	Refused      []RefusalBody  `json:"refused-documents"`
	Keys         KeysBody       `json:"idempotency-keys"`
	// CrashReports is the number of requests that were in flight at servers that
	// crashed.
	CrashReports int `json:"crash-marks"`
	// MaxCrashes is the highest number of servers that crashed with the same request in
	// flight.
	MaxCrashes int `json:"most-deaths-of-a-request"`
	// Costs is the cost of stages since the instance started.
	Costs meter.CostTree `json:"cost-by-stage"`
}

// MemberBody describes another entry instance.
type MemberBody struct {
	ID       string `json:"instance"`
	Zone     string `json:"availability-zone"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Linked   bool   `json:"linked"`
	// SilentMS is the time since its last message in milliseconds; -1 if none came.
	SilentMS int64 `json:"silent-ms"`
}

// ServerBody describes a backend server.
type ServerBody struct {
	ID       string `json:"backend-server"`
	Pool     string `json:"pool"`
	Zone     string `json:"availability-zone"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Inflight int64  `json:"own-calls-in-flight"`
	// Running and Waiting are from its last load report; -1 if none came.
	Running int `json:"reported-running"`
	Waiting int `json:"reported-waiting"`
}

// ContractBody describes a client account's contract and its use at this instance.
type ContractBody struct {
	Account     string  `json:"client-account"`
	Class       string  `json:"class"`
	Rate        float64 `json:"rate"`
	Concurrency int     `json:"concurrency"`
	Tokens      float64 `json:"tokens"`
	// Share is this instance's share of the contract, from 0 to 1.
	Share      float64 `json:"share"`
	UsedRate   float64 `json:"used-rate"`
	Running    int     `json:"running"`
	UsedTokens float64 `json:"used-tokens"`
}

// RefusalBody describes a configuration document that was rejected.
type RefusalBody struct {
	Source   string    `json:"source"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Error    string    `json:"error"`
}

// KeysBody counts the records kept for idempotency keys and their size in bytes.
type KeysBody struct {
	Bound int `json:"bound"`
	Live  int `json:"live"`
	Past  int `json:"past"`
	Bytes int `json:"bytes"`
}
