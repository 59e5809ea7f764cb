package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"

	"lovagestream/io/clock"
	"lovagestream/io/logs"
)

// reloadInterval is how often the key files are read.
const reloadInterval = 5 * time.Second

// keyMaterial is a certificate of this instance and the authorities whose
// certificates are accepted. Certificate files and shared keys are both turned
// into it.
type keyMaterial struct {
	own   tls.Certificate
	roots *x509.CertPool
	// version is a digest of the files that it was made from.
	version string
}

// MutualTLS secures links by mutual TLS. The common name of a certificate is the
// instance's identity.
type MutualTLS struct {
	load func() (*keyMaterial, error)
	// now returns the time at which certificates must be valid.
	now func() time.Time
	cur atomic.Pointer[keyMaterial]
}

var _ Security = (*MutualTLS)(nil)

func newMutualTLS(clk clock.Service, load func() (*keyMaterial, error)) (*MutualTLS, error) {
	mut := &MutualTLS{load: load, now: clk.Now}
	mtl, err := load()
	if err != nil {
		return nil, err
	}
	mut.cur.Store(mtl)
	return mut, nil
}

// Watch reloads the files every few seconds and calls changed after each change.
// Files that can't be read or don't match each other leave the keys in force
// and are logged once.
func (mut *MutualTLS) Watch(ctx context.Context, clk clock.Service, log *logs.Logger, changed func()) {
	lastError := ""
	clk.Every(ctx, reloadInterval, func(time.Time) {
		reloaded, err := mut.reload()
		switch {
		case err != nil && err.Error() != lastError:
			lastError = err.Error()
			log.Warn("Failed to reload the peer keys; keeping the old ones.", logs.Fields{"error": err})
		case reloaded:
			lastError = ""
			log.Info("Reloaded the peer keys.", nil)
			changed()
		}
	})
}

// reload reports whether the files have changed.
func (mut *MutualTLS) reload() (bool, error) {
	mtl, err := mut.load()
	if err != nil || mtl.version == mut.cur.Load().version {
		return false, err
	}
	mut.cur.Store(mtl)
	return true, nil
}

func (mut *MutualTLS) server() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain, against authorities that can
		// change.
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &mut.cur.Load().own, nil
		},
		VerifyConnection: mut.verify,
	})
}

func (mut *MutualTLS) client() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		// Instances have no host names to verify. VerifyConnection checks the
		// chain, and identify checks the identity.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &mut.cur.Load().own, nil
		},
		VerifyConnection: mut.verify,
	})
}

// verify returns an error unless one of the current authorities signed the
// peer's certificate.
func (mut *MutualTLS) verify(stt tls.ConnectionState) error {
	if len(stt.PeerCertificates) == 0 {
		return errors.New("peer link: no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, crt := range stt.PeerCertificates[1:] {
		intermediates.AddCert(crt)
	}
	_, err := stt.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         mut.cur.Load().roots,
		Intermediates: intermediates,
		CurrentTime:   mut.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "peer link")
}

func (mut *MutualTLS) identify(ctx context.Context, mtd metadata.MD) (string, error) {
	claim, err := claimedIdentity(mtd)
	if err != nil {
		return "", err
	}
	per, found := grpcpeer.FromContext(ctx)
	if !found {
		return "", errors.New("peer link: no connection")
	}
	info, secured := per.AuthInfo.(credentials.TLSInfo)
	if !secured {
		return "", errors.New("peer link: not secured")
	}
	if err := mut.verify(info.State); err != nil {
		return "", err
	}
	if got := info.State.PeerCertificates[0].Subject.CommonName; got != claim {
		return "", errors.Errorf("peer link: the certificate is of %q, not %q", got, claim)
	}
	return claim, nil
}
