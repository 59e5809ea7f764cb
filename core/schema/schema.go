// Package schema parses YAML documents strictly and reports all faults of a
// document at once, each with file, line, key path, found and allowed values.
// It is used for the settings of a process and for the published configuration.
//
// It is not a general decoder: a type reads its own fields with one call per
// field, so that the fields can be unexported. The same calls without a document
// describe the fields for the reference pages (see Describe).
package schema

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// report collects the results of reading one document.
type report struct {
	file   string
	faults Faults
	// fields is only set if describing is true.
	fields     []Field
	describing bool
	// printing records all values, defaults included, for Print.
	printing bool
}

// Map is one mapping node. Each getter reads one key and marks it as known;
// Done reports the unknown keys. Getters return the default if the value is
// missing or invalid, so that one pass finds all faults.
type Map struct {
	rep  *report
	path string
	line int
	// nodes holds the value node of each key; it is empty while describing.
	nodes map[string]*yaml.Node
	// known holds the keys that getters have read so far.
	known map[string]bool
	// printed collects the values in effect; nil unless printing.
	printed *yaml.Node
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// Read parses one document and passes its root mapping to fill. It returns all
// faults, sorted by line.
func Read(file string, data []byte, fill func(*Map)) Faults {
	rep := &report{file: file}
	root := rep.parse(data)
	if root != nil {
		fill(root)
		root.Done()
	}
	sort.SliceStable(rep.faults, func(i, j int) bool { return rep.faults[i].line < rep.faults[j].line })
	return rep.faults
}

// Describe runs fill without a document and returns the fields that it reads.
func Describe(fill func(*Map)) []Field {
	rep := &report{describing: true}
	fill(rep.newMap("", 0))
	return rep.fields
}

func (rep *report) parse(data []byte) *Map {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		found := err.Error()
		if errors.Is(err, io.EOF) {
			found = "an empty document"
		}
		rep.add(1, "(document)", found, "one YAML mapping")
		return nil
	}
	var more yaml.Node
	if err := dec.Decode(&more); !errors.Is(err, io.EOF) {
		rep.add(more.Line, "(document)", "a second document or trailing text", "one YAML mapping")
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		rep.add(1, "(document)", "no mapping", "one YAML mapping")
		return nil
	}
	return rep.readMapping(doc.Content[0], "")
}

func (rep *report) add(line int, path, found, want string) {
	const longest = 60
	if len(found) > longest {
		found = found[:longest] + "…"
	}
	rep.faults = append(rep.faults, NewFault(rep.file, line, path, found, want))
}

func (rep *report) readMapping(nod *yaml.Node, path string) *Map {
	mp := rep.newMap(path, nod.Line)
	mp.nodes = map[string]*yaml.Node{}
	for i := 0; i+1 < len(nod.Content); i += 2 {
		key, val := nod.Content[i], nod.Content[i+1]
		if _, twice := mp.nodes[key.Value]; twice {
			rep.add(key.Line, mp.keyPath(key.Value), "the key twice", "each key once")
			continue
		}
		// Aliases are refused: expanding them can make a small document grow
		// without bound and exhaust the memory.
		if val.Kind == yaml.AliasNode {
			rep.add(val.Line, mp.keyPath(key.Value), "an alias", "the value written out")
			continue
		}
		mp.nodes[key.Value] = val
	}
	return mp
}

func (mp *Map) keyPath(key string) string {
	if mp.path == "" {
		return key
	}
	return mp.path + "." + key
}

// Path returns the key path of the mapping.
func (mp *Map) Path() string { return mp.path }

// Line returns the line at which the mapping starts.
func (mp *Map) Line() int { return mp.line }

// Describing reports whether this is a pass of Describe, without a document.
func (mp *Map) Describing() bool { return mp.rep.describing }

// Fault reports a fault that the caller found at a key of the mapping.
func (mp *Map) Fault(key, found, want string) {
	line := mp.line
	if nod := mp.nodes[key]; nod != nil {
		line = nod.Line
	}
	mp.rep.add(line, mp.keyPath(key), found, want)
}

// Done reports a fault for each key that no getter has read.
func (mp *Map) Done() {
	if mp.Describing() {
		return
	}
	allowed := make([]string, 0, len(mp.known))
	for key := range mp.known {
		allowed = append(allowed, key)
	}
	sort.Strings(allowed)
	for key, nod := range mp.nodes {
		if !mp.known[key] {
			mp.rep.add(nod.Line, mp.keyPath(key), "an unknown key", "one of "+strings.Join(allowed, ", "))
		}
	}
}

