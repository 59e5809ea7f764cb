package runner

import (
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/admit"
	"lovagestream/core/pace"
	"lovagestream/core/policy"
	"lovagestream/core/retry"
	"lovagestream/core/route"
)

// Policies is the set of policies of a runner. Policies have state, so each
// runner needs its own value. The With methods return a changed copy.
type Policies struct {
	rou route.Policy
	adm admit.Policy
	ret retry.Policy
	// hed decides on slow plain calls, slo on slow streams.
	hed pace.Policy
	slo pace.Policy
}

// NewPolicies returns the default policies of an entry instance.
func NewPolicies() Policies {
	return Policies{
		rou: route.NewFinish(),
		adm: admit.Finish{},
		ret: retry.NewBudget(),
		hed: pace.Percentile{},
		slo: pace.Progress{},
	}
}

// WithRoute sets the policy that chooses servers.
func (pols Policies) WithRoute(rou route.Policy) Policies {
	pols.rou = rou
	return pols
}

// WithAdmit sets the policy that admits requests and stages.
func (pols Policies) WithAdmit(adm admit.Policy) Policies {
	pols.adm = adm
	return pols
}

// WithRetry sets the policy that decides on retries and hedges.
func (pols Policies) WithRetry(ret retry.Policy) Policies {
	pols.ret = ret
	return pols
}

// WithHedge sets the policy for slow plain calls.
func (pols Policies) WithHedge(hed pace.Policy) Policies {
	pols.hed = hed
	return pols
}

// WithStreamPace sets the policy for slow streams.
func (pols Policies) WithStreamPace(slo pace.Policy) Policies {
	pols.slo = slo
	return pols
}

// fixedTimeout is the timeout of the baseline policy that migrates streams by
// elapsed time alone.
const fixedTimeout = 3 * time.Second

// policyKind is one kind of policy, whose policies can be set by name.
type policyKind struct {
	names func() []string
	set   func(pols Policies, name string) (Policies, error)
}

func newPolicyKind[A, V any](tab *policy.Table[A, V], set func(Policies, policy.Policy[A, V]) Policies) policyKind {
	return policyKind{
		names: tab.Names,
		set: func(pols Policies, name string) (Policies, error) {
			pol, err := tab.Find(name)
			if err != nil {
				return pols, err
			}
			return set(pols, pol), nil
		},
	}
}

// policyKinds returns new instances of all policies, so that none is shared
// between runners.
func policyKinds() map[string]policyKind {
	return map[string]policyKind{
		"route": newPolicyKind(policy.NewTable[route.Query, *route.Server](route.Random{}, route.NewRoundRobin(), route.LeastInflight{}, route.TwoChoices{}, route.NewFinish()), Policies.WithRoute),
		"admit": newPolicyKind(policy.NewTable[admit.Query, admit.Decision](admit.None{}, admit.Finish{}), Policies.WithAdmit),
		"retry": newPolicyKind(policy.NewTable[retry.Query, bool](retry.Fixed{}, retry.NewBudget()), Policies.WithRetry),
		"hedge": newPolicyKind(policy.NewTable[pace.CallState, pace.Decision](pace.Off{}, pace.Percentile{}), Policies.WithHedge),
		"slow":  newPolicyKind(policy.NewTable[pace.CallState, pace.Decision](pace.Off{}, pace.NewTimeout(fixedTimeout), pace.Percentile{}, pace.Progress{}), Policies.WithStreamPace),
	}
}

// With sets one policy by its kind and name, as in With("route", "random"). The
// error for an unknown kind or name lists the known ones.
func (pols Policies) With(kind, name string) (Policies, error) {
	all := policyKinds()
	knd, found := all[kind]
	if !found {
		return pols, errors.Errorf("unknown kind of policy %q, must be one of %s", kind, strings.Join(PolicyKinds(), ", "))
	}
	return knd.set(pols, name)
}

// Names returns the name of the current policy of each kind.
func (pols Policies) Names() map[string]string {
	return map[string]string{
		"route": pols.rou.Name(),
		"admit": pols.adm.Name(),
		"retry": pols.ret.Name(),
		"hedge": pols.hed.Name(),
		"slow":  pols.slo.Name(),
	}
}

// PolicyKinds returns the kinds of policies, sorted.
func PolicyKinds() []string {
	all := policyKinds()
	kinds := make([]string, 0, len(all))
	for kind := range all {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}

// PolicyNames returns the names of the policies of a kind, sorted. It is nil
// for an unknown kind.
func PolicyNames(kind string) []string {
	knd, found := policyKinds()[kind]
	if !found {
		return nil
	}
	return knd.names()
}
