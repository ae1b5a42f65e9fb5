package upstream

import (
	"slices"
	"strconv"
	"strings"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/resp"
	"harrierhoist/policy"
)

const (
	// replyAttributes is the number of attributes that follow a value in a reply: usage and load,
	// each of which may be null.
	replyAttributes = 2
	// maxAttributeNumber is the largest number that is accepted from an attribute. The counter that
	// all gateways share adds no more than this in one call, and a customer that is charged a
	// malformed cost would never be within its quota again.
	maxAttributeNumber = 1e9
	// percent divides a customer's usage of its rate, which servers report in percent, to get a
	// fraction.
	percent = 100
	// floatBits is the precision, in bits, with which numbers are parsed.
	floatBits = 64
)

// parseReply returns the result of a reply and, if the outcome is Answered, the value, which the
// caller must free. A well-formed reply is an array of value, usage and load, an "ERR failed" line,
// or a BUSY line. Only attributes may follow BUSY. Any other reply has the outcome Reset, because
// the request may have run regardless of what the reply says.
func (p *Pool) parseReply(reply *resp.Reply) (result dispatch.Result, value *resp.Bulk, wellFormed bool) {
	attributes := reply.Attributes
	words := strings.Fields(reply.Line)
	isError := reply.Kind == '-'
	switch {
	case reply.Kind == '*' && reply.Value != nil && len(attributes) == replyAttributes:
		result.Outcome = policy.Answered
	case isError && isFailedLine(words):
		result.Outcome = policy.Errored
		attributes = words[2:]
	case isError && isBusyLine(words):
		result.Outcome = policy.Rejected
		attributes = words[1:]
	default:
		reply.Value.Free()
		return dispatch.Result{Outcome: policy.Reset}, nil, false
	}
	for _, attribute := range attributes {
		p.parseAttribute(&result, attribute)
	}
	return result, reply.Value, true
}

// isFailedLine reports whether an error line says that the server ran the request and that it
// failed.
func isFailedLine(words []string) bool {
	return len(words) >= 2 && words[0] == "ERR" && words[1] == "failed"
}

// isBusyLine reports whether an error line says that the server rejected the request without
// running it.
func isBusyLine(words []string) bool {
	return len(words) >= 1 && words[0] == "BUSY" && !slices.ContainsFunc(words[1:], isNotAttribute)
}

func isNotAttribute(word string) bool { return !strings.Contains(word, "=") }

// parseAttribute parses an attribute such as "used=37,cost=4" and stores its values in result. It
// ignores values that are malformed or out of range.
func (p *Pool) parseAttribute(result *dispatch.Result, attribute string) {
	values := map[string]float64{}
	for pair := range strings.SplitSeq(attribute, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if value, err := strconv.ParseFloat(text, floatBits); err == nil && value >= 0 && value <= maxAttributeNumber {
			values[name] = value
		}
	}
	if cost, found := values["cost"]; found {
		result.ActualUnits = cost
	}
	if used, found := values["used"]; found {
		result.Usage = 1 + used/percent // never 0, which means that no usage was reported
	}
	loadReport := make([]float32, 0, len(p.loadFields))
	for _, name := range p.loadFields {
		if value, found := values[name]; found {
			loadReport = append(loadReport, float32(value))
		}
	}
	if len(loadReport) > 0 {
		result.LoadReport = loadReport
	}
}
