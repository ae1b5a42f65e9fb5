package scenario

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPositions finds the position of each key of a file. Elements of arrays of tables have their
// index in the key.
func keyPositions(text []byte) map[string]unstable.Position {
	positions := map[string]unstable.Position{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	elements := map[string]int{}
	for parser.NextExpression() {
		expression := parser.Expression()
		name, position := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = name
			positions[table] = position
		case unstable.ArrayTable:
			table = name + "." + strconv.Itoa(elements[name])
			elements[name]++
			positions[table] = position
			if _, known := positions[name]; !known {
				positions[name] = position
			}
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			positions[name] = position
		default: // comments and values have no key
		}
	}
	return positions
}

// keyOf returns the key of an expression and the position of its first part.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (string, unstable.Position) {
	var parts []string
	var first []byte
	for key := expression.Key(); key.Next(); {
		node := key.Node()
		if first == nil {
			first = parser.Raw(node.Raw)
			if len(first) == 0 {
				first = node.Data
			}
		}
		parts = append(parts, string(node.Data))
	}
	var position unstable.Position
	if len(first) > 0 {
		position = parser.Shape(parser.Range(first)).Start
	}
	return strings.Join(parts, "."), position
}
