package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Causes are printed and lifted, and an instance's error is printed.
func TestCauses(t *testing.T) {
	lifted := ""
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		switch {
		case req.Method == http.MethodDelete && strings.HasSuffix(req.URL.Path, "/7"):
			lifted = req.URL.Path
			wri.WriteHeader(http.StatusNoContent)
		case req.Method == http.MethodDelete:
			http.Error(wri, "no requests are refused for 8", http.StatusNotFound)
		default:
			_, _ = io.WriteString(wri, `[{"fingerprint":"7","part":"pool/91bd3f06","crashes":3,"since-ms":4000,"last-ms":1000,"besides":[]}]`)
		}
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	var out, errs bytes.Buffer
	require.Equal(t, exitOK, runCauses([]string{"-address", address}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "pool/91bd3f06")
	require.Contains(t, out.String(), "1s ago")
	require.Equal(t, exitOK, runCauses([]string{"-address", address, "-lift", "7"}, &out, &errs), errs.String())
	require.Equal(t, "/crash-causes/7", lifted)
	require.Equal(t, exitFailed, runCauses([]string{"-address", address, "-lift", "8"}, &out, &errs))
	require.Contains(t, errs.String(), "no requests are refused for 8")
	require.Equal(t, exitUsage, runCauses(nil, &out, &errs))
}
