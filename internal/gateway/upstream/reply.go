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
	// replyAttributes is how many attributes follow a value: use and load, either perhaps null.
	replyAttributes = 2
	// maxFigure is the largest figure that is taken from an attribute. The counter adds no more at
	// once, and a customer charged with a malformed figure would never be inside its quota again.
	maxFigure = 1e9
	// percent is the unit in which servers report a customer's use of its rate.
	percent = 100
	// floatBits is the size of the numbers that figures are read as.
	floatBits = 64
)

// parseReply reads a reply. Well-formed are the forms that servers show: an array of the value, use
// and load; ERR failed or BUSY, with attributes at most. After anything else the request may have
// run, whatever the line says.
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
		p.readFigures(&result, attribute)
	}
	return result, reply.Value, true
}

// isFailedLine reports whether a server says that it has run a request, and failed.
func isFailedLine(words []string) bool {
	return len(words) >= 2 && words[0] == "ERR" && words[1] == "failed"
}

// isBusyLine reports whether a server says that it has rejected a request.
func isBusyLine(words []string) bool {
	return len(words) >= 1 && words[0] == "BUSY" && !slices.ContainsFunc(words[1:], isNoAttribute)
}

func isNoAttribute(word string) bool { return !strings.Contains(word, "=") }

// readFigures takes the figures from an attribute such as used=37,cost=4, and ignores those that
// are malformed or out of range.
func (p *Pool) readFigures(result *dispatch.Result, attribute string) {
	figures := map[string]float64{}
	for pair := range strings.SplitSeq(attribute, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if figure, err := strconv.ParseFloat(text, floatBits); err == nil && figure >= 0 && figure <= maxFigure {
			figures[name] = figure
		}
	}
	if cost, found := figures["cost"]; found {
		result.ActualUnits = cost
	}
	if used, found := figures["used"]; found {
		result.Usage = 1 + used/percent
	}
	loadReport := make([]float32, 0, len(p.loadFields))
	for _, name := range p.loadFields {
		if figure, found := figures[name]; found {
			loadReport = append(loadReport, float32(figure))
		}
	}
	if len(loadReport) > 0 {
		result.LoadReport = loadReport
	}
}
