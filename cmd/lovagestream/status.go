package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lovagestream/io/admin"
	"lovagestream/io/meter"
)

func init() {
	commands["status"] = command{help: "print the state of entry instances", run: runStatus}
}

const statusAbout = `Prints the state of entry instances, which are given by their operators'
addresses: the configuration in force and their view of the fleet. Instances that
can't be reached are named, and the exit code is then 1.`

const statusExamples = `  lovagestream status -address 10.0.1.5:9000
  lovagestream status -address 10.0.1.5:9000,10.0.2.5:9000 -json
`

// instanceStatus is the status of one instance, or the error of its request.
type instanceStatus struct {
	Address string        `json:"address"`
	Error   string        `json:"error,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

func runStatus(args []string, out, errs io.Writer) int {
	fls := newFlags("status", "-address HOST:PORT[,HOST:PORT...] [-json]", statusAbout, statusExamples, errs)
	addresses := fls.String("address", "", "operators' addresses of entry instances, separated by commas")
	tokenFile := fls.String("token-file", "", "file with the operators' bearer token")
	authorities := fls.String("authorities", "", "file with the certificate authorities of the operators' listeners in PEM; enables TLS")
	asJSON := fls.Bool("json", false, "print JSON instead of tables")
	if code := parse(fls, args); code >= 0 {
		return code
	}
	if *addresses == "" || fls.NArg() > 0 {
		fls.Usage()
		return exitUsage
	}
	cli, err := newClient(*tokenFile, *authorities)
	if err != nil {
		fmt.Fprintln(errs, "lovagestream:", err)
		return exitFailed
	}
	statuses, code := fetchAll(strings.Split(*addresses, ","), cli)
	if *asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(statuses); err != nil {
			fmt.Fprintln(errs, "lovagestream:", err)
			return exitFailed
		}
		return code
	}
	printStatus(out, statuses)
	return code
}

// newClient returns a client with the token of a file, if its path is not empty.
func newClient(tokenFile, authorities string) (*admin.Client, error) {
	token := ""
	if tokenFile != "" {
		raw, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(raw))
	}
	return admin.NewClient(token, authorities)
}

func fetchAll(addresses []string, cli *admin.Client) ([]instanceStatus, int) {
	code := exitOK
	var statuses []instanceStatus
	for _, adr := range addresses {
		ist := instanceStatus{Address: strings.TrimSpace(adr)}
		sta, err := cli.Status(context.Background(), ist.Address)
		if err != nil {
			ist.Error, code = err.Error(), exitFailed
		}
		ist.Status = sta
		statuses = append(statuses, ist)
	}
	return statuses, code
}

// printStatus prints one table of all instances, then the tables of each instance.
func printStatus(out io.Writer, statuses []instanceStatus) {
	tab := newTable(out, "ENTRY INSTANCE", "ZONE", "STATE", "REVISION", "PRESET", "LIST", "DUTIES", "KEYS BOUND", "ADDRESS")
	for _, ist := range statuses {
		sta := ist.Status
		if sta == nil {
			tab.row("?", "?", "unreachable", "?", "?", "?", "?", "?", ist.Address+": "+ist.Error)
			continue
		}
		tab.row(sta.Instance, sta.Zone, stateOf(sta), sta.Revision, sta.Preset, sta.ListRevision, strings.Join(sta.Duties, ","), sta.Keys.Bound, ist.Address)
	}
	tab.flush()
	for _, ist := range statuses {
		if ist.Status != nil {
			printInstance(out, ist.Status)
		}
	}
}

func stateOf(sta *admin.Status) string {
	switch {
	case sta.Stopping:
		return "stopping"
	case sta.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func printInstance(out io.Writer, sta *admin.Status) {
	fmt.Fprintf(out, "\nEntry instances known to %s\n", sta.Instance)
	tab := newTable(out, "ENTRY INSTANCE", "ZONE", "STATE", "REVISION", "LAST MESSAGE", "ADDRESS")
	for _, mem := range sta.Members {
		lastMessage := "none yet"
		if mem.SilentMS >= 0 {
			lastMessage = (time.Duration(mem.SilentMS) * time.Millisecond).String() + " ago"
		}
		tab.row(mem.ID, mem.Zone, mem.State, mem.Revision, lastMessage, mem.Address)
	}
	tab.flush()
	fmt.Fprintf(out, "\nBackend servers known to %s\n", sta.Instance)
	tab = newTable(out, "POOL", "BACKEND SERVER", "ZONE", "STATE", "OWN CALLS", "REPORTED RUNNING", "REPORTED WAITING", "ADDRESS")
	for _, srv := range sta.Servers {
		tab.row(srv.Pool, srv.ID, srv.Zone, srv.State, srv.Inflight, reported(srv.Running), reported(srv.Waiting), srv.Address)
	}
	tab.flush()
	if len(sta.Accounts) > 0 {
		fmt.Fprintf(out, "\nClient accounts served by %s\n", sta.Instance)
		tab = newTable(out, "CLIENT ACCOUNT", "CLASS", "SHARE", "RATE", "OF", "RUNNING", "OF", "TOKENS/S", "OF")
		for _, acc := range sta.Accounts {
			tab.row(acc.Account, acc.Class, acc.Share, acc.UsedRate, acc.Rate, acc.Running, acc.Concurrency, acc.UsedTokens, acc.Tokens)
		}
		tab.flush()
	}
	printCosts(out, sta)
	for _, rfs := range sta.Refused {
		fmt.Fprintf(out, "\n%s rejected a document from %s (revision %d): %s\n", sta.Instance, rfs.Source, rfs.Revision, rfs.Error)
	}
}

// printCosts prints the cost of each stage, summed over client accounts.
func printCosts(out io.Writer, sta *admin.Status) {
	if len(sta.Costs) == 0 {
		return
	}
	fmt.Fprintf(out, "\nCost by stage at %s since it started\n", sta.Instance)
	tab := newTable(out, "PIPELINE", "STAGE", "CALLS", "RETRIES", "HEDGES", "CUTS", "WASTED", "BUSY", "WASTED BUSY", "GENERATED TOKENS")
	for _, pip := range slices.Sorted(maps.Keys(sta.Costs)) {
		for _, stg := range slices.Sorted(maps.Keys(sta.Costs[pip])) {
			var sum meter.CostBody
			for _, cst := range sta.Costs[pip][stg] {
				sum = sum.Add(cst)
			}
			tab.row(pip, stg, sum.Calls, sum.Retries, sum.Hedges, sum.Migrations, sum.Wasted, milliseconds(sum.BusyMS), milliseconds(sum.WastedMS), sum.CompletionTokens)
		}
	}
	tab.flush()
}

func milliseconds(num float64) string {
	return time.Duration(num * float64(time.Millisecond)).Round(time.Millisecond).String()
}

func reported(num int) string {
	if num < 0 {
		return "no report"
	}
	return fmt.Sprint(num)
}

// table prints rows with aligned columns.
type table struct {
	wri *tabwriter.Writer
}

func newTable(out io.Writer, heads ...any) *table {
	tab := &table{wri: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	tab.row(heads...)
	return tab
}

func (tab *table) row(cells ...any) {
	for i, cel := range cells {
		if i > 0 {
			fmt.Fprint(tab.wri, "\t")
		}
		if num, ok := cel.(float64); ok {
			fmt.Fprintf(tab.wri, "%.3g", num)
			continue
		}
		fmt.Fprint(tab.wri, cel)
	}
	fmt.Fprintln(tab.wri)
}

func (tab *table) flush() { _ = tab.wri.Flush() }
