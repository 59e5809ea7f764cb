package entry

import (
	"sync"
	"time"

	"lovagestream/core/retry"
)

// retries are the limits on what this instance sends again, shared by all its requests.
type retries struct {
	mu     sync.Mutex
	win    *retry.Window
	limits RetryLimits
	// started is when the instance started. It doesn't know what an earlier process sent.
	started time.Time
}

// window returns the window for the limits in force. The caller holds the lock.
func (ret *retries) window(viw *View) *retry.Window {
	lim := viw.Retries
	if ret.win == nil || ret.limits.Ratio != lim.Ratio || ret.limits.Slack != lim.Slack || ret.limits.Window != lim.Window {
		ret.win = retry.NewWindow(lim.Ratio, lim.Slack, lim.Window)
		ret.win.SetKnownSince(ret.started)
	}
	ret.limits = lim
	ret.win.SetPart(lim.Part)
	ret.win.DivideByAccount(!viw.UndividedAccounts)
	return ret.win
}

// usage returns the usage of all services.
func (ret *retries) usage(now time.Time) map[string]retry.Usage {
	ret.mu.Lock()
	defer ret.mu.Unlock()
	if ret.win == nil {
		return nil
	}
	return ret.win.Usage(now)
}

// RetryUsage returns how much of its limit of retries each service has used in the last
// window, at this instance.
func (srv *Server) RetryUsage() map[string]retry.Usage { return srv.ret.usage(srv.clk.Now()) }

// withRetries calls fun with the window of retries, under the lock.
func (arq *activeRequest) withRetries(fun func(now time.Time, win *retry.Window, service, account string)) {
	ret := &arq.srv.ret
	ret.mu.Lock()
	defer ret.mu.Unlock()
	fun(arq.srv.clk.Now(), ret.window(arq.viw), arq.service, arq.account())
}

// countRequest counts the request, which raises the limit of retries.
func (arq *activeRequest) countRequest() {
	arq.withRetries(func(now time.Time, win *retry.Window, service, account string) {
		win.AddRequest(now, service, account)
	})
}

// reserveRetry reports whether the request may be sent once more, and reserves a retry if
// it has reached a server.
func (arq *activeRequest) reserveRetry() bool {
	if arq.reached && !arq.reserved {
		arq.reserved = arq.newRetry()
		return arq.reserved
	}
	return true
}

// newRetry reserves a retry.
func (arq *activeRequest) newRetry() (ok bool) {
	arq.withRetries(func(now time.Time, win *retry.Window, service, account string) {
		ok = win.Reserve(now, service, account)
	})
	return ok
}

// mayRetry reports whether one more retry is allowed, without reserving it.
func (arq *activeRequest) mayRetry() (ok bool) {
	arq.withRetries(func(now time.Time, win *retry.Window, service, account string) {
		ok = win.Allows(now, service, account)
	})
	return ok
}

// noteSend records that the request goes out now. It is a retry, and one is reserved, if
// the request has reached a server before.
func (arq *activeRequest) noteSend() {
	if arq.reached {
		arq.reserved = false
		arq.withRetries(func(now time.Time, win *retry.Window, service, account string) {
			win.Send(now, service, account)
		})
	}
	arq.reached = true
}

// noteUnsent takes noteSend back, since the send reached no server. reached is set if one
// before it did.
func (arq *activeRequest) noteUnsent(reached bool) {
	arq.reached = reached
	if reached {
		arq.reserved = true
		arq.withRetries(func(now time.Time, win *retry.Window, service, account string) {
			win.Unsend(now, service, account)
		})
	}
}

// adoptRetry takes over a retry that newRetry reserved in another goroutine.
func (arq *activeRequest) adoptRetry() {
	if arq.reserved {
		arq.dropRetry()
	}
	arq.reserved = true
}

// releaseRetry gives a reserved retry back.
func (arq *activeRequest) releaseRetry() {
	if arq.reserved {
		arq.reserved = false
		arq.dropRetry()
	}
}

// dropRetry gives back a retry that newRetry reserved.
func (arq *activeRequest) dropRetry() {
	arq.withRetries(func(_ time.Time, win *retry.Window, service, account string) {
		win.Release(service, account)
	})
}
