package listener

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"harrierhoist/internal/dispatch"
	"harrierhoist/internal/upstream"
	"harrierhoist/policy"
)

// requestParser is what tasks are read by. Another takes its place whole: a task is read by one of them.
type requestParser struct {
	classes  map[string]class
	plans    map[string]int
	gateways int
	maxUnits float64 // the most of a task; 0: not told
}

type class struct {
	number int
	policy.TrafficClass
}

// Reconfigure has the gate take other settings and tasks be read by them from here on, and gives them as they are in force.
// No task is read by the old ones and admitted under the new: a lane may keep its name and get another effect, and what
// was sent as not to be repeated would be.
func (f *Listener) Reconfigure(site policy.Settings) (policy.Settings, error) {
	f.settingsLock.Lock()
	defer f.settingsLock.Unlock()
	site, err := f.dispatcher.Reconfigure(site)
	if err == nil {
		f.setParser(&site)
	}
	return site, err
}

// setParser has tasks read by settings that are in force. Lanes and plans that are closed are not known to clients any
// more.
func (f *Listener) setParser(site *policy.Settings) {
	s := &requestParser{classes: map[string]class{}, plans: map[string]int{}, gateways: site.Gateways, maxUnits: site.MaxUnits}
	for i, l := range site.Classes {
		if !l.Retired {
			s.classes[l.Name] = class{i, l}
		}
	}
	for i, p := range site.Plans {
		if !p.Retired {
			s.plans[p.Name] = i
		}
	}
	f.parser.Store(s)
}

const (
	answerDeadlinePassed = "-ERR deadline passed"
	answerPong           = "+PONG"
)

// openID notes a task's id; false if a task with that id is open.
func (f *Listener) openID(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, taken := f.openIDs[id]
	f.openIDs[id] = struct{}{}
	return !taken
}

func (f *Listener) closeID(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openIDs, id)
}

// admitCommand reads a command and admits the task, by the same settings, or gives a line that answers it at once.
func (c *client) admitCommand(cmd *pendingCommand, age time.Duration) (*dispatch.Request, *upstream.Command, string) {
	c.listener.settingsLock.RLock()
	defer c.listener.settingsLock.RUnlock()
	t, e, line := c.parse(cmd, age)
	if line != "" {
		return nil, nil, line
	}
	return c.admit(t), e, ""
}

// parse reads a command that came so long ago: a task, whose id is open from here on, or a line that answers it at once.
func (c *client) parse(cmd *pendingCommand, age time.Duration) (dispatch.RequestSpec, *upstream.Command, string) {
	var t dispatch.RequestSpec
	if cmd.Discarded {
		return t, nil, rejectionLine(0)
	}
	verb := cmd.Words[0]
	switch {
	case strings.EqualFold(verb, "PING"):
		if c.listener.ready.Load() {
			return t, nil, answerPong
		}
		return t, nil, "-ERR not ready"
	case verb != "SVC.QUERY" && verb != "SVC.SUBMIT":
		return t, nil, "-ERR unknown command"
	}
	query := verb == "SVC.QUERY"
	if len(cmd.Words) != maxCommandWords || query != (cmd.Body == nil) {
		return t, nil, "-ERR wrong number of words"
	}
	var err error
	t.Customer, err = strconv.ParseUint(cmd.Words[1], 16, 64)
	if err != nil || len(cmd.Words[1]) != 16 || t.Customer >= maxCustomer {
		return t, nil, "-ERR no customer"
	}
	e := &upstream.Command{Verb: verb, Customer: cmd.Words[1], ID: cmd.Words[2], Body: cmd.Body}
	if line := c.listener.parser.Load().parseTerms(&t, e, cmd.Words[3], query); line != "" {
		return t, nil, line
	}
	// The patience counts from the sending. What waited in the system, for a place or while we stood still, is
	// off it; without that, an answer would come to a client that has gone.
	if t.Timeout = c.listener.boundTimeout(t.Timeout - max(age, cmd.waitedForMemory)); t.Timeout <= 0 {
		return t, nil, answerDeadlinePassed
	}
	if e.ID == "" || !c.listener.openID(e.ID) {
		return t, nil, "-ERR no id of its own"
	}
	return t, e, ""
}

// parseTerms reads the list of names and values, each name once; unknown names are passed on unread. What is out of
// range is refused here: the module takes what it is handed.
func (f *requestParser) parseTerms(t *dispatch.RequestSpec, e *upstream.Command, list string, query bool) string {
	t.Plan, t.Units, t.GatewayCount = -1, 1, 1
	var l *class
	key := false
	var seen []string
	for at := 0; at < len(list); {
		pair, _, _ := strings.Cut(list[at:], ",")
		name, value, _ := strings.Cut(pair, "=")
		if name == "" || value == "" || slices.Contains(seen, name) {
			return "-ERR an empty or doubled name"
		}
		seen = append(seen, name)
		good := true
		switch name {
		case "c":
			known, ok := f.classes[value]
			l, good = &known, ok && (known.Effect == policy.Idempotent) == query
		case "t":
			t.Plan, good = f.plans[value]
		case "d":
			var ms float64
			ms, good = parseDecimal(value)
			if good && !(ms > 0 && ms < math.MaxInt32) {
				return answerDeadlinePassed
			}
			t.Timeout = time.Duration(ms * float64(time.Millisecond))
			e.ParamsBefore, e.ParamsAfter = list[:at+len("d=")], list[at+len(pair):]
		case "k":
			key = true
		case "r":
			t.Repeat, good = value == "1", value == "0" || value == "1"
		case "units":
			t.Units, good = parseDecimal(value)
			good = good && t.Units > 0 && (f.maxUnits <= 0 || t.Units <= f.maxUnits)
		case "spread":
			t.GatewayCount, good = parseIntInRange(value, 1, f.gateways)
		case "first":
			t.FirstGateway, good = parseIntInRange(value, 0, f.gateways-1)
		}
		if !good {
			return "-ERR unknown, no number or out of range: " + name
		}
		at += len(pair) + 1
	}
	if l == nil || t.Plan < 0 || t.Timeout <= 0 || l.Effect == policy.Keyed && !key {
		return "-ERR class, plan, deadline or key is missing"
	}
	t.Class, t.Timeout = l.number, min(t.Timeout, l.Timeout)
	return ""
}

// parseDecimal reads a plain decimal number.
func parseDecimal(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && strings.Trim(text, "0123456789.") == ""
}

// parseIntInRange reads a whole number in a range.
func parseIntInRange(text string, least, most int) (int, bool) {
	v, err := strconv.Atoi(text)
	return v, err == nil && v >= least && v <= most
}
