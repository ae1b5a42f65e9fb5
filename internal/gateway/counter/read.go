package counter

import (
	"bufio"
	"errors"
	"math"
	"os"
	"strconv"
	"strings"

	"harrierhoist/policy"
)

// readAnswers matches answers to pending calls, in order, until the connection ends. The reader's
// fixed buffer limits the length of a line: an answer without a line end closes the connection
// instead of using up memory.
func (s *shard) readAnswers(conn *connection) {
	for {
		line, err := conn.text.R.ReadSlice('\n')
		reason := disconnectReason(err)
		if err == nil {
			reason = s.deliver(conn, string(line))
		}
		if reason != nil {
			s.disconnect(conn, reason)
			return
		}
	}
}

// disconnectReason returns why a connection must be closed after a read; nil: the read succeeded.
func disconnectReason(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errAnswerTimeout
	case errors.Is(err, bufio.ErrBufferFull):
		return errMalformedAnswer
	default:
		return err
	}
}

// deliver passes an answer to the oldest pending call of a connection. An error is the reason to
// close the connection. A malformed answer leaves its call pending, and disconnect ends the call
// with TimedOut, because its units may have been added.
func (s *shard) deliver(conn *connection, line string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(conn.pending) == 0 {
		return errUnexpectedAnswer
	}
	total, outcome, valid := parseAnswer(line)
	if !valid {
		return errMalformedAnswer
	}
	oldest := conn.pending[0]
	conn.pending = conn.pending[1:]
	s.setReadDeadline(conn)
	oldest.done(total, outcome)
	if s.current != conn && len(conn.pending) == 0 {
		return errAddressChanged
	}
	return nil
}

// parseAnswer parses a line. "busy" means that the counter rejected the call, "error" that it did
// not understand the call; in both cases nothing was added. A line that is neither of these nor a
// total is invalid.
func parseAnswer(line string) (total float64, outcome policy.Outcome, valid bool) {
	text, hasLineEnd := strings.CutSuffix(line, "\r\n")
	if number, ok := strings.CutPrefix(text, "ok "); ok {
		total, err := strconv.ParseFloat(number, floatBits)
		isFinite := !math.IsNaN(total) && !math.IsInf(total, 0)
		return total, policy.Answered, hasLineEnd && err == nil && isFinite
	}
	return 0, policy.Rejected, hasLineEnd && (text == "busy" || text == "error")
}
