package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Bounds of the operators' pages that the soak holds the program to.
const (
	finalAnswerSlack = 500 * time.Millisecond // after a request's time its answer earns nothing; later it is lost
	closeSlack       = 100 * time.Millisecond // an attempt begins no later after its client has closed
	deadlineSlack    = 150 * time.Millisecond // of the time that an attempt tells its server
	drainGrace       = time.Second            // of the soak's settings
	takenBeforeKill  = 700 * time.Millisecond // after SIGTERM; what comes later must not be found unanswered by SIGKILL
	// a request sent so shortly before the connection's end may have crossed it
	crossingTime   = 20 * time.Millisecond
	measuringSlack = 50 * time.Millisecond // every limit is longer by this
)

// soakRequest is a request that was written whole to an open connection.
type soakRequest struct {
	id, verb   string
	deadline   time.Duration
	sentAt     time.Time
	turnAt     time.Time // when the answers before it on its connection were there
	answeredAt time.Time // zero: not answered
	answer     string    // its first line
	leftAt     time.Time // when its client closed the connection; zero: it did not
	repeatedAt time.Time // when its client sent it again; zero: it did not
	isRepeat   bool      // it was sent again
	end        error     // how the connection ended without an answer
	endedAt    time.Time
	termAt     time.Time // when its gateway got SIGTERM, and SIGKILL
	killAt     time.Time
}

// soakAttempt is a command that came whole to a server.
type soakAttempt struct {
	id, server   string
	at           time.Time
	remaining    time.Duration // as the command tells it
	isTurnedAway bool          // answered -BUSY: it never ran
}

// soakLedger has what clients and servers saw of a run.
type soakLedger struct {
	mu       sync.Mutex
	requests []*soakRequest
	attempts map[string][]soakAttempt // by request
	drains   map[string]time.Time     // by server, when its drain counts as told
}

func newSoakLedger() *soakLedger {
	return &soakLedger{attempts: map[string][]soakAttempt{}, drains: map[string]time.Time{}}
}

func (l *soakLedger) addAttempt(attempt soakAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[attempt.id] = append(l.attempts[attempt.id], attempt)
}

