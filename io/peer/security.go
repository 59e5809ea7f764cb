package peer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"lovagestream/io/clock"
	"lovagestream/io/logs"
)

// Security encrypts links and authenticates the instance at the other end.
type Security interface {
	server() credentials.TransportCredentials
	client() credentials.TransportCredentials
	// identify returns the authenticated identity of the other end of a stream.
	// Called again later, it returns an error if the keys now in force no longer
	// authenticate it.
	identify(ctx context.Context, mtd metadata.MD) (string, error)
	// Watch reloads changed key files until the context ends and calls changed
	// after each reload.
	Watch(ctx context.Context, clk clock.Service, log *logs.Logger, changed func())
}

// Insecure is the absence of security: links are not encrypted, and the identity
// that a peer claims is accepted. The settings allow it on loopback addresses
// only.
type Insecure struct{}

var _ Security = Insecure{}

func (Insecure) server() credentials.TransportCredentials { return insecure.NewCredentials() }

func (Insecure) client() credentials.TransportCredentials { return insecure.NewCredentials() }

func (Insecure) identify(_ context.Context, mtd metadata.MD) (string, error) {
	return claimedIdentity(mtd)
}

// Watch returns at once: there are no key files.
func (Insecure) Watch(context.Context, clock.Service, *logs.Logger, func()) {}

// claimedIdentity returns the unauthenticated identity that the other end sent.
func claimedIdentity(mtd metadata.MD) (string, error) {
	got := mtd.Get(headerInstance)
	if len(got) != 1 || got[0] == "" || len(got[0]) > maxNameLen {
		return "", errors.New("peer link: no identity")
	}
	return got[0], nil
}
