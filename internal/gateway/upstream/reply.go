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
	// maxFigure is the largest figure that is taken from an attribute: the counter adds no more at once. Charged with a
	// malformed one, a customer would never come back inside its quota.
	maxFigure = 1e9
	// percent is the unit in which servers report a customer's use of its rate.
	percent = 100
)

// parseReply reads a reply. Well-formed are the forms that servers show: an array of the value, use and load; ERR failed or
// BUSY with attributes at most. Anything else is malformed: the request may have run, whatever the line says.
func (p *Pool) parseReply(reply *resp.Reply) (result dispatch.Result, value *resp.Bulk, wellFormed bool) {
	attributes := reply.Attributes
	switch words := strings.Fields(reply.Line); {
	case reply.Kind == '*' && reply.Value != nil && len(attributes) == replyAttributes:
		result.Outcome = policy.Answered
	case reply.Kind == '-' && len(words) >= 2 && words[0] == "ERR" && words[1] == "failed":
		result.Outcome, attributes = policy.Errored, words[2:]
	case reply.Kind == '-' && len(words) >= 1 && words[0] == "BUSY" && !slices.ContainsFunc(words[1:], isNoAttribute):
		result.Outcome, attributes = policy.Rejected, words[1:]
	default:
		reply.Value.Free()
		return dispatch.Result{Outcome: policy.Reset}, nil, false
	}
	for _, attribute := range attributes {
		p.readFigures(&result, attribute)
	}
	return result, reply.Value, true
}

func isNoAttribute(word string) bool { return !strings.Contains(word, "=") }

// readFigures takes the figures from an attribute such as used=37,cost=4. One that is no figure, or out of its range, is
// ignored.
func (p *Pool) readFigures(result *dispatch.Result, attribute string) {
	figures := map[string]float64{}
	for pair := range strings.SplitSeq(attribute, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if figure, err := strconv.ParseFloat(text, 64); err == nil && figure >= 0 && figure <= maxFigure {
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
