package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"lovagestream/core/config"
	"lovagestream/io/setup"
)

func init() {
	commands["check"] = command{help: "check published configurations, and settings", run: runCheck}
}

const checkAbout = `Checks published configurations, or settings files with -settings, and prints
every fault with file, line, key path, value found and what is allowed.`

const checkExamples = `  lovagestream check examples/company.yaml examples/xinmiao.yaml
  lovagestream check -settings /etc/lovagestream.yaml
  lovagestream check -against 127.0.0.1:9001 next.yaml
`

func runCheck(args []string, out, errs io.Writer) int {
	fls := newFlags("check", "[flags] FILE...", checkAbout, checkExamples, errs)
	against := fls.String("against", "", "operators' address of an entry instance; prints what each file would change there")
	token := fls.String("token-file", "", "file with the operators' bearer token, for -against")
	authorities := fls.String("authorities", "", "file with the certificate authorities of the operators' listener in PEM, for -against over TLS")
	settings := fls.Bool("settings", false, "the files are settings, not published configurations")
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if fls.NArg() == 0 {
		fls.Usage()
		return exitUsage
	}
	if *against != "" {
		return checkAgainst(*against, *token, *authorities, fls.Args(), out, errs)
	}
	code := exitOK
	for _, path := range fls.Args() {
		if err := checkFile(path, *settings); err != nil {
			fmt.Fprintln(errs, err)
			code = exitFailed
			continue
		}
		fmt.Fprintln(out, path+": ok")
	}
	return code
}

func checkFile(path string, settings bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if settings {
		_, err = setup.Read(path, data)
		return err
	}
	_, err = config.Read(path, data)
	return err
}

// checkAgainst prints the changes between the configuration in force at an entry
// instance and each file.
func checkAgainst(address, tokenFile, authorities string, paths []string, out, errs io.Writer) int {
	cli, err := newClient(tokenFile, authorities)
	var old *config.Document
	if err == nil {
		old, err = cli.Config(context.Background(), address)
	}
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	code := exitOK
	for _, path := range paths {
		data, err := os.ReadFile(path)
		var doc *config.Document
		if err == nil {
			doc, err = config.Read(path, data)
		}
		if err != nil {
			fmt.Fprintln(errs, err)
			code = exitFailed
			continue
		}
		printChanges(out, path, config.Diff(old, doc))
	}
	return code
}

func printChanges(out io.Writer, path string, chgs []config.Change) {
	if len(chgs) == 0 {
		fmt.Fprintln(out, path+": ok, changes nothing")
		return
	}
	fmt.Fprintln(out, path+": ok, changes")
	for _, chg := range chgs {
		fmt.Fprintln(out, "  "+chg.String())
	}
}
