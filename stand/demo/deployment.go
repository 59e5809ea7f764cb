// Package demo runs a small deployment over loopback in one process and sends
// requests through every pipeline.
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/serve"
	"lovagestream/io/setup"
	"lovagestream/io/watch"
	"lovagestream/stand/back"
	"lovagestream/stand/plat"
)

// serversPerPool is the number of backend servers in each pool.
const serversPerPool = 3

// Deployment is a deployment on loopback: simulated backend servers, the platform
// and one entry instance.
type Deployment struct {
	plt     *plat.Platform
	doc     *config.Document
	nod     *serve.Node
	grp     *group.Group
	rows    []watch.InstanceBody
	servers []*back.Server
}

// Start starts a deployment with a configuration document and waits until its
// entry instance is ready. Its backend servers behave as mod says.
func Start(ctx context.Context, document []byte, mod back.Model) (*Deployment, error) {
	doc, err := config.Read("document", document)
	if err != nil {
		return nil, err
	}
	logs.SetKratosLogger(logs.Discard())
	dep := &Deployment{plt: plat.New(), doc: doc, grp: group.New(ctx)}
	for i, poo := range doc.Pools() {
		for num := range serversPerPool {
			zon := doc.Zones()[(i+num)%len(doc.Zones())]
			if err := dep.startServer(fmt.Sprintf("%s-%d", poo.Name(), num+1), zon.Name(), poo.Name(), mod); err != nil {
				return nil, err
			}
		}
	}
	dep.plt.PublishConfig(document)
	if err := dep.plt.PublishList(dep.rows); err != nil {
		return nil, err
	}
	return dep, dep.startNode()
}

func (dep *Deployment) startServer(id, zone, pool string, mod back.Model) error {
	srv := back.NewServer(id, mod)
	adr, err := dep.listen(srv.Handler())
	if err != nil {
		return err
	}
	dep.servers = append(dep.servers, srv)
	dep.rows = append(dep.rows, watch.InstanceBody{ID: id, Role: "backend", Address: adr, Zone: zone, Pool: pool, State: "live"})
	return nil
}

func (dep *Deployment) startNode() error {
	adr, err := dep.listen(dep.plt.Handler())
	if err != nil {
		return err
	}
	txt := fmt.Sprintf("instance: entry-1\nzone: %s\noperators:\n  open: true\nplatform:\n  url: http://%s\n", dep.doc.Zones()[0].Name(), adr)
	set, err := setup.Read("demo", []byte(txt))
	if err != nil {
		return err
	}
	if dep.nod, err = serve.New(set, logs.Discard(), 1); err != nil {
		return err
	}
	dep.grp.Go(dep.nod.Run)
	return dep.waitReady()
}

// listen serves a handler on a port that the kernel chooses.
func (dep *Deployment) listen(han http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Minute}
	dep.grp.Go(func(context.Context) error { _ = srv.Serve(lis); return nil })
	dep.grp.Go(func(ctx context.Context) error { <-ctx.Done(); return srv.Close() })
	return lis.Addr().String(), nil
}

func (dep *Deployment) waitReady() error {
	const tries = 200
	for range tries {
		res, err := http.Get("http://" + dep.nod.OperatorAddr() + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return errors.New("entry instance did not become ready")
}

// Document returns the configuration.
func (dep *Deployment) Document() *config.Document { return dep.doc }

// CallerAddr returns the address of the callers' listener.
func (dep *Deployment) CallerAddr() string { return dep.nod.CallerAddr() }

// BackendServers returns the backend servers.
func (dep *Deployment) BackendServers() []*back.Server { return dep.servers }

// Runs returns the calls that the backend servers ran.
func (dep *Deployment) Runs() []back.Run {
	var runs []back.Run
	for _, srv := range dep.servers {
		runs = append(runs, srv.Journal()...)
	}
	return runs
}

// Stop shuts the deployment down gracefully and returns the first error.
func (dep *Deployment) Stop() error {
	err := dep.nod.Stop()
	dep.grp.Stop()
	if werr := dep.grp.Wait(); err == nil {
		err = werr
	}
	return err
}
