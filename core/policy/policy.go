// Package policy defines the interface of interchangeable decision algorithms,
// so that a policy and its baselines can replace each other.
//
// It contains no policy; routing, admission, retries and the monitoring of slow
// streams each define theirs in their own package.
package policy

import (
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// Policy maps a query Q to a decision D. An implementation is safe for use by
// many goroutines at once, reads no clock and draws randomness only from the
// query, so that equal queries on equal state give equal decisions.
type Policy[Q, D any] interface {
	// Name returns the policy's name in settings, reports and tables.
	Name() string
	// Decide returns the decision for a query.
	Decide(qry Q) D
}

// Table holds the policies of one kind by name.
type Table[Q, D any] struct {
	// byName maps each policy's Name to it.
	byName map[string]Policy[Q, D]
}

// NewTable returns a table of the given policies.
func NewTable[Q, D any](pols ...Policy[Q, D]) *Table[Q, D] {
	tab := &Table[Q, D]{byName: map[string]Policy[Q, D]{}}
	for _, pol := range pols {
		tab.byName[pol.Name()] = pol
	}
	return tab
}

// Find returns a policy by name. The error lists the known names.
func (tab *Table[Q, D]) Find(name string) (Policy[Q, D], error) {
	pol, found := tab.byName[name]
	if !found {
		return nil, errors.Errorf("unknown policy %q; known policies: %s", name, strings.Join(tab.Names(), ", "))
	}
	return pol, nil
}

// Names returns the policies' names, sorted.
func (tab *Table[Q, D]) Names() []string {
	names := make([]string, 0, len(tab.byName))
	for name := range tab.byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
