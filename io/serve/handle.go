package serve

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/limit"
	"lovagestream/io/claim"
	"lovagestream/io/logs"
	"lovagestream/io/loop"
	"lovagestream/io/order"
	"lovagestream/io/peer"
	"lovagestream/io/setup"
)

// handler carries out the control state's decisions.
type handler struct {
	log *logs.Logger
	trn *peer.Transport
	clm *claim.Service
	snd *order.Sender
	lmt *limit.Limiter
	// accepted, refused and pauses count configuration documents and process
	// pauses since the start.
	accepted atomic.Int64
	refused  atomic.Int64
	pauses   atomic.Int64
}

var _ loop.Handler = (*handler)(nil)

// Handle dispatches a decision to the component that executes it, and logs changes
// of the configuration, pauses and the end of the peer synchronization.
func (han *handler) Handle(dec core.Decision) {
	switch dcs := dec.(type) {
	case core.Send:
		han.trn.Send(dcs)
	case core.Shares:
		for _, prt := range dcs.Accounts() {
			han.lmt.SetShare(prt.Account(), prt.Share())
		}
	case core.KeyVerdict:
		han.clm.DeliverVerdict(dcs)
	case core.ReadPlacement:
		han.snd.Read(dcs)
	case core.SendOrder:
		han.snd.SendOrder(dcs)
	case core.KeysIssued:
		han.clm.DeliverKeys(dcs)
	case core.ConfigAccepted:
		han.accepted.Add(1)
		han.log.Info("Accepted a configuration.", logs.Fields{"revision": dcs.Document().Revision(), "preset": dcs.Document().Preset().Name(), "source": dcs.Source()})
	case core.ConfigRefused:
		han.refused.Add(1)
		han.log.Warn("Refused a configuration.", logs.Fields{"source": dcs.Source(), "error": dcs.Err()})
	case core.Resumed:
		han.pauses.Add(1)
		han.log.Warn("The process resumed after a pause.", logs.Fields{"gap": dcs.Gap()})
	case core.PeerSyncEnded:
		han.log.Info("Finished synchronizing with the peers.", logs.Fields{"asked": dcs.Asked(), "answered": dcs.Answered(), "waited": dcs.Waited()})
	}
}

// security returns the transport security of links between entry instances.
// peer.Insecure trusts anyone who can connect; the settings allow it on loopback
// only.
func (nod *Node) security() (peer.Security, error) {
	prs := nod.set.Peers()
	switch prs.Security() {
	case setup.SecurityTLS:
		return peer.NewTLS(nod.set.Instance(), prs.Certificate(), prs.PrivateKey(), prs.Authorities(), nod.clk)
	case setup.SecuritySharedKey:
		return peer.NewSharedKey(nod.set.Instance(), prs.KeyFile(), nod.clk)
	default:
		nod.log.Warn("Links between entry instances are not secured; use this only for trials on loopback.", nil)
		return peer.Insecure{}, nil
	}
}

// demandInterval is how often the demand of client accounts is reported to the
// control state.
const demandInterval = 100 * time.Millisecond

// reportDemand posts the demand of client accounts periodically. It reports an
// empty demand once and then nothing until there is demand again.
func (nod *Node) reportDemand(ctx context.Context) error {
	idle := true
	nod.clk.Every(ctx, demandInterval, func(now time.Time) {
		dems := nod.lmt.Demand(now)
		if len(dems) == 0 && idle {
			return
		}
		idle = len(dems) == 0
		list := make([]core.AccountDemand, 0, len(dems))
		for _, dem := range dems {
			list = append(list, core.NewAccountDemand(dem.Account(), dem.Rate(), dem.Running(), dem.Tokens()))
		}
		_ = nod.lop.Post(ctx, core.NewDemandReported(list))
	})
	return nil
}

// readBootFile reads the boot file if the settings name one.
func (nod *Node) readBootFile() error {
	path := nod.set.BootFile()
	if path == "" {
		return nil
	}
	var err error
	nod.bootFile, err = os.ReadFile(path)
	return errors.Wrap(err, "read boot file")
}

// postBootFile posts the content of the boot file to the control state.
func (nod *Node) postBootFile(ctx context.Context) error {
	if nod.bootFile == nil {
		return nil
	}
	return nod.lop.Post(ctx, core.NewConfigRead(core.SourceBoot, nod.bootFile))
}
