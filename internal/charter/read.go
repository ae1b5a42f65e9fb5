package charter

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"harrierhoist/internal/debts"
)

// Read reads the file. Its error is all that is wrong, each in a line of its own with file, key and what is allowed.
func Read(path string) (*Charter, error) {
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
func parse(text []byte) (*Charter, []error) {
	lines := bytes.Split(text, []byte("\n"))
	var faults []error
	for {
		c := &Charter{Process: Process{Connections: connectionsUsual},
			Timing: Timing{Lease: Span{Duration: leaseUsual}, DigestEvery: Span{Duration: digestUsual}}}
		terms := debts.Default()
		c.Debts = &terms
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n")))).DisallowUnknownFields().Decode(c)
		var missing *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case errors.As(err, &missing):
			for _, e := range missing.Errors {
				faults = append(faults, unknown(e.Key()))
			}
		case errors.As(err, &bad):
			row, _ := bad.Position()
			faults = append(faults, unfit(bad, row))
			if len(bad.Key()) == 0 || row < 1 || row > len(lines) || len(lines[row-1]) == 0 {
				return nil, faults // not TOML: what follows cannot be judged
			}
			lines[row-1] = nil
			continue
		case err != nil:
			return nil, append(faults, err)
		}
		return c, append(faults, c.check()...)
	}
}

// unknown says what may stand where a key is not known.
func unknown(key toml.Key) error {
	in, at := reflect.TypeFor[Charter](), 0
	for ; at < len(key)-1; at++ {
		field, ok := find(in, key[at])
		if !ok {
			break
		}
		in = under(field.Type)
	}
	where := "the file"
	if at > 0 {
		where = "[" + strings.Join(key[:at], ".") + "]"
	}
	return fmt.Errorf("%s is no key; %s takes %s", strings.Join(key, "."), where, strings.Join(names(in), ", "))
}

// unfit says what may stand where a value is of the wrong kind.
func unfit(e *toml.DecodeError, row int) error {
	in := reflect.TypeFor[Charter]()
	for _, word := range e.Key() {
		field, ok := find(in, word)
		if !ok {
			in = nil
			break
		}
		in = under(field.Type)
	}
	if in == nil || len(e.Key()) == 0 {
		return fmt.Errorf("line %d: %s", row, strings.TrimPrefix(e.Error(), "toml: "))
	}
	return fmt.Errorf("%s must be %s (line %d)", strings.Join(e.Key(), "."), kind(in), row)
}

func kind(t reflect.Type) string {
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

// under is what a key's value is made of.
func under(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}

func find(in reflect.Type, word string) (reflect.StructField, bool) {
	if in.Kind() != reflect.Struct {
		return reflect.StructField{}, false
	}
	for i := range in.NumField() {
		if in.Field(i).Tag.Get("toml") == word {
			return in.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// names are the keys that a table takes.
func names(t reflect.Type) (all []string) {
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

// Faults are the lines of an error of Read.
func Faults(err error) []string { return strings.Split(err.Error(), "\n") }
