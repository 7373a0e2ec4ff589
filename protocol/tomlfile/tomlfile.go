// Package tomlfile decodes TOML files strictly and reports every finding with file, line and key.
package tomlfile

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Finding is one problem in a file. Line is 0 when the file holds neither the key nor a table above it.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as file:line: key: message.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings are all problems of a file; the slice is empty when the file is valid.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is a decoded file with the line numbers of its keys and the findings so far.
type File struct {
	name     string
	lines    map[string]int
	findings Findings
}

// maxTypeErrors bounds the number of decoding passes over a file that has values of the wrong type.
const maxTypeErrors = 50

// Decode reads data into v. Syntax errors, wrong types and unknown keys become findings of the file.
func Decode(name string, data []byte, v any) *File {
	f := &File{name: name, lines: make(map[string]int)}
	f.indexLines(data)
	// The decoder stops at the first value of the wrong type. Its line is blanked for the next pass, so that all such
	// values are found.
	lines := bytes.Split(data, []byte("\n"))
	for range maxTypeErrors {
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n")))).DisallowUnknownFields().Decode(v)
		wrongLine := f.reportDecodeError(err)
		if wrongLine == 0 || wrongLine > len(lines) || len(lines[wrongLine-1]) == 0 {
			break
		}
		lines[wrongLine-1] = nil
	}
	return f
}

// reportDecodeError adds the findings of one decoding pass. It returns the line of a value of the wrong type, or 0.
func (f *File) reportDecodeError(err error) (wrongLine int) {
	if err == nil {
		return 0
	}
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		for i := range strictErr.Errors {
			line, _ := strictErr.Errors[i].Position()
			f.add(line, strings.Join(strictErr.Errors[i].Key(), "."), "unknown key")
		}
		return 0
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		f.add(0, "", err.Error())
		return 0
	}
	line, _ := decodeErr.Position()
	f.add(line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
	if len(decodeErr.Key()) == 0 {
		return 0
	}
	return line
}

// Report adds a finding at a key path such as "model[0].name".
func (f *File) Report(key, format string, args ...any) {
	f.add(f.lineOf(key), key, fmt.Sprintf(format, args...))
}

// Findings returns all findings, sorted by line.
func (f *File) Findings() Findings {
	sort.SliceStable(f.findings, func(i, j int) bool { return f.findings[i].Line < f.findings[j].Line })
	return f.findings
}

func (f *File) add(line int, key, message string) {
	f.findings = append(f.findings, Finding{File: f.name, Line: line, Key: key, Message: message})
}

// lineOf returns the line of a key or, if the file does not contain it, of the closest enclosing table.
func (f *File) lineOf(key string) int {
	for key != "" {
		if line, ok := f.lines[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// indexLines records the line of every table and key.
func (f *File) indexLines(data []byte) {
	var p unstable.Parser
	p.Reset(data)
	table := ""
	arrayLengths := make(map[string]int)
	for p.NextExpression() {
		node := p.Expression()
		key, line := keyOf(&p, node)
		switch node.Kind {
		case unstable.Table:
			table = resolvePath(key, arrayLengths)
			f.lines[table] = line
		case unstable.ArrayTable:
			resolved := resolvePath(key, arrayLengths)
			table = fmt.Sprintf("%s[%d]", resolved, arrayLengths[resolved])
			arrayLengths[resolved]++
			f.lines[table] = line
		case unstable.KeyValue:
			f.lines[joinPath(table, strings.Join(key, "."))] = line
		}
	}
}

// resolvePath converts a dotted key to a path in which the name of every enclosing array table is followed by the index
// of its latest element.
func resolvePath(key []string, arrayLengths map[string]int) string {
	path := ""
	for i, part := range key {
		path = joinPath(path, part)
		if n := arrayLengths[path]; n > 0 && i < len(key)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

func keyOf(p *unstable.Parser, node *unstable.Node) (key []string, line int) {
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		if line == 0 {
			line = p.Shape(part.Raw).Start.Line
		}
		key = append(key, string(part.Data))
	}
	return key, line
}
