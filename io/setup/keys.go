package setup

import (
	"time"

	"lovagestream/core/schema"
)

// Keys are the settings of idempotency keys.
type Keys struct {
	secretsFile string
	secretsEnv  string
	lifetime    time.Duration
	retention   time.Duration
}

// SecretsFile returns the path of the file with the secrets, or "".
func (kys Keys) SecretsFile() string { return kys.secretsFile }

// SecretsEnv returns the name of the environment variable with the secrets, or "".
func (kys Keys) SecretsEnv() string { return kys.secretsEnv }

// Lifetime returns how long after its issue a key can be bound to a request.
func (kys Keys) Lifetime() time.Duration { return kys.lifetime }

// Retention returns how long after the end of the lifetime the outcome under the
// key is remembered.
func (kys Keys) Retention() time.Duration { return kys.retention }

// Keys returns the settings of idempotency keys.
func (set *Settings) Keys() Keys { return set.keys }

func (kys *Keys) fill(mp *schema.Map) {
	const (
		initial     = 10 * time.Minute
		minDuration = time.Second
		maxDuration = 24 * time.Hour
	)
	kys.secretsFile = mp.Text("secrets-file", "", "File with the secrets of idempotency keys, one NAME:SECRET a line: the first signs, all verify. It is read again when it changes.", false)
	kys.secretsEnv = mp.Text("secrets-environment", "", "Environment variable with the same, where there is no file.", false)
	kys.lifetime = mp.Duration("lifetime", initial, minDuration, maxDuration, "How long a key can be used after it was issued.")
	kys.retention = mp.Duration("retention", initial, minDuration, maxDuration, "How long after that the outcome under it is remembered.")
	if kys.secretsFile != "" && kys.secretsEnv != "" {
		mp.Fault("secrets-environment", "(not shown)", "nothing, since secrets-file is given")
	}
}
