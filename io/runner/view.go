package runner

import (
	"context"
	"time"

	"lovagestream/core"
)

// viewPollInterval is how often a stale view is checked again.
const viewPollInterval = 5 * time.Millisecond

// currentView waits until the view is fresh and returns it. After a pause of
// the process, the view may list servers that have left meanwhile, and requests
// would be sent to them before the control thread learns of it. The wait ends
// when the peers have answered, after two seconds at most, or with the request.
func (rnr *Runner) currentView(ctx context.Context) (*core.View, error) {
	for {
		vie := rnr.vws.View()
		if vie.Fresh(rnr.clk.Now()) {
			return vie, nil
		}
		if err := rnr.clk.Sleep(ctx, viewPollInterval); err != nil {
			return nil, err
		}
	}
}
