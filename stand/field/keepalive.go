package field

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/group"
	"lovagestream/platform/fakes"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = time.Second
	// redialDelay is the delay before a caller connects again.
	redialDelay = 20 * time.Millisecond
	// resetTimeout is how long to wait for a reset after the end of the response
	// stream. Go's HTTP server waits 500 ms between the shutdown of its sending side
	// and the close.
	resetTimeout = 1500 * time.Millisecond
	// onceShare is the least share of requests on reused connections that take the
	// route "once" and must not be repeated.
	onceShare = 0.6
)

// startKeepAliveCallers starts the callers that each reuse a connection of their own.
func (clu *Cluster) startKeepAliveCallers(ctx context.Context, grp *group.Group) {
	for num := range clu.opt.KeepAlive {
		grp.Go(func(context.Context) error {
			clu.keepAliveCaller(ctx, num)
			return nil
		})
	}
}

// keepAliveCaller connects to an instance, sends one request after the other on the
// connection until the instance closes it, for example in a planned stop, and
// connects again.
func (clu *Cluster) keepAliveCaller(ctx context.Context, num int) {
	rng := rand.New(rand.NewPCG(clu.opt.Seed, 1000+uint64(num)))
	made := 0
	for sleep(ctx, redialDelay) {
		ins := clu.pickInstance(rng)
		if ins == nil {
			continue
		}
		con, err := net.DialTimeout("tcp", ins.boot.CallerAddr(), dialTimeout)
		if err != nil {
			continue
		}
		kac := &keepAliveConn{cluster: clu, con: con.(*net.TCPConn), rdr: bufio.NewReader(con), instance: ins}
		for more := true; more && sleep(ctx, time.Duration(rng.ExpFloat64()*float64(clu.opt.ThinkTime))); {
			made++
			rqt := &request{id: "k" + itoa(num) + "-" + itoa(made), account: accounts[num%len(accounts)], route: "once", instance: ins}
			if rng.Float64() > onceShare {
				rqt.route = routes[rng.IntN(len(routes))]
			}
			rqt.body = "body of " + rqt.id
			more = kac.send(ctx, rqt)
		}
		_ = con.Close()
	}
}

// keepAliveConn is a reused connection to an instance.
type keepAliveConn struct {
	cluster  *Cluster
	con      *net.TCPConn
	rdr      *bufio.Reader
	instance *instance
}

// send sends one request and records its outcome. It reports whether the
// connection can be used again.
func (kac *keepAliveConn) send(ctx context.Context, rqt *request) bool {
	clu := kac.cluster
	rqt.keepAlive = true
	rqt.start = time.Now()
	clu.mu.Lock()
	clu.requests = append(clu.requests, rqt)
	clu.mu.Unlock()
	got := *rqt
	more, err := kac.exchange(ctx, &got)
	got.err, got.end, got.done = err, time.Now(), true
	if err != nil && got.status == 0 {
		got.unread = errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || kac.wasReset()
	}
	clu.mu.Lock()
	defer clu.mu.Unlock()
	*rqt = got
	return more && err == nil
}

func (kac *keepAliveConn) exchange(ctx context.Context, rqt *request) (bool, error) {
	call := fakes.CallerRequest{ID: rqt.id, Path: "/" + rqt.route + "/x?n=" + rqt.id, Body: rqt.body, Deadline: routeTimeout, Pieces: "2,1", Key: apiKey(rqt.account)}
	req, err := call.Request(context.WithoutCancel(ctx), kac.instance.boot.CallerAddr())
	if err != nil {
		return false, err
	}
	// A single write keeps the request from being split by the client.
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return false, err
	}
	_ = kac.con.SetDeadline(rqt.start.Add(callerTimeout))
	if _, err := kac.con.Write(buf.Bytes()); err != nil {
		return false, err
	}
	res, err := http.ReadResponse(kac.rdr, req)
	if err != nil {
		return false, err
	}
	rqt.status, rqt.signer = res.StatusCode, fakes.Signer(res.Header)
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	rqt.answer, rqt.versions = fakes.CutTags(string(body))
	return !res.Close, err
}

// wasReset reports whether the server closed the connection with unread data.
// TCP then sends a reset, which a caller that has already read the end of the
// stream sees as EPIPE. A close after all data was read sends no reset.
func (kac *keepAliveConn) wasReset() bool {
	raw, err := kac.con.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(redialDelay) {
		code := 0
		err := raw.Control(func(fdn uintptr) {
			code, _ = syscall.GetsockoptInt(int(fdn), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if code != 0 || err != nil {
			return err == nil
		}
	}
	return false
}
