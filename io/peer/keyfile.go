package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
)

const (
	// minKeyLen is the minimum length of a shared key in bytes.
	minKeyLen = 32
	// maxSharedKeys bounds the shared keys in one file.
	maxSharedKeys = 8
	// hkdfInfo is the HKDF info text, which separates the derived key from other
	// uses of the shared key. It is also the authority's common name.
	hkdfInfo = "lovagestream peer links v1"
)

// NewTLS returns the security of links by mutual TLS with PEM files: the
// certificate and private key of instance self, and the authorities whose
// certificates are accepted.
func NewTLS(self, certificate, privateKey, authorities string, clk clock.Service) (*MutualTLS, error) {
	return newMutualTLS(clk, func() (*keyMaterial, error) {
		var texts [3][]byte
		for i, path := range []string{certificate, privateKey, authorities} {
			data, err := os.ReadFile(path)
			if err != nil {
				return nil, errors.Wrap(err, "peer keys")
			}
			texts[i] = data
		}
		own, err := tls.X509KeyPair(texts[0], texts[1])
		if err != nil {
			return nil, errors.Wrap(err, "peer keys")
		}
		if got := own.Leaf.Subject.CommonName; got != self {
			return nil, errors.Errorf("peer keys: certificate has common name %q; want this instance's ID %q", got, self)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(texts[2]) {
			return nil, errors.Errorf("peer keys: no PEM certificate in %s", authorities)
		}
		return &keyMaterial{own: own, roots: roots, version: digest(texts[:]...)}, nil
	})
}

// NewSharedKey returns the security of links by keys that all instances share.
// The file has one key per line. The first is used and all are accepted, so that
// a new key can be added everywhere before the old one is removed.
//
// Each instance derives the same certificate authority from a key and issues a
// certificate for itself. Links then use mutual TLS, and the key itself is never
// sent.
func NewSharedKey(self, keyFile string, clk clock.Service) (*MutualTLS, error) {
	return newMutualTLS(clk, func() (*keyMaterial, error) {
		data, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "peer keys")
		}
		return sharedKeyMaterial(self, data)
	})
}

func sharedKeyMaterial(self string, data []byte) (*keyMaterial, error) {
	keys := parseSharedKeys(data)
	if len(keys) == 0 || len(keys) > maxSharedKeys {
		return nil, errors.Errorf("peer keys: %d shared keys; want 1 to %d", len(keys), maxSharedKeys)
	}
	mtl := &keyMaterial{roots: x509.NewCertPool(), version: digest(data)}
	for i, key := range keys {
		if len(key) < minKeyLen {
			return nil, errors.Errorf("peer keys: shared key %d is shorter than %d bytes", i+1, minKeyLen)
		}
		authority, signer, err := deriveAuthority(key)
		if err != nil {
			return nil, err
		}
		mtl.roots.AddCert(authority)
		if i > 0 {
			continue
		}
		if mtl.own, err = issueCertificate(self, authority, signer); err != nil {
			return nil, err
		}
	}
	return mtl, nil
}

// parseSharedKeys returns the lines that are neither empty nor comments.
func parseSharedKeys(data []byte) []string {
	var keys []string
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			keys = append(keys, line)
		}
	}
	return keys
}

func digest(texts ...[]byte) string {
	sum := sha256.New()
	for _, txt := range texts {
		_, _ = sum.Write(txt)
		_, _ = sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// validity returns a period of a hundred years: shared keys do not expire.
func validity() (from, until time.Time) {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)
}

// deriveAuthority returns the certificate authority and signing key that every
// instance derives from a shared key.
func deriveAuthority(key string) (*x509.Certificate, ed25519.PrivateKey, error) {
	seed, err := hkdf.Key(sha256.New, []byte(key), nil, hkdfInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer keys")
	}
	signer := ed25519.NewKeyFromSeed(seed)
	from, until := validity()
	tpl := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: hkdfInfo},
		NotBefore:             from,
		NotAfter:              until,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(nil, tpl, tpl, signer.Public(), signer)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer keys")
	}
	crt, err := x509.ParseCertificate(raw)
	return crt, signer, errors.Wrap(err, "peer keys")
}

// issueCertificate generates a key pair for an instance and signs its
// certificate.
func issueCertificate(self string, authority *x509.Certificate, signer ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer keys")
	}
	from, until := validity()
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: self},
		NotBefore:    from,
		NotAfter:     until,
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(nil, tpl, authority, public, signer)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "peer keys")
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}, nil
}
