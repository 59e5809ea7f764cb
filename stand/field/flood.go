package field

import (
	"context"
	"math/rand/v2"
	"strings"
)

// accounts are the client accounts of the callers, which send equal parts of the
// requests. floodingAccount floods at times besides.
var accounts = []string{"account-1", "account-2", "account-3"}

const (
	floodingAccount = "account-4"
	// floodFactor is the flood's rate relative to that of all other requests.
	floodFactor = 4
	// maxOverShare is the largest share of requests of an account that asks for
	// less than its share which may be refused for its share.
	maxOverShare = 0.05
)

func apiKey(account string) string { return "key-of-" + account }

// apiKeys returns the API keys of all accounts.
func apiKeys() map[string]string {
	out := map[string]string{floodingAccount: apiKey(floodingAccount)}
	for _, account := range accounts {
		out[account] = apiKey(account)
	}
	return out
}

// floodByAccount sends several times the usual load with one account's key.
func (inj *injector) floodByAccount(ctx context.Context) error {
	clu := inj.cluster
	defer clu.beginDisturbance("account-floods", true, nil)()
	clu.mu.Lock()
	clu.floods++
	prefix := "f" + itoa(clu.floods) + "-"
	clu.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, inj.drawDuration())
	defer cancel()
	clu.sendAtRate(ctx, rand.New(rand.NewPCG(inj.rng.Uint64(), 4)), floodFactor*clu.opt.Rate, prefix, []string{floodingAccount})
	return nil
}

// checkShares checks that accounts which send no more than usual are hardly
// refused for their share, whatever the flooding account sends.
func (clu *Cluster) checkShares() {
	over, all := 0, 0
	for _, rqt := range clu.requests {
		if rqt.account == floodingAccount || !rqt.done || rqt.err != nil {
			continue
		}
		all++
		if saysNotRun(rqt) && strings.HasPrefix(rqt.answer, "account-over-share") {
			over++
		}
	}
	if float64(over) > maxOverShare*float64(all) {
		clu.addProblem("SHARE %d of %d requests of accounts within their share were refused for it", over, all)
	}
}

// loadTexts are loads that servers state, in turn; some are malformed.
var loadTexts = []string{"1,0,4", "1,0,4,100", "2,1,4,250", "0,0,4,40", "1,0", "1,0,4,x", "-1,0,4,100"}

// stateLoad makes a server state its load and change it often.
func (inj *injector) stateLoad(ctx context.Context) error {
	return inj.injectIntoServer("server-states-load", true, func(ser *server) error {
		for range 5 {
			ser.fake.SetLoad(loadTexts[inj.rng.IntN(len(loadTexts))])
			sleep(ctx, inj.drawDuration()/4)
		}
		ser.fake.SetLoad("")
		return nil
	})
}
