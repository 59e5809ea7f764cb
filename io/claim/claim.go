// Package claim gives the goroutines that serve requests access to idempotency
// keys: it issues batches of keys, and submits requests with a key to the control
// thread and waits for its verdict.
//
// All decisions are made by the control thread. The secrets are kept here, so that
// the signature of a key is verified before the control thread spends time on it.
package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/keys"
	"lovagestream/core/result"
)

// postTimeout limits how long a cancellation or the end of a run waits for room in
// the control thread's queue.
const postTimeout = 10 * time.Second

// Poster queues events for the control thread.
type Poster interface {
	Post(ctx context.Context, ev core.Event) error
}

// Service issues keys and claims them for the requests of one entry instance. It is
// safe for use by many goroutines.
type Service struct {
	pst Poster
	// lifetime is how long a key can be used after it was issued.
	lifetime time.Duration
	ring     atomic.Pointer[keys.Keyring]
	// lastNumber is the last number given to a keyed request or a batch. Numbers
	// are unique.
	lastNumber atomic.Uint64
	// verdicts and batches have a channel for each number whose goroutine waits.
	// The channels have a buffer of 1, so that the control thread never blocks.
	verdicts sync.Map
	batches  sync.Map
	// done is closed when the control thread ends.
	done      chan struct{}
	closeOnce sync.Once
}

// New returns a service for keys with a lifetime. ring has the initial secrets.
func New(pst Poster, lifetime time.Duration, ring *keys.Keyring) *Service {
	svc := &Service{pst: pst, lifetime: lifetime, done: make(chan struct{})}
	svc.ring.Store(ring)
	return svc
}

// Lifetime returns how long a key can be used after it was issued.
func (svc *Service) Lifetime() time.Duration { return svc.lifetime }

// SetKeyring replaces the secrets.
func (svc *Service) SetKeyring(ring *keys.Keyring) { svc.ring.Store(ring) }

// Close ends all waits. It is called when the control thread has ended.
func (svc *Service) Close() { svc.closeOnce.Do(func() { close(svc.done) }) }

// DeliverVerdict delivers the control thread's verdict to the goroutine that waits
// for it.
func (svc *Service) DeliverVerdict(dec core.KeyVerdict) {
	if chn, found := svc.verdicts.LoadAndDelete(dec.Number()); found {
		chn.(chan *keys.Verdict) <- dec.Verdict()
	}
}

// DeliverKeys delivers a batch of keys to the goroutine that waits for it.
func (svc *Service) DeliverKeys(dec core.KeysIssued) {
	if chn, found := svc.batches.LoadAndDelete(dec.Number()); found {
		chn.(chan []keys.Key) <- dec.Batch()
	}
}

var errClosed = errors.New("the control thread has ended")

// Issue returns the texts of count new keys for a client account.
func (svc *Service) Issue(ctx context.Context, account string, count int) ([]string, error) {
	num := svc.lastNumber.Add(1)
	chn := make(chan []keys.Key, 1)
	svc.batches.Store(num, chn)
	defer svc.batches.Delete(num)
	if err := svc.pst.Post(ctx, core.NewKeyBatchRequested(num, account, count)); err != nil {
		return nil, err
	}
	select {
	case batch := <-chn:
		ring := svc.ring.Load()
		texts := make([]string, len(batch))
		for i, key := range batch {
			texts[i] = ring.Sign(key)
		}
		return texts, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-svc.done:
		return nil, errClosed
	}
}

// KeyedRequest is a request with an idempotency key.
type KeyedRequest struct {
	text    string
	account string
	digest  keys.Digest
	arrived time.Time
	until   time.Time
}

// NewKeyedRequest returns a keyed request with the text of the key, the client account, the
// digest of the content, the arrival and the deadline.
func NewKeyedRequest(text, account string, digest keys.Digest, arrived, until time.Time) KeyedRequest {
	return KeyedRequest{text: text, account: account, digest: digest, arrived: arrived, until: until}
}

// Claim asks the control thread for the use of a key and waits for the verdict, at
// most until the request's deadline or until the caller leaves, which ends ctx. For
// each claim that it returns, End must be called once.
func (svc *Service) Claim(ctx context.Context, req KeyedRequest) keys.Verdict {
	key, check := svc.ring.Load().Verify(req.text)
	switch check {
	case keys.Authentic:
	case keys.Forged:
		// Every entry instance rejects this text, so nothing ran under it.
		return keys.Deny(result.NotRun, result.KeyRefused, "Idempotency-Key: not a key that was issued here; ask for one first")
	default:
		return keys.Deny(result.Unknown, result.KeyRefused, "Idempotency-Key: signed with a secret that this entry instance does not hold")
	}
	num := svc.lastNumber.Add(1)
	chn := make(chan *keys.Verdict, 1)
	svc.verdicts.Store(num, chn)
	krq := keys.NewKeyedRequest(num, key, req.account, req.digest, req.arrived, req.until)
	if err := svc.pst.Post(ctx, core.NewKeyedRequestArrived(krq)); err != nil {
		svc.verdicts.Delete(num)
		return keys.Deny(result.Unknown, result.CallerLeft, "the caller left")
	}
	select {
	case ver := <-chn:
		return *ver
	case <-ctx.Done():
		return svc.cancel(num, chn)
	case <-svc.done:
		return keys.Deny(result.Unknown, result.Stopping, "this entry instance has stopped")
	}
}

// cancel cancels a keyed request and returns its verdict, which still comes: a
// denial, or a claim that had already been granted and that the caller of Claim must
// end.
func (svc *Service) cancel(num uint64, chn chan *keys.Verdict) keys.Verdict {
	if err := svc.post(core.NewKeyedRequestCanceled(num)); err != nil {
		return keys.Deny(result.Unknown, result.CallerLeft, "the caller left")
	}
	select {
	case ver := <-chn:
		return *ver
	case <-svc.done:
		return keys.Deny(result.Unknown, result.Stopping, "this entry instance has stopped")
	}
}

// End reports how the run under a claim ended. It must be called before the response
// is sent, so that a resent request finds the outcome.
func (svc *Service) End(fin keys.RunReport) { _ = svc.post(core.NewKeyedRunEnded(fin)) }

func (svc *Service) post(evt core.Event) error {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	return svc.pst.Post(ctx, evt)
}
