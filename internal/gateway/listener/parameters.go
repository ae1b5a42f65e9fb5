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

// The names of request parameters that the gateway reads. It forwards other parameters to the
// server uninterpreted.
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

// noPlan is the plan number of a request without a plan parameter.
const noPlan = -1

// parameterReader reads the parameters of one request.
type parameterReader struct {
	*requestParser
	spec    *dispatch.RequestSpec
	isQuery bool
	class   *class // nil if none was read
	hasKey  bool
}

// parseParameters parses a list of name=value pairs with unique names into spec and message. If the
// list is invalid, it returns the line that answers the request. It checks the range of each value,
// since the policy package does not.
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
			return replyInvalidParameterName
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

// read reads one parameter. It returns the line that answers the request if the value is invalid.
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
		return replyInvalidParameterValue + name
	}
	return ""
}

// readClass reads the class, and reports whether it is known and fits the verb: queries have
// idempotent classes, and submits have the others.
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

// finish checks that all required parameters are present, and applies the class to the request. It
// returns the line that answers the request if one is missing.
func (r *parameterReader) finish() (reply string) {
	if r.class == nil || r.spec.Plan == noPlan || r.spec.Timeout <= 0 {
		return replyMissingParameter
	}
	if r.class.Effect == policy.Keyed && !r.hasKey {
		return replyMissingParameter
	}
	r.spec.Class = r.class.number
	r.spec.Timeout = min(r.spec.Timeout, r.class.Timeout)
	return ""
}

// floatBits is the size of parsed floating-point numbers in bits.
const floatBits = 64

// parseDecimal parses a decimal number without a sign or an exponent, and reports whether text is
// one.
func parseDecimal(text string) (float64, bool) {
	value, err := strconv.ParseFloat(text, floatBits)
	return value, err == nil && strings.Trim(text, "0123456789.") == ""
}

// parseIntInRange parses an integer, and reports whether it is from minValue to maxValue.
func parseIntInRange(text string, minValue, maxValue int) (int, bool) {
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= minValue && value <= maxValue
}
