package drill

import (
	"bytes"
	"fmt"
)

// Size of the generated documents beside the accounts: the size expected in two
// years.
const (
	pipelines = 19
	stages    = 4
	// rate is the contract of every account in requests per second.
	rate = 100
)

// document returns a configuration with the zones and accounts of the options.
func document(revision uint64, preset string, opt Options) []byte {
	var doc bytes.Buffer
	fmt.Fprintf(&doc, "revision: %d\nactive-preset: %s\nzones:\n", revision, preset)
	for i := range opt.zones {
		fmt.Fprintf(&doc, "  - name: zone-%c\n    region: region-%d\n", 'a'+i, 1+i/4)
	}
	doc.WriteString("pools:\n  - name: services\n    kind: service\npipelines:\n")
	for i := range pipelines {
		fmt.Fprintf(&doc, "  - name: pipeline-%d\n    deadline: 6s\n    stages:\n", i+1)
		for num := range stages {
			fmt.Fprintf(&doc, "      - name: stage-%d\n        pool: services\n        inputs: [request]\n", num+1)
		}
	}
	doc.WriteString("client-accounts:\n")
	for i := range opt.accounts {
		fmt.Fprintf(&doc, "  - name: account-%d\n    credential-sha256: \"%064x\"\n    contract:\n      class: silver\n      rate: %d\n      concurrency: %d\n      tokens: 20000\n", i+1, i+1, rate, rate)
	}
	doc.WriteString("presets:\n  - name: ordinary\n  - name: peak\n  - name: maintenance\n")
	return doc.Bytes()
}
