// Package boot reads what a gateway is told at its start: the settings, which the simulator hands over as
// lines and a configuration file as nested JSON, and what goes with them on sockets.
package boot

import (
	"fmt"
	"strconv"
	"strings"
)

// Pairs are settings: a value at each path. Unknown paths are simply never asked for.
type Pairs struct {
	values map[string]string
	err    error
}

// ParsePairs reads settings written as lines.
func ParsePairs(text string) (*Pairs, error) {
	p := &Pairs{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSuffix(line, "\r"); line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d has no '='", i+1)
		}
		p.values[path] = value
	}
	return p, nil
}

// Err is the first thing found wrong by the getters.
func (p *Pairs) Err() error { return p.err }

func (p *Pairs) fail(path, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s %s", path, what)
	}
}

// Need says that a path must be there.
func (p *Pairs) Need(paths ...string) {
	for _, path := range paths {
		if _, ok := p.values[path]; !ok {
			p.fail(path, "is missing")
		}
	}
}

// Text gives the words at a path, empty where there are none.
func (p *Pairs) Text(path string) string { return p.values[path] }

// Number gives the number at a path, 0 where there is none.
func (p *Pairs) Number(path string) float64 {
	text, ok := p.values[path]
	if !ok || text == "" {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != v {
		p.fail(path, fmt.Sprintf("is not a number: %q", text))
		return 0
	}
	return v
}

// Within says that a figure, where it is told, must lie between two, both allowed.
func (p *Pairs) Within(path string, least, most float64) {
	if v := p.Number(path); p.Text(path) != "" && (v < least || v > most) {
		p.fail(path, fmt.Sprintf("must be from %g to %g, not %g", least, most, v))
	}
}

// once says that names under a path must not be told twice; names left out are no names.
func (p *Pairs) once(path string, n int, name func(int) string) {
	for i := range n {
		for k := range i {
			if name(i) != "" && name(i) == name(k) {
				p.fail(fmt.Sprintf("%s.%d.Name", path, i), fmt.Sprintf("must be another than that of %s.%d: %q", path, k, name(i)))
			}
		}
	}
}

// Int gives the whole number at a path, 0 where there is none.
func (p *Pairs) Int(path string) int { return int(p.Number(path)) }

// Flag gives the truth at a path, false where there is none.
func (p *Pairs) Flag(path string) bool {
	switch text := p.values[path]; text {
	case "true":
		return true
	case "false", "":
		return false
	default:
		p.fail(path, fmt.Sprintf("is neither true nor false: %q", text))
		return false
	}
}

// Choice gives the place of the value at a path among words; other values are an error.
func (p *Pairs) Choice(path string, words ...string) int {
	text := p.values[path]
	for i, w := range words {
		if text == w {
			return i
		}
	}
	p.fail(path, fmt.Sprintf("is none of %s: %q", strings.Join(words, ", "), text))
	return 0
}

// List gives the values at a path, none where it is empty.
func (p *Pairs) List(path string) []string {
	if p.values[path] == "" {
		return nil
	}
	return strings.Split(p.values[path], ",")
}