// scalar returns the scalar value of a key, or false if there is none.
func (mp *Map) scalar(key string, fie Field, required bool) (string, bool) {
	mp.known[key] = true
	fie.path = mp.keyPath(key)
	if mp.Describing() {
		mp.rep.fields = append(mp.rep.fields, fie)
		return "", false
	}
	nod := mp.nodes[key]
	if nod == nil {
		if required {
			mp.Fault(key, "nothing", fie.allowed)
		}
		return "", false
	}
	if nod.Kind != yaml.ScalarNode || nod.Tag == "!!null" {
		mp.Fault(key, describeNode(nod), fie.allowed)
		return "", false
	}
	return nod.Value, true
}

func describeNode(nod *yaml.Node) string {
	switch {
	case nod.Kind == yaml.MappingNode:
		return "a mapping"
	case nod.Kind == yaml.SequenceNode:
		return "a list"
	case nod.Tag == "!!null":
		return "null"
	default:
		return strconv.Quote(nod.Value)
	}
}

// Name reads a required name in kebab case, of at most 64 characters.
func (mp *Map) Name(key, doc string) string {
	const longest = 64
	want := "a name in kebab case, at most 64 characters"
	val, ok := mp.scalar(key, Field{kind: "name", defaultValue: "required", allowed: want, doc: doc}, true)
	if !ok {
		return ""
	}
	if len(val) > longest || !namePattern.MatchString(val) {
		mp.Fault(key, strconv.Quote(val), want)
		return ""
	}
	mp.printText(key, val)
	return val
}

// OptName reads an optional name in kebab case. It returns "" if it is missing.
func (mp *Map) OptName(key, doc string) string {
	mp.known[key] = true
	if mp.nodes[key] == nil && !mp.Describing() {
		return ""
	}
	return mp.Name(key, doc)
}

// Text reads a string. If required is set, it must be present and not empty.
func (mp *Map) Text(key, def, doc string, required bool) string {
	fie := Field{kind: "text", defaultValue: strconv.Quote(def), allowed: "text", doc: doc}
	if required {
		fie.defaultValue = "required"
		fie.allowed = "text that is not empty"
	}
	val, ok := mp.scalar(key, fie, required)
	if !ok {
		mp.printText(key, def)
		return def
	}
	if required && val == "" {
		mp.Fault(key, `""`, fie.allowed)
	}
	mp.printText(key, val)
	return val
}

// Choice reads one of the allowed words. The first one is the default.
func (mp *Map) Choice(key, doc string, allowed ...string) string {
	want := "one of " + strings.Join(allowed, ", ")
	val, ok := mp.scalar(key, Field{kind: "choice", defaultValue: allowed[0], allowed: want, doc: doc}, false)
	if !ok {
		mp.printText(key, allowed[0])
		return allowed[0]
	}
	for _, wrd := range allowed {
		if wrd == val {
			mp.printText(key, val)
			return val
		}
	}
	mp.Fault(key, strconv.Quote(val), want)
	return allowed[0]
}

// Bool reads true or false.
func (mp *Map) Bool(key string, def bool, doc string) bool {
	const want = "true or false"
	val, ok := mp.scalar(key, Field{kind: "boolean", defaultValue: strconv.FormatBool(def), allowed: want, doc: doc}, false)
	if !ok {
		mp.printScalar(key, "!!bool", strconv.FormatBool(def))
		return def
	}
	if val != "true" && val != "false" {
		mp.Fault(key, strconv.Quote(val), want)
		return def
	}
	mp.printScalar(key, "!!bool", val)
	return val == "true"
}

// Number is the type of a numeric field and its bounds.
type Number interface {
	~int | ~int64 | ~uint64 | ~float64
}

// readBounded parses a value and checks it against its bounds.
func readBounded[N Number](mp *Map, key string, fie Field, def, lower, upper N, parse func(string) (N, error)) N {
	val, ok := mp.scalar(key, fie, false)
	if !ok {
		mp.printScalar(key, fie.tag(), fie.defaultValue)
		return def
	}
	num, err := parse(val)
	if err != nil || num < lower || num > upper {
		mp.Fault(key, strconv.Quote(val), fie.allowed)
		return def
	}
	mp.printScalar(key, fie.tag(), val)
	return num
}

// Int reads a whole number between lower and upper.
func (mp *Map) Int(key string, def, lower, upper int, doc string) int {
	fie := Field{kind: "integer", defaultValue: strconv.Itoa(def), allowed: fmt.Sprintf("a whole number from %d to %d", lower, upper), doc: doc}
	return readBounded(mp, key, fie, def, lower, upper, strconv.Atoi)
}

