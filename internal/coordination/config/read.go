package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/settlement"
)

// Read reads the file. Its error is all that is wrong, each in a line of its own with file, key and what is allowed.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error names the file
	}
	c, faults := parse(text)
	for i, fault := range faults {
		faults[i] = fmt.Errorf("%s: %w", path, fault)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return c, nil
}

// parse reads a text and gives all that is wrong with it. The decoder stops at the first value of the wrong kind: its
// line is emptied and the rest read again, so that all of them are told at once.
func parse(text []byte) (*Config, []error) {
	lines := bytes.Split(text, []byte("\n"))
	var faults []error
	for {
		c := &Config{Process: Process{MaxConnections: defaultConnections},
			Timing: Timing{Lease: Duration{Duration: defaultLease}, DigestInterval: Duration{Duration: defaultDigestInterval}}}
		terms := settlement.DefaultTerms()
		c.Settlement = &terms
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n")))).DisallowUnknownFields().Decode(c)
		var missing *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case errors.As(err, &missing):
			for _, e := range missing.Errors {
				faults = append(faults, unknownKeyError(e.Key()))
			}
		case errors.As(err, &decodeErr):
			line, _ := decodeErr.Position()
			faults = append(faults, wrongTypeError(decodeErr, line))
			if len(decodeErr.Key()) == 0 || line < 1 || line > len(lines) || len(lines[line-1]) == 0 {
				return nil, faults // not TOML: what follows cannot be judged
			}
			lines[line-1] = nil
			continue
		case err != nil:
			return nil, append(faults, err)
		}
		return c, append(faults, c.validate()...)
	}
}

// unknownKeyError says what may stand where a key is not known.
func unknownKeyError(key toml.Key) error {
	table, at := reflect.TypeFor[Config](), 0
	for ; at < len(key)-1; at++ {
		field, ok := fieldByKey(table, key[at])
		if !ok {
			break
		}
		table = elementType(field.Type)
	}
	where := "the file"
	if at > 0 {
		where = "[" + strings.Join(key[:at], ".") + "]"
	}
	return fmt.Errorf("%s is no key; %s takes %s", strings.Join(key, "."), where, strings.Join(tableKeys(table), ", "))
}

// wrongTypeError says what may stand where a value is of the wrong kind.
func wrongTypeError(decodeErr *toml.DecodeError, line int) error {
	table := reflect.TypeFor[Config]()
	for _, key := range decodeErr.Key() {
		field, ok := fieldByKey(table, key)
		if !ok {
			table = nil
			break
		}
		table = elementType(field.Type)
	}
	if table == nil || len(decodeErr.Key()) == 0 {
		return fmt.Errorf("line %d: %s", line, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	}
	return fmt.Errorf("%s must be %s (line %d)", strings.Join(decodeErr.Key(), "."), expectedValue(table), line)
}

func expectedValue(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "text in quotes"
	case t.Kind() == reflect.Struct:
		return "a table"
	case t.Kind() == reflect.Slice:
		return "a list"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number, 0 or more"
}

// elementType is what a key's value is made of.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}

func fieldByKey(table reflect.Type, key string) (reflect.StructField, bool) {
	if table.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	for i := range table.NumField() {
		if table.Field(i).Tag.Get("toml") == key {
			return table.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// tableKeys are the keys that a table takes.
func tableKeys(t reflect.Type) (all []string) {
	if t.Kind() != reflect.Struct {
		return []string{"no further keys"}
	}
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ","); name != "" {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// FaultLines are the lines of an error of Read.
func FaultLines(err error) []string { return strings.Split(err.Error(), "\n") }
