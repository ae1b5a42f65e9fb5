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
	maxCommandWords = 4       // words besides a value: verb, customer, ID and parameters
	idIndex         = 2       // index of the request's ID in the words
	parametersIndex = 3       // index of the parameters in the words
	maxCustomer     = 1 << 33 // exclusive bound of customer numbers
	customerDigits  = 16      // length of a customer number in hexadecimal digits
	customerBase    = 16      // base of customer numbers
	customerBits    = 64      // size of a parsed customer number in bits
)

// The commands that clients may send.
const (
	verbPing   = "PING" // matched case-insensitively
	verbQuery  = "SVC.QUERY"
	verbSubmit = "SVC.SUBMIT"
)

// Replies to commands that are not forwarded, and to failed requests.
const (
	replyPong                  = "+PONG"
	replyBusy                  = "-BUSY"
	replyFailed                = "-ERR failed"
	replyNotReady              = "-ERR not ready"
	replyUnknownCommand        = "-ERR unknown command"
	replyWordCount             = "-ERR wrong number of words"
	replyInvalidCustomer       = "-ERR no customer"
	replyInvalidID             = "-ERR no id of its own"
	replyDeadlinePassed        = "-ERR deadline passed"
	replyInvalidParameterName  = "-ERR an empty or doubled name"
	replyInvalidParameterValue = "-ERR unknown, no number or out of range: " // followed by the name of the parameter
	replyMissingParameter      = "-ERR class, plan, deadline or key is missing"
)

// requestParser parses requests under fixed settings. It is immutable; new settings get a new
// parser.
type requestParser struct {
	classes        map[string]class
	forbidsRepeats []bool         // by class number, see policy.TrafficClass.ForbidsRepeats
	plans          map[string]int // plan numbers by name
	gateways       int
	maxUnits       float64 // maximum units of a request; 0 means no limit
}

// class is a traffic class with its number.
type class struct {
	number int
	policy.TrafficClass
}

// newRequestParser returns a parser for settings in force. It treats retired classes and plans as
// unknown.
func newRequestParser(settings *policy.Settings) *requestParser {
	parser := &requestParser{
		classes: map[string]class{}, plans: map[string]int{}, gateways: settings.Gateways, maxUnits: settings.MaxUnits,
	}
	for i, trafficClass := range settings.Classes {
		parser.forbidsRepeats = append(parser.forbidsRepeats, trafficClass.ForbidsRepeats())
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

// longestTimeout returns the longest timeout of any class.
func (p *requestParser) longestTimeout() (longest time.Duration) {
	for _, class := range p.classes {
		longest = max(longest, class.Timeout)
	}
	return longest
}

// parse parses a command; age is the time since its last bytes arrived. It returns a request, whose
// ID it has opened, or the line that answers the command.
func (l *Listener) parse(command *pendingCommand, age time.Duration) (dispatch.RequestSpec, *upstream.Command, string) {
	var spec dispatch.RequestSpec
	if command.BodyDiscarded {
		return spec, nil, l.rejectUnread(command)
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
		return spec, nil, replyInvalidCustomer
	}
	message := &upstream.Command{Verb: verb, Customer: command.Words[1], ID: command.Words[idIndex], Body: command.Body}
	if reply := l.parser.Load().parseParameters(&spec, message, command.Words[parametersIndex]); reply != "" {
		return spec, nil, reply
	}
	// The client counts the timeout from sending the command. Subtract the time that the command
	// spent in the socket, waiting for memory or while this process was stopped; otherwise the
	// answer could come after the client has stopped waiting.
	spec.Timeout = l.drain.boundTimeout(spec.Timeout - max(age, command.waitedForMemory))
	if spec.Timeout <= 0 {
		return spec, nil, replyDeadlinePassed
	}
	if reply := l.beginID(message.ID, spec.Class); reply != "" {
		return spec, nil, reply
	}
	return spec, message, ""
}

// rejectUnread returns the line that rejects a command which is not looked at otherwise. A rejection would
// promise that a request with its ID never ran.
func (l *Listener) rejectUnread(command *pendingCommand) (reply string) {
	if command.isRequest() && l.requestIDs.isUsed(command.Words[idIndex]) {
		return replyInvalidID
	}
	return rejectionLine(0)
}

// beginID opens the ID of a request of the class. It returns the line that answers the request if it
// cannot begin under the ID.
func (l *Listener) beginID(id string, class int) (reply string) {
	if id == "" {
		return replyInvalidID
	}
	switch l.requestIDs.begin(time.Now(), id, l.parser.Load().forbidsRepeats[class]) {
	case idIsNew:
		return ""
	case idHistoryIsFull:
		return rejectionLine(0)
	case idIsUsed:
		return replyInvalidID
	default:
		return replyInvalidID
	}
}

func (l *Listener) pingReply() string {
	if l.ready.Load() {
		return replyPong
	}
	return replyNotReady
}
