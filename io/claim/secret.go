package claim

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/keys"
	"lovagestream/io/clock"
	"lovagestream/io/logs"
)

// Secrets come from a file or an environment variable, one NAME:SECRET a line.
const (
	maxSecrets = 8
	// generatedBytes is the number of random bytes behind a generated secret: 8 make
	// its name, the others the secret.
	generatedBytes = 32
	// reloadInterval is how often the file is read to see whether it changed.
	reloadInterval = 5 * time.Second
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// SecretsError is the error for secrets that can't be parsed. It shows no secret.
type SecretsError struct {
	source string
	line   int
	want   string
}

// Error returns the source, the line and what is allowed there.
func (err *SecretsError) Error() string {
	return fmt.Sprintf("%s:%d: secrets of idempotency keys: want %s", err.source, err.line, err.want)
}

var _ error = (*SecretsError)(nil)

// LoadKeyring reads the secrets from a file, or else from an environment variable.
// With neither it generates one, whose keys no other entry instance can verify;
// generated reports that.
func LoadKeyring(file, variable string) (ring *keys.Keyring, generated bool, err error) {
	switch {
	case file != "":
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, false, errors.Wrap(err, "read secrets of idempotency keys")
		}
		ring, err = parse(file, raw)
		return ring, false, err
	case variable != "":
		ring, err = parse("$"+variable, []byte(os.Getenv(variable)))
		return ring, false, err
	}
	val := make([]byte, generatedBytes)
	if _, err := rand.Read(val); err != nil {
		return nil, false, errors.Wrap(err, "generate a secret for idempotency keys")
	}
	// With its unique name, other instances treat the keys as unverifiable instead of
	// forged.
	return keys.NewKeyring(keys.NewSecret(fmt.Sprintf("made-%x", val[:8]), val[8:])), true, nil
}

func parse(source string, raw []byte) (*keys.Keyring, error) {
	var secs []keys.Secret
	seen := map[string]bool{}
	for i, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		name, val, found := bytes.Cut(line, []byte(":"))
		switch {
		case !found || !namePattern.Match(name):
			return nil, &SecretsError{source: source, line: i + 1, want: "NAME:SECRET with a name of a-z, 0-9 and -"}
		case len(val) < keys.MinSecretLen:
			return nil, &SecretsError{source: source, line: i + 1, want: fmt.Sprintf("a secret of at least %d bytes", keys.MinSecretLen)}
		case seen[string(name)] || len(secs) == maxSecrets:
			return nil, &SecretsError{source: source, line: i + 1, want: fmt.Sprintf("at most %d secrets, each name once", maxSecrets)}
		}
		seen[string(name)] = true
		secs = append(secs, keys.NewSecret(string(name), bytes.Clone(val)))
	}
	if len(secs) == 0 {
		return nil, &SecretsError{source: source, line: 1, want: "at least one secret"}
	}
	return keys.NewKeyring(secs...), nil
}

// WatchSecrets loads the secrets again whenever the file changes, until the context
// ends. An invalid file is logged once for each change; the secrets then stay as they
// are.
func (svc *Service) WatchSecrets(ctx context.Context, file string, clk clock.Service, log *logs.Logger) error {
	if file == "" {
		return nil
	}
	last, _ := os.ReadFile(file)
	clk.Every(ctx, reloadInterval, func(time.Time) {
		raw, err := os.ReadFile(file)
		if err != nil || bytes.Equal(raw, last) {
			return
		}
		last = raw
		ring, err := parse(file, raw)
		if err != nil {
			log.Warn("Invalid secrets of idempotency keys; the old ones stay in use.", logs.Fields{"error": err})
			return
		}
		svc.SetKeyring(ring)
		log.Info("Reloaded the secrets of idempotency keys.", nil)
	})
	return nil
}
