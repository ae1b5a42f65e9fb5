package upstream

import (
	"slices"
	"strconv"
	"strings"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/resp"
	"harrierhoist/policy"
)

// parseReply reads a reply. Good are the forms that servers show: an array of the value, use and load; ERR failed or
// BUSY with notes at most. Anything else is spoilt: the task may have run, whatever the line says.
func (p *Pool) parseReply(reply *resp.Reply) (result dispatch.Result, value *resp.Bulk, good bool) {
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

// replyAttributes is how many notes follow a value: use and load, either perhaps null.
const replyAttributes = 2

func isNoAttribute(word string) bool { return !strings.Contains(word, "=") }

// maxFigure is the largest figure that is taken from a note: the counter adds no more at once. Charged with a spoilt
// one, a customer would never come back inside its quota.
const maxFigure = 1e9

// readFigures takes the figures from a note such as used=37,cost=4.
func (p *Pool) readFigures(result *dispatch.Result, attribute string) {
	loadReport := make([]float32, 0, len(p.loadFields))
	figures := map[string]float64{}
	for pair := range strings.SplitSeq(attribute, ",") {
		name, text, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 && v <= maxFigure {
			figures[name] = v
		}
	}
	if cost, found := figures["cost"]; found {
		result.Billed = cost
	}
	if used, found := figures["used"]; found {
		result.Use = 1 + used/percentPerUnit
	}
	for _, name := range p.loadFields {
		if v, found := figures[name]; found {
			loadReport = append(loadReport, float32(v))
		}
	}
	if len(loadReport) > 0 {
		result.LoadReport = loadReport
	}
}