func (l *soakLedger) addRequest(request *soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

func (l *soakLedger) setDrain(server string, toldAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[server] = toldAt
}

// faults returns the broken rules, a line each.
func (l *soakLedger) faults() (faults []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range l.requests {
		for _, fault := range []string{
			l.lost(request), l.late(request), l.ranTwice(request), l.refusedAfterEffect(request),
			l.begunAfterClose(request),
			l.deadlineTooLong(request),
		} {
			if fault != "" {
				faults = append(faults, fmt.Sprintf("%s %s: %s", request.verb, request.id, fault))
			}
		}
	}
	for _, attempts := range l.attempts {
		for _, attempt := range attempts {
			if told, ok := l.drains[attempt.server]; ok && attempt.at.Sub(told) > drainGrace+measuringSlack {
				faults = append(faults,
					fmt.Sprintf("drain: an attempt %v after %s counted as draining", attempt.at.Sub(told),
						attempt.server))
			}
		}
	}
	return faults
}

// lost: a request that its gateway took, and that has no answer. It is not where it went unread
// with a reset connection, crossed the connection's end, or came in time for SIGKILL to find it.
func (l *soakLedger) lost(r *soakRequest) string {
	hasCrossed := errors.Is(r.end, syscall.ECONNRESET) ||
		errors.Is(r.end, io.EOF) && r.endedAt.Sub(r.sentAt) < crossingTime
	isUnread := hasCrossed && r.killAt.IsZero() && len(l.attempts[r.id]) == 0
	isKilled := !r.killAt.IsZero() && r.sentAt.Sub(r.termAt) <= takenBeforeKill+measuringSlack
	if !r.answeredAt.IsZero() || !r.leftAt.IsZero() || isUnread || isKilled {
		return ""
	}
	return fmt.Sprintf("lost: sent %v after SIGTERM, the connection ended with %v", r.sentAt.Sub(r.termAt), r.end)
}

func (l *soakLedger) late(r *soakRequest) string {
	begin := r.sentAt
	if r.turnAt.After(begin) {
		begin = r.turnAt
	}
	if took := r.answeredAt.Sub(begin); !r.answeredAt.IsZero() && took > r.deadline+finalAnswerSlack+measuringSlack {
		return fmt.Sprintf("late: answered after %v of %v", took, r.deadline)
	}
	return ""
}

// attemptsOf returns the attempts at a request, without those of another sending under its ID.
func (l *soakLedger) attemptsOf(r *soakRequest) (attempts []soakAttempt) {
	for _, attempt := range l.attempts[r.id] {
		isOfRepeat := !r.repeatedAt.IsZero() && attempt.at.After(r.repeatedAt)
		isOfFirst := r.isRepeat && attempt.at.Before(r.sentAt)
		if !isOfRepeat && !isOfFirst {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// mayHaveRun counts the attempts that no server turned away.
func (l *soakLedger) mayHaveRun(r *soakRequest) (count int) {
	for _, attempt := range l.attempts[r.id] {
		if !attempt.isTurnedAway {
			count++
		}
	}
	return count
}

func (l *soakLedger) ranTwice(r *soakRequest) string {
	if count := l.mayHaveRun(r); r.verb == "SVC.SUBMIT" && count > 1 {
		return fmt.Sprintf("twice: %d attempts that may have run", count)
	}
	return ""
}

func (l *soakLedger) refusedAfterEffect(r *soakRequest) string {
	if r.verb == "SVC.SUBMIT" && strings.HasPrefix(r.answer, "-BUSY") && l.mayHaveRun(r) > 0 {
		return "refused, and may have run"
	}
	return ""
}

func (l *soakLedger) begunAfterClose(r *soakRequest) string {
	for _, attempt := range l.attemptsOf(r) {
		if since := attempt.at.Sub(r.leftAt); !r.leftAt.IsZero() && since > closeSlack+measuringSlack {
			return fmt.Sprintf("begun %v after its client had closed", since)
		}
	}
	return ""
}

func (l *soakLedger) deadlineTooLong(r *soakRequest) string {
	for _, attempt := range l.attemptsOf(r) {
		left := r.sentAt.Add(r.deadline).Sub(attempt.at)
		if attempt.remaining > left+deadlineSlack+measuringSlack {
			return fmt.Sprintf("deadline: %v told, %v left", attempt.remaining, left)
		}
	}
	return ""
}

// Each rule of the ledger can fail: a run without faults has none, and each planted one is seen.
func TestSoakLedger_seesEachPlantedFault(t *testing.T) {
	for want, plant := range map[string]func(*soakLedger, *soakRequest, *soakAttempt){
		"":     func(*soakLedger, *soakRequest, *soakAttempt) {},
		"lost": func(_ *soakLedger, r *soakRequest, _ *soakAttempt) { r.answeredAt, r.end = time.Time{}, io.EOF },
		"late": func(_ *soakLedger, r *soakRequest, _ *soakAttempt) {
			r.answeredAt = r.sentAt.Add(r.deadline + time.Second)
		},
		"twice":    func(l *soakLedger, _ *soakRequest, a *soakAttempt) { l.addAttempt(*a) },
		"refused":  func(_ *soakLedger, r *soakRequest, _ *soakAttempt) { r.answer = "-BUSY 20" },
		"begun":    func(_ *soakLedger, r *soakRequest, a *soakAttempt) { r.leftAt = a.at.Add(-time.Second) },
		"deadline": func(_ *soakLedger, r *soakRequest, a *soakAttempt) { a.remaining = r.deadline + time.Second },
		"drain": func(l *soakLedger, _ *soakRequest, a *soakAttempt) {
			l.setDrain(a.server, a.at.Add(-2*time.Second))
		},
	} {
		t.Run("planted "+want, func(t *testing.T) {
			ledger, now := newSoakLedger(), time.Now()
			request := &soakRequest{
				id: "1", verb: "SVC.SUBMIT", deadline: time.Second, sentAt: now, termAt: now.Add(-2 * time.Second),
				answeredAt: now.Add(20 * time.Millisecond), answer: "$5",
			}
			attempt := soakAttempt{
				id: "1", server: "s-1", at: now.Add(10 * time.Millisecond),
				remaining: 990 * time.Millisecond,
			}
			plant(ledger, request, &attempt)
			ledger.addRequest(request)
			ledger.addAttempt(attempt)
			faults := ledger.faults()
			if want == "" && len(faults) > 0 || want != "" && (len(faults) != 1 || !strings.Contains(faults[0], want)) {
				t.Errorf("found %q", faults)
			}
		})
	}
}
