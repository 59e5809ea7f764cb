package admin

import (
	"crypto/tls"
	"sync"

	"github.com/pkg/errors"
)

// keyPair is the certificate of the operators' listener. Every handshake reads the
// files again, so that replaced files take effect without a restart; operators
// connect rarely enough for that. While the files can't be read, or don't match
// because they are being replaced, the last valid pair stays in use.
type keyPair struct {
	certificate string
	privateKey  string

	mu   sync.Mutex
	last *tls.Certificate
}

// ServerTLS returns the TLS configuration of a listener with a certificate chain
// and its private key, both paths of PEM files. It returns an error if they can't
// be read now.
func ServerTLS(certificate, privateKey string) (*tls.Config, error) {
	kpr := &keyPair{certificate: certificate, privateKey: privateKey}
	if _, err := kpr.get(nil); err != nil {
		return nil, errors.Wrap(err, "load operators' certificate")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: kpr.get}, nil
}

func (kpr *keyPair) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	got, err := tls.LoadX509KeyPair(kpr.certificate, kpr.privateKey)
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	if err == nil {
		kpr.last = &got
	}
	if kpr.last == nil {
		return nil, err
	}
	return kpr.last, nil
}
