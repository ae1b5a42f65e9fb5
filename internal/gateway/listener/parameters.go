package listener

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

// The names of a request's parameters, as clients send them. Others are passed on to the server
// unread.
const (
	parameterClass        = "c"
	parameterPlan         = "t"
	parameterDeadline     = "d" // in milliseconds
	parameterKey          = "k"
	parameterRepeat       = "r"
	parameterUnits        = "units"
	parameterGatewayCount = "spread"
	parameterFirstGateway = "first"
)

// noPlan is the number of a plan that was not given.
const noPlan = -1

// parameterReader reads the parameters of one request.
type parameterReader struct {
	*requestParser
	spec    *dispatch.RequestSpec
	isQuery bool
	class   *class // nil: none was given
	hasKey  bool
}

// parseParameters parses a list of names and values, each name once, into spec and message. It
// returns a line that answers the request at once if the list is malformed. What is out of range is
// rejected here: the policy takes what it is given.
func (p *requestParser) parseParameters(
	spec *dispatch.RequestSpec, message *upstream.Command, list string,
) (reply string) {
	spec.Plan = noPlan
	spec.Units = 1
	spec.GatewayCount = 1
	reader := parameterReader{requestParser: p, spec: spec, isQuery: message.Verb == verbQuery}
	var seen []string
	for start := 0; start < len(list); {
		pair, _, _ := strings.Cut(list[start:], ",")
		end := start + len(pair)
		name, value, _ := strings.Cut(pair, "=")
		if name == "" || value == "" || slices.Contains(seen, name) {
			return replyParameterName
		}
		seen = append(seen, name)
		if name == parameterDeadline {
			message.ParamsBefore = list[:end-len(value)]
			message.ParamsAfter = list[end:]
		}
		reply = reader.read(name, value)
		if reply != "" {
			return reply
		}
		start = end + 1
	}
	return reader.finish()
}

// read reads one parameter.
func (r *parameterReader) read(name, value string) (reply string) {
	isValid := true
	switch name {
	case parameterClass:
		isValid = r.readClass(value)
	case parameterPlan:
		r.spec.Plan, isValid = r.plans[value]
	case parameterDeadline:
		var milliseconds float64
		milliseconds, isValid = parseDecimal(value)
		if isValid && !(milliseconds > 0 && milliseconds < math.MaxInt32) {
			return replyDeadlinePassed
		}
		r.spec.Timeout = time.Duration(milliseconds * float64(time.Millisecond))
	case parameterKey:
		r.hasKey = true
	case parameterRepeat:
		r.spec.Repeat = value == "1"
		isValid = r.spec.Repeat || value == "0"
	case parameterUnits:
		isValid = r.readUnits(value)
	case parameterGatewayCount:
		r.spec.GatewayCount, isValid = parseIntInRange(value, 1, r.gateways)
	case parameterFirstGateway:
		r.spec.FirstGateway, isValid = parseIntInRange(value, 0, r.gateways-1)
	}
	if !isValid {
		return replyParameterValue + name
	}
	return ""
}

// readClass reads a class. Queries are of idempotent classes, and submits of the others.
func (r *parameterReader) readClass(name string) bool {
	known, ok := r.classes[name]
	r.class = &known
	return ok && (known.Effect == policy.Idempotent) == r.isQuery
}

func (r *parameterReader) readUnits(value string) (isValid bool) {
	r.spec.Units, isValid = parseDecimal(value)
	isWithinBound := r.maxUnits <= 0 || r.spec.Units <= r.maxUnits
	return isValid && r.spec.Units > 0 && isWithinBound
}

// finish checks that all required parameters were given, and applies the class to the request.
func (r *parameterReader) finish() (reply string) {
	if r.class == nil || r.spec.Plan == noPlan || r.spec.Timeout <= 0 {
		return replyParameterRequired
	}
	if r.class.Effect == policy.Keyed && !r.hasKey {
		return replyParameterRequired
	}
	r.spec.Class = r.class.number
	r.spec.Timeout = min(r.spec.Timeout, r.class.Timeout)
	return ""
}

// floatBits is the size of the numbers that parameters are read as.
const floatBits = 64

// parseDecimal parses a plain decimal number.
func parseDecimal(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, floatBits)
	return value, err == nil && strings.Trim(text, "0123456789.") == ""
}

// parseIntInRange parses an integer from least to most.
func parseIntInRange(text string, least, most int) (int, bool) {
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= least && value <= most
}
