// Package watch reads the published configuration and the instance list from the
// platform, each by one long poll at a time, and posts what it read to the control
// state as events.
package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/config"
	"lovagestream/io/clock"
	"lovagestream/io/frame"
	"lovagestream/io/logs"
	"lovagestream/io/origin"
)

// Paths and headers of the platform's service.
const (
	PathConfig    = "/v1/config"
	PathInstances = "/v1/instances"
	// HeaderVersion is the response header with the version of the value. A poll
	// that names this version waits until there is another one.
	HeaderVersion = "Lovage-Version"
)

const (
	pollWait    = 5 * time.Second
	callTimeout = pollWait + 2*time.Second
	// Bounds of the exponential backoff after a failed read. Each wait is random
	// between zero and the current bound (full jitter), so that readers do not
	// return all at once after an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// startJitter is the range of the random delay before the first read, which
	// spreads the reads of instances that start together.
	startJitter = 500 * time.Millisecond
	// minCallInterval is the minimum time between two calls. Without it, a platform
	// that answers long polls at once would be called in a tight loop.
	minCallInterval = 200 * time.Millisecond
	// maxRows (number of instances) and maxRowLength (bytes of text in one) limit an
	// instance list. They are far above the size expected in two years.
	maxRows      = 16384
	maxRowLength = 256
	// dutyCheckInterval is how often an instance that does not watch a value checks
	// whether it should.
	dutyCheckInterval = 200 * time.Millisecond
)

// InstanceBody is one entry of the instance list in the platform's JSON format.
type InstanceBody struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Pool    string `json:"pool,omitempty"`
	State   string `json:"state"`
}

// ListBody is the instance list in the platform's JSON format.
type ListBody struct {
	// Revision grows with every list, also across restarts of the platform.
	Revision  uint64         `json:"revision"`
	Instances []InstanceBody `json:"instances"`
}

// Control is the part of the control state that a Reader uses.
type Control interface {
	Post(ctx context.Context, ev core.Event) error
	// View returns the newest snapshot, which tells which values this instance
	// watches.
	View() *core.View
}

// Reader polls the platform's values by long polling.
type Reader struct {
	base string
	hc   *http.Client
	ctl  Control
	clk  clock.Service
	log  *logs.Logger
	seed uint64
	// calls counts the calls to the platform that were begun.
	calls atomic.Int64
}

// NewReader returns a reader of the platform at a base URL. The seed is that of its
// random delays.
func NewReader(base string, src origin.SourceAddr, ctl Control, clk clock.Service, log *logs.Logger, seed uint64) *Reader {
	tra := &http.Transport{DialContext: src.DialFunc(callTimeout), MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: frame.MaxHeadBytes}
	return &Reader{
		base: base,
		hc:   &http.Client{Timeout: callTimeout, Transport: frame.Transport{Transport: tra}},
		ctl:  ctl,
		clk:  clk,
		log:  log,
		seed: seed,
	}
}

// Calls returns the number of calls to the platform that were begun.
func (rdr *Reader) Calls() int64 { return rdr.calls.Load() }

// PollConfig polls the configuration until the context ends. It always returns nil.
func (rdr *Reader) PollConfig(ctx context.Context) error {
	return rdr.poll(ctx, core.ValueConfig, PathConfig, func(data []byte) error {
		return rdr.ctl.Post(ctx, core.NewConfigRead(core.SourcePlatform, data))
	})
}

// PollInstances polls the instance list until the context ends. It always returns
// nil.
func (rdr *Reader) PollInstances(ctx context.Context) error {
	return rdr.poll(ctx, core.ValueList, PathInstances, func(data []byte) error {
		revision, list, err := ParseList(data)
		if err != nil {
			rdr.log.Warn("Rejected an invalid instance list.", logs.Fields{"error": err})
			return nil
		}
		return rdr.ctl.Post(ctx, core.NewListRead(revision, list))
	})
}

// ParseList decodes and validates an instance list, and returns its revision and
// instances. It returns an error if the list is malformed or too large.
func ParseList(data []byte) (uint64, []core.Instance, error) {
	var bod ListBody
	if err := json.Unmarshal(data, &bod); err != nil {
		return 0, nil, errors.Wrap(err, "instance list")
	}
	if len(bod.Instances) > maxRows {
		return 0, nil, errors.Errorf("instance list: %d instances; at most %d", len(bod.Instances), maxRows)
	}
	list := make([]core.Instance, 0, len(bod.Instances))
	for i, row := range bod.Instances {
		if row.ID == "" || row.Address == "" {
			return 0, nil, errors.Errorf("instance list: instances[%d]: want an id and an address", i)
		}
		if len(row.ID)+len(row.Address)+len(row.Zone)+len(row.Pool) > maxRowLength {
			return 0, nil, errors.Errorf("instance list: instances[%d]: longer than %d characters", i, maxRowLength)
		}
		list = append(list, core.NewInstance(row.ID, core.Role(row.Role), row.Address, row.Zone, row.Pool, core.State(row.State)))
	}
	return bod.Revision, list, nil
}

// poll passes each new value to handle until the context ends or handle fails.
func (rdr *Reader) poll(ctx context.Context, val core.PublishedValue, path string, handle func([]byte) error) error {
	rng := rand.New(rand.NewPCG(rdr.seed, xxhash.Sum64String(path)))
	version := ""
	backoff := minBackoff
	var lastCall time.Time
	// Spreads the first reads of instances that start together.
	_ = rdr.clk.Sleep(ctx, time.Duration(rng.Int64N(int64(startJitter))))
	for ctx.Err() == nil {
		if !rdr.ctl.View().Watches(val) {
			_ = rdr.clk.Sleep(ctx, dutyCheckInterval)
			continue
		}
		_ = rdr.clk.Sleep(ctx, minCallInterval-rdr.clk.Now().Sub(lastCall))
		lastCall = rdr.clk.Now()
		rdr.calls.Add(1)
		data, got, err := rdr.read(ctx, path, version)
		if err != nil {
			rdr.log.Debug("Reading from the platform failed; retrying after a backoff.", logs.Fields{"path": path, "error": err})
			wait := time.Duration(rng.Int64N(int64(backoff)))
			backoff = min(2*backoff, maxBackoff)
			_ = rdr.clk.Sleep(ctx, wait)
			continue
		}
		backoff = minBackoff
		if data == nil {
			continue
		}
		version = got
		if err := handle(data); err != nil {
			return nil
		}
	}
	return nil
}

// read makes one call. It returns the value and its version; the value is nil if
// the long poll ended without a new one.
func (rdr *Reader) read(ctx context.Context, path, version string) ([]byte, string, error) {
	url := fmt.Sprintf("%s%s?version=%s&wait=%s", rdr.base, path, version, pollWait)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, "", errors.Wrap(err, "read platform")
	}
	res, err := rdr.hc.Do(req)
	if err != nil {
		return nil, "", errors.Wrap(err, "read platform")
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		return nil, version, nil
	case http.StatusOK:
	default:
		return nil, "", errors.Errorf("read platform: %s", res.Status)
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return nil, "", errors.New("read platform: the answer has neither a length nor chunks, so it may be cut")
	}
	data, err := frame.ReadAll(res.Body, 4*config.MaxBytes)
	if err != nil {
		return nil, "", errors.Wrap(err, "read platform")
	}
	return data, res.Header.Get(HeaderVersion), nil
}
