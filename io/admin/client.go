package admin

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
)

const (
	fetchTimeout = 5 * time.Second
	// maxStatus is the most bytes read of a status: 900 servers and 1,300 contracts
	// take less than 1 MB.
	maxStatus = 16 << 20
)

// StatusError is the error of a request that an entry instance answered with a status
// other than 200, such as 401 without the right token.
type StatusError struct {
	address string
	status  string
}

// Error returns the instance's address and its HTTP status.
func (ste *StatusError) Error() string {
	return fmt.Sprintf("%s answered %s", ste.address, ste.status)
}

var _ error = (*StatusError)(nil)

// Client is a client of the administration API of entry instances.
type Client struct {
	hc     *http.Client
	scheme string
	token  string
}

// NewClient returns a client that sends a bearer token, which may be empty if the
// listeners are open. If authorities names a file of certificate authorities in
// PEM, the client uses TLS and trusts only them; otherwise it uses plain HTTP. It
// returns an error if the file can't be read or contains no certificate.
func NewClient(token, authorities string) (*Client, error) {
	if authorities == "" {
		return &Client{hc: &http.Client{Timeout: fetchTimeout}, scheme: "http", token: token}, nil
	}
	pem, err := os.ReadFile(authorities)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("read authorities: %s contains no PEM certificate", authorities)
	}
	tra := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}
	return &Client{hc: &http.Client{Timeout: fetchTimeout, Transport: tra}, scheme: "https", token: token}, nil
}

// Status fetches the status of an entry instance from its operators' listener at
// address. The error wraps a *StatusError if the HTTP status is not 200.
func (cli *Client) Status(ctx context.Context, address string) (*Status, error) {
	raw, err := cli.get(ctx, address, PathStatus, maxStatus)
	if err != nil {
		return nil, errors.Wrap(err, "fetch status")
	}
	var sta Status
	if err := json.Unmarshal(raw, &sta); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return &sta, nil
}

// Config fetches the configuration in force at an entry instance from its operators'
// listener at address. The error wraps a *StatusError if the HTTP status is not 200.
func (cli *Client) Config(ctx context.Context, address string) (*config.Document, error) {
	raw, err := cli.get(ctx, address, PathConfig, config.MaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	return config.Read(address, raw)
}

// get returns the first maxBytes+1 bytes of the response, so that its callers'
// parsers reject longer ones.
func (cli *Client) get(ctx context.Context, address, path string, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cli.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	if cli.token != "" {
		req.Header.Set("Authorization", "Bearer "+cli.token)
	}
	res, err := cli.hc.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, &StatusError{address: address, status: res.Status}
	}
	return io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
}
