package rules

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// PageCommand is a command that a page names.
type PageCommand struct {
	// Page is the path of the page, Name the name of the command.
	Page string
	Name string
	// Flags are the names of the flags that the page gives it, but for -h.
	Flags []string
}

var pageFlag = regexp.MustCompile(`(?:^|[ \[])--?([a-z][a-z-]*)`)

// PageCommands returns the commands of a program that the pages below a directory name, each with
// the rest of its line or code as its arguments. Directories with one of the names in without are
// left out.
func PageCommands(root, program string, without ...string) ([]PageCommand, error) {
	command := regexp.MustCompile(`(?m)(?:^|[` + "`" + `"( /])` + program + ` ([a-z][a-z-]*)([^` + "`" + `"#|>\n]*)`)
	var out []PageCommand
	err := filepath.WalkDir(root, func(path string, ent fs.DirEntry, err error) error {
		if err != nil || ent.IsDir() {
			if ent != nil && slices.Contains(without, ent.Name()) {
				return fs.SkipDir
			}
			return err
		}
		if filepath.Ext(path) != ".md" {
			return nil
		}
		page, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		text := strings.ReplaceAll(string(page), "\\\n", " ")
		for _, got := range command.FindAllStringSubmatch(text, -1) {
			cmd := PageCommand{Page: path, Name: got[1]}
			for _, fla := range pageFlag.FindAllStringSubmatch(got[2], -1) {
				if fla[1] != "h" {
					cmd.Flags = append(cmd.Flags, fla[1])
				}
			}
			out = append(out, cmd)
		}
		return nil
	})
	return out, err
}
