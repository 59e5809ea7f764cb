package conns

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// BenchmarkExchange measures a request with a response of 800 bytes on a kept connection.
func BenchmarkExchange(b *testing.B) {
	body := strings.Repeat("x", 800)
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		wri.Header().Set("Id", "mine")
		_, _ = io.WriteString(wri, body)
	}))
	defer srv.Close()
	poo := NewPool(clock.System{}, group.New(context.Background()), nil)
	address := srv.Listener.Addr().String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := exchange(poo, Request{Address: address, Target: "/"}, "mine"); err != nil {
			b.Fatal(err)
		}
	}
}
