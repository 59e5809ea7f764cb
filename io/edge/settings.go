// Package edge assembles one entry instance on a published platform: the control
// thread with the instance's state, the links to its peers, the reader of the
// store, the listener for callers and the life cycle of the process.
package edge

import "time"

// Settings are the settings of one process. The fields are exported because a
// decoder of the platform's settings file fills them.
type Settings struct {
	Name string
	IP   string
	Zone string
	// Zones is the number of zones of the deployment; 0 if the settings don't name them.
	Zones int
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are listen addresses.
	// MetricsAddr may be empty, which serves no metrics.
	CallerAddr  string
	ReadyAddr   string
	PeerAddr    string
	MetricsAddr string
	// AdvertisedAddr is the address at which peers reach this instance, and its
	// name among them.
	AdvertisedAddr string
	// Seeds are addresses of peers; some may be stale.
	Seeds []string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// MilliCPU is the processor share in thousandths of a core, Memory is in
	// bytes.
	MilliCPU int
	Memory   int64
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// The retry budget: a share of a service's requests within a window, and a
	// fixed number on top.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// UndividedAccounts turns the division between client accounts off.
	UndividedAccounts bool
	// AccountMetrics is the number of client accounts that metrics name; the
	// others are added up.
	AccountMetrics int
}
