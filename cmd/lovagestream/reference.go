package main

import (
	"fmt"
	"io"
	"strings"

	"lovagestream/core/config"
	"lovagestream/core/schema"
	"lovagestream/io/setup"
)

func init() {
	commands["settings-reference"] = command{help: "print the reference page of settings and configuration", run: runReference}
}

const referenceAbout = `Prints docs/settings.md: every key of a settings file and of a published
configuration, generated from the code that reads them.`

const referenceExamples = `  lovagestream settings-reference > docs/settings.md
`

func runReference(args []string, out, errs io.Writer) int {
	fls := newFlags("settings-reference", "", referenceAbout, referenceExamples, errs)
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if fls.NArg() > 0 {
		fls.Usage()
		return exitUsage
	}
	fmt.Fprint(out, reference())
	return exitOK
}

const referenceHead = `# Settings and published configuration

Both are YAML and read strictly: an unknown key, a wrong type or unit, a value
out of bounds, a name used twice or not defined is a fault, and every fault of
a file is reported in one run with file, line, key path, value found and what
is allowed. Aliases are refused. Durations carry a unit (250ms, 6s, 10m), sizes
too (B, KiB, MiB, GiB). This page is made by "lovagestream settings-reference".

Secrets are never written into settings: settings name the file or the
environment variable that holds them, and nothing prints them.

## Settings of a process

"lovagestream check -settings FILE" checks them, and "lovagestream serve
-settings FILE -print-settings" shows them with their defaults.

`

const edgeFlags = `
## Flags of "lovagestream edge"

On the published platform the settings file is the platform's; what is the
operators' own is given by flags, for every instance alike. They are read at the
start. "lovagestream edge -h" lists all.

| Flag | Type | Default | Allowed | Meaning |
|---|---|---|---|---|
| ` + "`-divide-accounts`" + ` | boolean | true | true or false | Whether contended pools, services and retries are divided between the client accounts that ask for them. Without it a refusal never has the reason account-over-share, and nothing is reported between instances about accounts. Instances with and without it may run side by side. |
| ` + "`-account-metrics`" + ` | integer | 8 | a whole number from 0 to 256 | Largest number of client accounts that metrics name; the others are added up as *rest, and 0 serves no metrics by account. |
`

const configurationHead = `
## Published configuration

One document, published by the operators with a revision that grows.
"lovagestream check FILE..." checks documents. The two in examples/ are whole.

`

func reference() string {
	var buf strings.Builder
	buf.WriteString(referenceHead)
	writeTable(&buf, setup.Fields())
	buf.WriteString(edgeFlags)
	buf.WriteString(configurationHead)
	writeTable(&buf, config.Fields())
	return buf.String()
}

func writeTable(buf *strings.Builder, fields []schema.Field) {
	buf.WriteString("| Key | Type | Default | Allowed | Meaning |\n|---|---|---|---|---|\n")
	cell := strings.NewReplacer("|", "\\|", "\n", " ")
	for _, fie := range fields {
		fmt.Fprintf(buf, "| `%s` | %s | %s | %s | %s |\n", fie.Path(), fie.Kind(), cell.Replace(fie.Default()), cell.Replace(fie.Allowed()), cell.Replace(fie.Doc()))
	}
}
