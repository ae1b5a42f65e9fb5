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
)

// Read reads the file. Its error lists all faults, each in a line of its own with the file, the key
// and what is allowed.
func Read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error names the file
	}
	config, faults := parse(text)
	for i, fault := range faults {
		faults[i] = fmt.Errorf("%s: %w", path, fault)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return config, nil
}

// FaultLines returns the lines of an error of Read.
func FaultLines(err error) []string { return strings.Split(err.Error(), "\n") }

// parse reads a file's text and returns all its faults. The decoder stops at the first value of the
// wrong type: that line is emptied and the text read again, so that all faults are reported at
// once.
func parse(text []byte) (*Config, []error) {
	lines := bytes.Split(text, []byte("\n"))
	var faults []error
	for {
		config := newConfig()
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(lines, []byte("\n")))).DisallowUnknownFields().Decode(config)
		var unknown *toml.StrictMissingError
		var wrongType *toml.DecodeError
		switch {
		case errors.As(err, &unknown):
			for _, key := range unknown.Errors {
				faults = append(faults, unknownKeyError(key.Key()))
			}
		case errors.As(err, &wrongType):
			line, _ := wrongType.Position()
			faults = append(faults, wrongTypeError(wrongType, line))
			isOutside := line < 1 || line > len(lines)
			if len(wrongType.Key()) == 0 || isOutside || len(lines[line-1]) == 0 {
				return nil, faults // the text is not TOML: the rest cannot be checked
			}
			lines[line-1] = nil
			continue
		case err != nil:
			return nil, append(faults, err)
		}
		return config, append(faults, config.validate()...)
	}
}

// unknownKeyError reports which keys may stand in the place of one that is not known.
func unknownKeyError(key toml.Key) error {
	table := reflect.TypeFor[Config]()
	depth := 0
	for ; depth < len(key)-1; depth++ {
		field, ok := fieldByKey(table, key[depth])
		if !ok {
			break
		}
		table = elementType(field.Type)
	}
	place := "the file"
	if depth > 0 {
		place = "[" + strings.Join(key[:depth], ".") + "]"
	}
	message := fmt.Sprintf("is no key; %s takes %s", place, strings.Join(tableKeys(table), ", "))
	return &KeyError{Key: strings.Join(key, "."), Message: message}
}

// wrongTypeError reports what may stand in the place of a value of the wrong type.
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
	message := fmt.Sprintf("must be %s (line %d)", expectedValue(table), line)
	return &KeyError{Key: strings.Join(decodeErr.Key(), "."), Message: message}
}

// expectedValue names the values of a type in an operator's words.
func expectedValue(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text in quotes"
	case reflect.Struct:
		return "a table"
	case reflect.Slice:
		return "a list"
	case reflect.Float64:
		return "a number"
	default: // the file's other values are unsigned
		return "a whole number, 0 or more"
	}
}

// elementType returns the type behind pointers, lists and maps.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}

// fieldByKey finds the field of a key in a table.
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

// tableKeys returns the keys that a table takes, sorted.
func tableKeys(t reflect.Type) (keys []string) {
	if t.Kind() != reflect.Struct {
		return []string{"no further keys"}
	}
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ","); name != "" {
			keys = append(keys, name)
		}
	}
	slices.Sort(keys)
	return keys
}
