package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spend asks for retries one after the other, sends those that are allowed and returns
// their number.
func spend(win *Window, now time.Time, account string, num int) int {
	allowed := 0
	for range num {
		if win.Reserve(now, "s", account) {
			win.Send(now, "s", account)
			allowed++
		}
	}
	return allowed
}

// All requests of one account fail and are retried without end. The other account
// must still have retries, and both together must stay within the budget.
func TestRetriesOfOneAccountLeaveSomeForOthers(t *testing.T) {
	win := NewWindow(0.2, 10, 10*time.Second)
	for range 90 {
		win.AddRequest(start, "s", "large")
	}
	for range 10 {
		win.AddRequest(start, "s", "small")
	}
	large := spend(win, start, "large", 500)
	small := spend(win, start.Add(time.Second), "small", 4)
	large += spend(win, start.Add(2*time.Second), "large", 500)
	require.Equal(t, 4, small)
	require.GreaterOrEqual(t, large, 14, "most of the budget goes to who needs it")
	require.LessOrEqual(t, large+small, 24)
}

// The limit of a single account is the service's.
func TestRetriesOfASingleAccountUseTheWholeLimit(t *testing.T) {
	for _, account := range []string{"", "only"} {
		win := NewWindow(0.2, 10, 10*time.Second)
		for range 50 {
			win.AddRequest(start, "s", account)
		}
		require.Equal(t, 16, spend(win, start, account, 100))
		require.False(t, win.Allows(start.Add(time.Second), "s", account))
	}
}

// With the division turned off, who asks first gets the retries.
func TestUndividedRetries(t *testing.T) {
	win := NewWindow(0.2, 10, 10*time.Second)
	win.DivideByAccount(false)
	for range 25 {
		win.AddRequest(start, "s", "one")
		win.AddRequest(start, "s", "two")
	}
	require.Equal(t, 16, spend(win, start, "one", 100))
	require.Zero(t, spend(win, start, "two", 5))
}

// A budget of one retry goes to the account that needs it.
func TestSmallLimitIsUsed(t *testing.T) {
	win := NewWindow(0.2, 0, 10*time.Second)
	for range 4 {
		win.AddRequest(start, "s", "one")
		win.AddRequest(start, "s", "two")
	}
	require.Equal(t, 1, spend(win, start, "one", 5))
	require.Zero(t, spend(win, start, "two", 5))
}

// Retries of very many accounts take bounded memory and stay within the budget.
func TestRetriesOfManyAccountsAreBounded(t *testing.T) {
	win := NewWindow(0.2, 0, 10*time.Second)
	allowed := 0
	for num := range 2000 {
		account := time.Duration(num).String()
		win.AddRequest(start, "s", account)
		allowed += spend(win, start, account, 1)
	}
	require.LessOrEqual(t, allowed, 320)
	require.Positive(t, allowed)
	require.LessOrEqual(t, len(win.services["s"].buckets[0].byAccount), maxRetryAccounts+1)
}

// Instances that start one after the other, none of which knows what the others allowed,
// must together stay within the fixed number.
func TestStartsDoNotRenewTheLimit(t *testing.T) {
	const slack = 50
	old := NewWindow(0, slack, 10*time.Second)
	old.SetPart(0.7)
	now := start.Add(time.Hour)
	allowed := spend(old, now, "", 500)
	require.Greater(t, allowed, slack/2)
	for num := range 3 {
		now = now.Add(3 * time.Second)
		win := NewWindow(0, slack, 10*time.Second)
		win.SetPart(0.7)
		win.SetKnownSince(now)
		allowed += spend(win, now, "", 500)
		require.LessOrEqual(t, allowed, slack, "start %d", num+1)
	}
}

// The retries of a service must stay within a ratio and a fixed number.
func TestRetriesStayWithinTheLimit(t *testing.T) {
	win := NewWindow(0.2, 10, 10*time.Second)
	for range 50 {
		win.AddRequest(start, "s", "")
	}
	sent := spend(win, start, "", 100)
	require.LessOrEqual(t, sent, 20)
	require.Positive(t, sent)
	require.False(t, win.Allows(start.Add(time.Second), "s", ""))
	require.True(t, win.Allows(start.Add(15*time.Second), "s", ""))
}

// Retries wait for a server for longer than the window and are then sent at once. They must
// count from then on, and not before they are given up.
func TestRetriesCountWhenTheyAreSent(t *testing.T) {
	win := NewWindow(0, 10, 10*time.Second)
	for range 8 {
		require.True(t, win.Reserve(start, "s", ""))
	}
	now := start.Add(15 * time.Second)
	require.False(t, win.Reserve(now, "s", ""), "all are reserved")
	for range 6 {
		win.Send(now, "s", "")
	}
	win.Unsend(now, "s", "")
	for range 3 {
		win.Release("s", "")
	}
	now = now.Add(9 * time.Second)
	require.Equal(t, 3, spend(win, now, "", 100))
	require.Equal(t, 5, spend(win, now.Add(2*time.Second), "", 100))
}
