package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// FileError is one thing that is wrong with a file.
type FileError struct {
	File         string
	Line, Column int // from 1; 0: it stands nowhere in the file
	What         string
}

func (e FileError) Error() string {
	if e.Line == 0 {
		return e.File + ": " + e.What
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.What)
}

// Read reads a file. The error joins a FileError for each thing that is wrong with it.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads the text of a file; errors are as those of Read.
func Parse(file string, text []byte) (*Scenario, error) {
	s := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, DecodeErrors(file, err)
	}
	s.setDefaults()
	if err := s.check(file, keyPositions(text)); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check checks a scenario that was changed after it was read. The error joins a FileError for each
// thing that is wrong.
func (s *Scenario) Check(file string) error { return s.check(file, nil) }

// check reports each problem at the nearest key that the file has.
func (s *Scenario) check(file string, positions map[string]unstable.Position) error {
	var all []error
	for _, p := range s.problems() {
		e := FileError{File: file, What: p.key + " " + p.message}
		for key := p.key; e.Line == 0 && key != ""; {
			if position, known := positions[key]; known {
				e.Line = position.Line
				e.Column = position.Column
			}
			key = key[:max(strings.LastIndex(key, "."), 0)]
		}
		all = append(all, e)
	}
	return errors.Join(all...)
}

// DecodeErrors makes a FileError of each error of the decoder.
func DecodeErrors(file string, err error) error {
	var unknownKeys *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys):
		var all []error
		for _, e := range unknownKeys.Errors {
			line, column := e.Position()
			all = append(all, FileError{file, line, column, "no such key: " + strings.Join(e.Key(), ".")})
		}
		return errors.Join(all...)
	case errors.As(err, &malformed):
		line, column := malformed.Position()
		return FileError{file, line, column, strings.TrimPrefix(malformed.Error(), "toml: ")}
	}
	return FileError{File: file, What: err.Error()}
}
