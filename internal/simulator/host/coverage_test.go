package host

import (
	"strings"

	"harrierhoist/internal/simulator/frame"
)

// checkCoverage wants a run of some thousand events, of every kind that its settings know, and no
// failure of the gateway.
func (s *simulator) checkCoverage() {
	s.t.Helper()
	total := 0
	for _, n := range s.events {
		total += n
	}
	if total < 3000 {
		s.t.Errorf("%d events only", total)
	}
	counts := strings.Contains(s.settings.lines, "HasCounter=true")
	for code := frame.EventStart; code <= frame.EventTimer; code += 10 {
		if s.events[byte(code)] == 0 && (code != frame.EventCount || counts) {
			s.t.Errorf("no event of code %d", code)
		}
	}
	for _, code := range []byte{
		frame.ActionAttempt, frame.ActionReject, frame.ActionTerminate, frame.ActionSetTimer,
		frame.ActionWatchEndpoints,
	} {
		if s.actions[code] == 0 {
			s.t.Errorf("no action of code %d", code)
		}
	}
	if counts != (s.actions[frame.ActionCount] > 0) {
		s.t.Errorf("%d calls to the counter", s.actions[frame.ActionCount])
	}
	if s.actions[frame.ActionInternalError] != 0 {
		s.t.Error("the gateway failed")
	}
}
