// Package edge puts one entry instance on a published platform together: the
// control thread with what the instance knows, the links to others, the reading
// of the store, the callers' listener and the life cycle.
package edge

import "time"

// Settings are those of one process. The fields are exported because a decoder
// of the platform's file fills them.
type Settings struct {
	Name string
	IP   string
	Zone string
	// Callers, Ready, Peers and Metrics are addresses to listen on; Metrics may
	// be empty.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// Told is what the others know this instance by and reach it at.
	Told string
	// Seeds are peers' addresses; some may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Share is in thousandths of a core, Memory in bytes.
	Share  int
	Memory int64
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// The budget of requests that are sent once more: a share of a service's
	// requests in a window, and a number on top.
	RepeatRatio  float64
	RepeatSlack  int
	RepeatWindow time.Duration
}
