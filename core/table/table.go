// Package table holds a published configuration: routes from host and path to
// backend services, client accounts with their API keys, services and limits.
// A Table is immutable; a request keeps the one that it started with.
package table

import (
	"slices"
	"sort"
	"strings"
	"time"

	"lovagestream/core/call"
)

// TrafficShare is the weight of one service in a route's traffic.
type TrafficShare struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// DependsOn lists the indices of the stages whose results it needs.
	DependsOn []int
	// ResultSize is the usual size of a result, in bytes.
	ResultSize int64
}

// Route says how requests for a host and a path prefix are served. The fields of
// the types in this package are exported for the decoders that fill them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   call.Kind
	// Timeout is the maximum time that a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a
	// stream, counts as on time.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events that counts as on time;
	// 0 if unset.
	EventGapTarget time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// MaxAttempts is the maximum number of servers on which one attempt of a
	// caller may run.
	MaxAttempts int
	// Shares has at least one entry.
	Shares []TrafficShare
	Stages []Stage
	// AllowAnonymous says that callers need no credential.
	AllowAnonymous bool
	// Resumable says that a stream can be resumed on another server.
	Resumable bool
	// HasPromptParts says that the prompts of requests have parts.
	HasPromptParts bool
}

// AtMostOnce reports whether a request must not run more than once.
func (rou *Route) AtMostOnce() bool {
	return rou.Kind == call.AtMostOnce || rou.Kind == call.Stream && !rou.Resumable
}

// PickService returns the service of a request by weighted choice. The same
// fraction in [0,1) gives the same service as long as the route is unchanged.
func (rou *Route) PickService(fraction float64) string {
	total := 0
	for _, shr := range rou.Shares {
		total += shr.Weight
	}
	left := fraction * float64(total)
	for _, shr := range rou.Shares {
		left -= float64(shr.Weight)
		if left < 0 {
			return shr.Service
		}
	}
	return rou.Shares[len(rou.Shares)-1].Service
}

// Batch describes the batched calls of a service that computes pieces. All
// values are per server.
type Batch struct {
	// ConcurrentCalls is the number of calls that run concurrently, QueuedCalls
	// the number of further calls that may wait.
	ConcurrentCalls int
	QueuedCalls     int
	// MaxPieces is the maximum number of pieces in one call.
	MaxPieces int
	// CallTime is the usual fixed duration of a call, PieceTime the usual
	// additional duration of each piece in it.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemory is the memory for results, in bytes.
	ResultMemory int64
	// ResultLifetime is how long a result is kept.
	ResultLifetime time.Duration
}

// Model describes the servers of a service that runs a model.
type Model struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// CacheTokens is the capacity of the KV cache, in tokens.
	CacheTokens int
}

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one server from all
	// entry instances together.
	MaxConnections int
	// Batch is nil for services that compute no pieces.
	Batch *Batch
	// Model is nil for services that run no model.
	Model *Model
	// ColdStart is how long a server may be slow after its start. ColdStartRate is
	// the rate that it can take until then, in requests per second from all entry
	// instances together; 0 means no limit.
	ColdStart     time.Duration
	ColdStartRate float64
}

// Account is one client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long a caller may take to send the head of a request,
	// IdleTimeout how long a connection may be open without a request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	version  int64
	routes   map[string][]*Route
	services map[string]*Service
	// resumable are the services whose streams can be resumed on another server.
	resumable           map[string]bool
	accountsByKey       map[string]*Account
	limits              Limits
	requiresCredentials bool
}

// New returns a table. Keys maps API keys to accounts; if it is nil, callers
// need no credentials.
func New(version int64, routes []*Route, services []*Service, keys map[string]*Account, limits Limits) *Table {
	tab := &Table{version: version, routes: map[string][]*Route{}, services: map[string]*Service{}, resumable: map[string]bool{}, accountsByKey: keys, limits: limits, requiresCredentials: keys != nil}
	for _, rou := range routes {
		hst := strings.ToLower(rou.Host)
		tab.routes[hst] = append(tab.routes[hst], rou)
		for _, shr := range rou.Shares {
			tab.resumable[shr.Service] = tab.resumable[shr.Service] || rou.Resumable
		}
	}
	for _, rous := range tab.routes {
		sort.SliceStable(rous, func(i, j int) bool { return len(rous[i].Prefix) > len(rous[j].Prefix) })
	}
	for _, svc := range services {
		tab.services[svc.Name] = svc
	}
	return tab
}

// Version returns the version, which increases, not always by 1.
func (tab *Table) Version() int64 { return tab.version }

// RequiresCredentials reports whether callers need credentials, except on
// anonymous routes.
func (tab *Table) RequiresCredentials() bool { return tab.requiresCredentials }

// Limits returns the limits on callers.
func (tab *Table) Limits() Limits { return tab.limits }

// Service returns a service by name, or nil.
func (tab *Table) Service(name string) *Service { return tab.services[name] }

// Resumable reports whether streams of a service can be resumed on another server.
func (tab *Table) Resumable(service string) bool { return tab.resumable[service] }

// EachService calls visit for every service, in no particular order.
func (tab *Table) EachService(visit func(*Service)) {
	for _, svc := range tab.services {
		visit(svc)
	}
}

// HasService reports whether requests of the route may go to a service.
func (rou *Route) HasService(name string) bool {
	return slices.ContainsFunc(rou.Shares, func(shr TrafficShare) bool { return shr.Service == name })
}

// ShortestLatencyTarget returns the shortest LatencyTarget of the routes that have one,
// or 0.
func (tab *Table) ShortestLatencyTarget() time.Duration {
	shortest := time.Duration(0)
	for _, rous := range tab.routes {
		for _, rou := range rous {
			if tgt := rou.LatencyTarget; tgt > 0 && (shortest == 0 || tgt < shortest) {
				shortest = tgt
			}
		}
	}
	return shortest
}

// EventGapTarget returns the shortest EventGapTarget of the routes to a service,
// or 0 if none has one.
func (tab *Table) EventGapTarget(service string) time.Duration {
	least := time.Duration(0)
	for _, rous := range tab.routes {
		for _, rou := range rous {
			for _, shr := range rou.Shares {
				if shr.Service == service && rou.EventGapTarget > 0 && (least == 0 || rou.EventGapTarget < least) {
					least = rou.EventGapTarget
				}
			}
		}
	}
	return least
}

// Match returns the route of a host with the longest matching path prefix, or
// nil. The path is compared as sent, not decoded, since servers get the same
// bytes.
func (tab *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, named := tab.routes[host]
	if !named {
		list = tab.routes[withoutPort(host)]
	}
	for _, rou := range list {
		if strings.HasPrefix(path, rou.Prefix) {
			return rou
		}
	}
	return nil
}

// withoutPort returns a host without its port.
func withoutPort(host string) string {
	name, port, found := strings.Cut(host, ":")
	if !found || strings.Trim(port, "0123456789") != "" {
		return host
	}
	return name
}

// Account returns the account of a credential, or nil. The second result is
// false if the route requires an account and the credential is unknown.
// Anonymous routes accept unknown credentials without an account.
func (tab *Table) Account(rou *Route, credential string) (*Account, bool) {
	if !tab.requiresCredentials {
		return nil, true
	}
	acc := tab.accountsByKey[credential]
	if credential == "" {
		acc = nil
	}
	return acc, acc != nil || rou.AllowAnonymous
}
