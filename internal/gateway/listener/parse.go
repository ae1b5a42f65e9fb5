package listener

import (
	"strconv"
	"strings"
	"time"

	"harrierhoist/internal/gateway/dispatch"
	"harrierhoist/internal/gateway/upstream"
	"harrierhoist/policy"
)

const (
	maxCommandWords = 4       // of a command, besides a value: verb, customer, ID and parameters
	parametersWord  = 3       // the index of the parameters among them
	maxCustomer     = 1 << 33 // customer numbers are below
	customerDigits  = 16      // hexadecimal digits of a customer number
	customerBase    = 16      // of these digits
	customerBits    = 64      // of a customer number
)

// The commands of clients.
const (
	verbPing   = "PING" // in any case
	verbQuery  = "SVC.QUERY"
	verbSubmit = "SVC.SUBMIT"
)

// The lines that answer a command at once, and a failed request.
const (
	replyPong              = "+PONG"
	replyBusy              = "-BUSY"
	replyFailed            = "-ERR failed"
	replyNotReady          = "-ERR not ready"
	replyUnknownCommand    = "-ERR unknown command"
	replyWordCount         = "-ERR wrong number of words"
	replyNoCustomer        = "-ERR no customer"
	replyNoID              = "-ERR no id of its own"
	replyDeadlinePassed    = "-ERR deadline passed"
	replyParameterName     = "-ERR an empty or doubled name"
	replyParameterValue    = "-ERR unknown, no number or out of range: " // and the parameter's name
	replyParameterRequired = "-ERR class, plan, deadline or key is missing"
)

// requestParser holds the settings by which requests are parsed. It is immutable: new settings come
// with a new parser.
type requestParser struct {
	classes  map[string]class
	plans    map[string]int // their numbers
	gateways int
	maxUnits float64 // of a request; 0: no bound
}

// class is a traffic class with its number.
type class struct {
	number int
	policy.TrafficClass
}

// newRequestParser returns a parser for settings that are in force. Retired classes and plans are
// unknown to clients.
func newRequestParser(settings *policy.Settings) *requestParser {
	parser := &requestParser{
		classes: map[string]class{}, plans: map[string]int{}, gateways: settings.Gateways, maxUnits: settings.MaxUnits,
	}
	for i, trafficClass := range settings.Classes {
		if !trafficClass.Retired {
			parser.classes[trafficClass.Name] = class{i, trafficClass}
		}
	}
	for i, plan := range settings.Plans {
		if !plan.Retired {
			parser.plans[plan.Name] = i
		}
	}
	return parser
}

// longestTimeout returns the longest timeout of all classes.
func (p *requestParser) longestTimeout() (longest time.Duration) {
	for _, class := range p.classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// parse parses a command whose last bytes arrived age ago. It returns a request, whose ID is open
// from here on, or a line that answers the command at once.
func (l *Listener) parse(command *pendingCommand, age time.Duration) (dispatch.RequestSpec, *upstream.Command, string) {
	var spec dispatch.RequestSpec
	if command.Discarded {
		return spec, nil, rejectionLine(0)
	}
	verb := command.Words[0]
	isQuery := verb == verbQuery
	switch {
	case strings.EqualFold(verb, verbPing):
		return spec, nil, l.pingReply()
	case !isQuery && verb != verbSubmit:
		return spec, nil, replyUnknownCommand
	case len(command.Words) != maxCommandWords || isQuery != (command.Body == nil):
		return spec, nil, replyWordCount
	}
	var err error
	spec.Customer, err = strconv.ParseUint(command.Words[1], customerBase, customerBits)
	if err != nil || len(command.Words[1]) != customerDigits || spec.Customer >= maxCustomer {
		return spec, nil, replyNoCustomer
	}
	message := &upstream.Command{Verb: verb, Customer: command.Words[1], ID: command.Words[2], Body: command.Body}
	if reply := l.parser.Load().parseParameters(&spec, message, command.Words[parametersWord]); reply != "" {
		return spec, nil, reply
	}
	// The timeout counts from the sending. Time that the command spent in the system, waiting for
	// memory or while this process was stopped, is subtracted; otherwise the answer would come to a
	// client that is gone.
	spec.Timeout = l.drain.boundTimeout(spec.Timeout - max(age, command.waitedForMemory))
	if spec.Timeout <= 0 {
		return spec, nil, replyDeadlinePassed
	}
	if message.ID == "" || !l.requestIDs.add(message.ID) {
		return spec, nil, replyNoID
	}
	return spec, message, ""
}

func (l *Listener) pingReply() string {
	if l.ready.Load() {
		return replyPong
	}
	return replyNotReady
}
