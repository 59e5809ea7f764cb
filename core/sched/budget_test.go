package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spend asks for retries one after the other and returns how many were allowed.
func spend(bud *RetryBudget, now time.Time, account string, num int) int {
	allowed := 0
	for range num {
		bud.Count(now, "s", account, true)
		if bud.Allow(now, "s", account) {
			allowed++
			continue
		}
		bud.Deny(now, "s", account)
	}
	return allowed
}

// All requests of one account fail and are retried without end. The other account
// must still have retries, and both together must stay within the budget.
func TestRetriesOfOneAccountLeaveSomeForOthers(t *testing.T) {
	bud := NewRetryBudget(0.2, 10, 10*time.Second)
	for range 90 {
		bud.Count(start, "s", "large", false)
	}
	for range 10 {
		bud.Count(start, "s", "small", false)
	}
	large := spend(bud, start, "large", 500)
	small := spend(bud, start.Add(time.Second), "small", 4)
	large += spend(bud, start.Add(2*time.Second), "large", 500)
	require.Equal(t, 4, small)
	require.GreaterOrEqual(t, large, 14, "most of the budget goes to who needs it")
	require.LessOrEqual(t, large+small, 24)
}

// The budget of a single account is the service's, and denied retries count.
func TestRetriesOfASingleAccountUseTheWholeBudget(t *testing.T) {
	for _, account := range []string{"", "only"} {
		bud := NewRetryBudget(0.2, 10, 10*time.Second)
		for range 50 {
			bud.Count(start, "s", account, false)
		}
		require.Equal(t, 16, spend(bud, start, account, 100))
		require.False(t, bud.Allow(start.Add(time.Second), "s", account))
	}
}

// With the division turned off, who asks first gets the retries.
func TestUndividedRetryBudget(t *testing.T) {
	bud := NewRetryBudget(0.2, 10, 10*time.Second)
	bud.DivideByAccount(false)
	for range 25 {
		bud.Count(start, "s", "one", false)
		bud.Count(start, "s", "two", false)
	}
	require.Equal(t, 16, spend(bud, start, "one", 100))
	require.Zero(t, spend(bud, start, "two", 5))
}

// A budget of one retry goes to the account that needs it.
func TestSmallBudgetIsUsed(t *testing.T) {
	bud := NewRetryBudget(0.2, 0, 10*time.Second)
	for range 4 {
		bud.Count(start, "s", "one", false)
		bud.Count(start, "s", "two", false)
	}
	require.Equal(t, 1, spend(bud, start, "one", 5))
	require.Zero(t, spend(bud, start, "two", 5))
}

// Retries of very many accounts take bounded memory and stay within the budget.
func TestRetriesOfManyAccountsAreBounded(t *testing.T) {
	bud := NewRetryBudget(0.2, 0, 10*time.Second)
	allowed := 0
	for num := range 2000 {
		account := time.Duration(num).String()
		bud.Count(start, "s", account, false)
		allowed += spend(bud, start, account, 1)
	}
	require.LessOrEqual(t, allowed, 320)
	require.Positive(t, allowed)
	require.LessOrEqual(t, len(bud.buckets["s"][0].byAccount), maxRetryAccounts+1)
}

// Instances that start one after the other, none of which knows what the others allowed,
// must together stay within the fixed number.
func TestStartsDoNotRenewTheRetryBudget(t *testing.T) {
	const slack = 50
	old := NewRetryBudget(0, slack, 10*time.Second)
	old.SetShare(0.7)
	now := start.Add(time.Hour)
	allowed := spend(old, now, "", 500)
	require.Greater(t, allowed, slack/2)
	for num := range 3 {
		now = now.Add(3 * time.Second)
		bud := NewRetryBudget(0, slack, 10*time.Second)
		bud.SetShare(0.7)
		bud.SetKnownSince(now)
		allowed += spend(bud, now, "", 500)
		require.LessOrEqual(t, allowed, slack, "start %d", num+1)
	}
}

// A coordinator must count what the one before it has allowed, in the time that is left of
// the window, and have all of the budget after that.
func TestNextCoordinatorInheritsTheRetryBudget(t *testing.T) {
	old := NewRetryBudget(0.2, 20, 10*time.Second)
	now := start.Add(time.Hour)
	for range 100 {
		old.Count(now, "s", "", false)
	}
	limit := spend(old, now, "", 500)
	require.Equal(t, 32, limit)
	for num := range 5 {
		now = now.Add(time.Second)
		counts, known := old.History(now)
		next := NewRetryBudget(0.2, 20, 10*time.Second)
		next.SetKnownSince(now)
		next.Inherit(now, counts, known)
		require.Zero(t, spend(next, now, "", 500), "coordinator %d", num+2)
		old = next
	}
	now = now.Add(11 * time.Second)
	require.Equal(t, 16, spend(old, now, "", 500))
}
