package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one thing wrong with a file.
type FileError struct {
	File         string
	Line, Column int // from 1; 0: not at one place
	What         string
}

func (f FileError) Error() string {
	if f.Line == 0 {
		return f.File + ": " + f.What
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.What)
}

// Read reads a file. The error joins a Fault for each thing that is wrong.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads a file's text.
func Parse(file string, text []byte) (*Scenario, error) {
	w := Default()
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&w); err != nil {
		return nil, DecodeErrors(file, err)
	}
	if len(w.Classes) == 0 {
		w.Classes = defaultClasses()
	}
	if len(w.Plans) == 0 {
		w.Plans = defaultPlans()
	}
	for i := range w.Classes {
		l := &w.Classes[i]
		if l.Distribution == "" {
			l.Distribution = "exponential"
		}
		if l.Effect == "" {
			l.Effect = "pure"
		}
		if l.Weight == 0 {
			l.Weight = 1
		}
	}
	for i := range w.Plans {
		if p := &w.Plans[i]; p.Price == 0 {
			p.Price = 1
		}
	}
	if err := w.check(file, keyPositions(text)); err != nil {
		return nil, err
	}
	return &w, nil
}

// Check checks a world that was changed after it was read; the error joins a Fault for each thing that is wrong.
func (s *Scenario) Check(file string) error { return s.check(file, nil) }

func (s *Scenario) check(file string, at map[string]unstable.Position) error {
	var all []error
	for _, wrong := range s.problems() {
		f := FileError{File: file, What: wrong.key + " " + wrong.message}
		for path := wrong.key; f.Line == 0 && path != ""; { // the nearest that the file names
			if p, ok := at[path]; ok {
				f.Line, f.Column = p.Line, p.Column
			}
			cut := strings.LastIndexAny(path, ".")
			path = path[:max(cut, 0)]
		}
		all = append(all, f)
	}
	return errors.Join(all...)
}

// Faults gives the decoder's errors their places.
func DecodeErrors(file string, err error) error {
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		var all []error
		for _, e := range missing.Errors {
			line, column := e.Position()
			all = append(all, FileError{file, line, column, "no such key: " + strings.Join(e.Key(), ".")})
		}
		return errors.Join(all...)
	case errors.As(err, &bad):
		line, column := bad.Position()
		return FileError{file, line, column, strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return FileError{File: file, What: err.Error()}
}

// places finds where each key of a file stands.
func keyPositions(text []byte) map[string]unstable.Position {
	at := map[string]unstable.Position{}
	var p unstable.Parser
	p.Reset(text)
	table, counts := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var words []string
		var first []byte
		for it := e.Key(); it.Next(); {
			if first == nil {
				first = p.Raw(it.Node().Raw)
				if len(first) == 0 {
					first = it.Node().Data
				}
			}
			words = append(words, string(it.Node().Data))
		}
		name := strings.Join(words, ".")
		start := unstable.Position{}
		if len(first) > 0 {
			start = p.Shape(p.Range(first)).Start
		}
		switch e.Kind {
		case unstable.Table:
			table = name
			at[table] = start
		case unstable.ArrayTable:
			table = name + "." + strconv.Itoa(counts[name])
			counts[name]++
			at[table] = start
			if _, seen := at[name]; !seen {
				at[name] = start
			}
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			at[name] = start
		}
	}
	return at
}
