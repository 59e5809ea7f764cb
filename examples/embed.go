// Package sample holds the example configurations of two deployments. The
// demo and the tests run them; operators can copy them.
package sample

import (
	_ "embed" // for the documents
)

// Company is the casting call service's configuration.
//
//go:embed company.yaml
var Company []byte

// Xinmiao is the enrolment assistant's configuration.
//
//go:embed xinmiao.yaml
var Xinmiao []byte