// Uint reads a 64-bit whole number that is at least lower.
func (mp *Map) Uint(key string, def, lower uint64, doc string) uint64 {
	fie := Field{kind: "integer", defaultValue: strconv.FormatUint(def, 10), allowed: fmt.Sprintf("a whole number from %d", lower), doc: doc}
	return readBounded(mp, key, fie, def, lower, math.MaxUint64, func(val string) (uint64, error) {
		return strconv.ParseUint(val, 10, 64)
	})
}

// Float reads a number between lower and upper.
func (mp *Map) Float(key string, def, lower, upper float64, doc string) float64 {
	fie := Field{kind: "number", defaultValue: strconv.FormatFloat(def, 'g', -1, 64), allowed: fmt.Sprintf("a number from %g to %g", lower, upper), doc: doc}
	return readBounded(mp, key, fie, def, lower, upper, func(val string) (float64, error) {
		num, err := strconv.ParseFloat(val, 64)
		if math.IsNaN(num) {
			return 0, strconv.ErrRange
		}
		return num, err
	})
}

// Duration reads a duration with its unit, such as "250ms".
func (mp *Map) Duration(key string, def, lower, upper time.Duration, doc string) time.Duration {
	fie := Field{kind: "duration", defaultValue: def.String(), allowed: fmt.Sprintf("a duration with its unit from %s to %s", lower, upper), doc: doc}
	return readBounded(mp, key, fie, def, lower, upper, time.ParseDuration)
}

// Sub reads a nested mapping. A missing one is read as empty, so that the
// defaults of its keys apply.
func (mp *Map) Sub(key string, fill func(*Map)) {
	mp.known[key] = true
	sub := mp.rep.newMap(mp.keyPath(key), mp.line)
	if nod := mp.nodes[key]; nod != nil {
		if nod.Kind != yaml.MappingNode {
			mp.Fault(key, describeNode(nod), "a mapping")
			return
		}
		sub = mp.rep.readMapping(nod, mp.keyPath(key))
	}
	fill(sub)
	sub.Done()
	mp.printNode(key, sub.printed)
}

// Has reports whether the document contains the key.
func (mp *Map) Has(key string) bool { return mp.nodes[key] != nil }

// List reads a list of mappings of between lower and upper entries.
func (mp *Map) List(key string, lower, upper int, fill func(*Map)) {
	mp.known[key] = true
	if mp.Describing() {
		fill(mp.rep.newMap(mp.keyPath(key)+"[]", 0))
		return
	}
	seq := &yaml.Node{Kind: yaml.SequenceNode}
	for i, nod := range mp.entries(key, lower, upper, "mappings") {
		if nod.Kind != yaml.MappingNode {
			mp.rep.add(nod.Line, fmt.Sprintf("%s[%d]", mp.keyPath(key), i), describeNode(nod), "a mapping")
			continue
		}
		sub := mp.rep.readMapping(nod, fmt.Sprintf("%s[%d]", mp.keyPath(key), i))
		fill(sub)
		sub.Done()
		seq.Content = append(seq.Content, sub.printed)
	}
	mp.printNode(key, seq)
}

// Texts reads a list of between lower and upper strings.
func (mp *Map) Texts(key string, lower, upper int, doc string) []string {
	mp.known[key] = true
	if mp.Describing() {
		fie := Field{path: mp.keyPath(key), kind: "list of text", defaultValue: "empty", allowed: fmt.Sprintf("%d to %d entries", lower, upper), doc: doc}
		mp.rep.fields = append(mp.rep.fields, fie)
		return nil
	}
	var vals []string
	for i, nod := range mp.entries(key, lower, upper, "texts") {
		if nod.Kind != yaml.ScalarNode || nod.Tag == "!!null" {
			mp.rep.add(nod.Line, fmt.Sprintf("%s[%d]", mp.keyPath(key), i), describeNode(nod), "text")
			continue
		}
		vals = append(vals, nod.Value)
	}
	mp.printTexts(key, vals)
	return vals
}

func (mp *Map) entries(key string, lower, upper int, what string) []*yaml.Node {
	nod := mp.nodes[key]
	want := fmt.Sprintf("a list of %d to %d %s", lower, upper, what)
	if nod == nil {
		if lower > 0 {
			mp.Fault(key, "nothing", want)
		}
		return nil
	}
	if nod.Kind != yaml.SequenceNode {
		mp.Fault(key, describeNode(nod), want)
		return nil
	}
	if len(nod.Content) < lower || len(nod.Content) > upper {
		mp.Fault(key, fmt.Sprintf("%d entries", len(nod.Content)), want)
		return nil
	}
	return nod.Content
}
