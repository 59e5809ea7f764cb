package schema

import (
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Print reads a document and formats it with the effective values of all keys,
// defaults included, in the order in which fill reads them. If the document has
// faults, it returns them as the error.
func Print(file string, data []byte, fill func(*Map)) ([]byte, error) {
	rep := &report{file: file, printing: true}
	root := rep.parse(data)
	if root != nil {
		fill(root)
		root.Done()
	}
	if err := rep.faults.Err(); err != nil {
		return nil, err
	}
	raw, err := yaml.Marshal(root.printed)
	return raw, errors.Wrap(err, "print document")
}

func (rep *report) newMap(path string, line int) *Map {
	mp := &Map{rep: rep, path: path, line: line, known: map[string]bool{}}
	if rep.printing {
		mp.printed = &yaml.Node{Kind: yaml.MappingNode}
	}
	return mp
}

// printText records a string under its key.
func (mp *Map) printText(key, val string) { mp.printScalar(key, "!!str", val) }

func (mp *Map) printScalar(key, tag, val string) {
	if mp.printed != nil {
		mp.printNode(key, &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: val})
	}
}

func (mp *Map) printTexts(key string, vals []string) {
	seq := &yaml.Node{Kind: yaml.SequenceNode}
	for _, val := range vals {
		seq.Content = append(seq.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: val})
	}
	mp.printNode(key, seq)
}

func (mp *Map) printNode(key string, nod *yaml.Node) {
	if mp.printed == nil {
		return
	}
	mp.printed.Content = append(mp.printed.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: key}, nod)
}
