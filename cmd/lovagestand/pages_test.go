package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagestream/stand/rules"
)

// A page must not name a command or a flag that doesn't exist.
func TestPagesNameCommands(t *testing.T) {
	list, err := rules.PageCommands("../..", "lovagestand", "journal", "review", ".git")
	require.NoError(t, err)
	require.Greater(t, len(list), 10)
	for _, cmd := range list {
		require.Contains(t, commands, cmd.Name, cmd.Page)
		var help bytes.Buffer
		commands[cmd.Name].run(context.Background(), []string{"-h"}, &help, &help)
		for _, fla := range cmd.Flags {
			require.Contains(t, help.String(), "-"+fla, "%s: %s", cmd.Page, cmd.Name)
		}
	}
}
