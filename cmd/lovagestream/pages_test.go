package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/stand/rules"
)

// A page must not name a command or a flag that doesn't exist.
func TestPagesNameCommands(t *testing.T) {
	list, err := rules.PageCommands("../..", "lovagestream", "journal", "review", ".git")
	require.NoError(t, err)
	known := 0
	for _, cmd := range list {
		var help bytes.Buffer
		if run([]string{cmd.Name, "-h"}, &help, &help); bytes.Contains(help.Bytes(), []byte("unknown command")) {
			// Pages have the program's name in sentences, too.
			require.Empty(t, cmd.Flags, "%s: %s", cmd.Page, cmd.Name)
			continue
		}
		known++
		for _, fla := range cmd.Flags {
			require.Contains(t, help.String(), "-"+fla, "%s: %s", cmd.Page, cmd.Name)
		}
	}
	require.Greater(t, known, 10)
}
