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

// readAnswers matches answers with pending calls, in order, until the connection ends. A line is at
// most as long as the reader's one buffer: an answer without an end ends the connection and takes
// no memory.
func (s *shard) readAnswers(conn *connection) {
	for {
		line, err := conn.text.R.ReadSlice('\n')
		reason := readFailure(err)
		if err == nil {
			reason = s.deliver(conn, string(line))
		}
		if reason != nil {
			s.disconnect(conn, reason)
			return
		}
	}
}

// readFailure decides why a connection has to end after a read; nil: the read succeeded, and the
// connection goes on.
func readFailure(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errSilent
	case errors.Is(err, bufio.ErrBufferFull):
		return errMalformed
	default:
		return err
	}
}

// deliver gives an answer to the oldest pending call of a connection. An error is why the
// connection has to end. A malformed answer leaves its call pending: disconnect ends it as timed
// out, as its units may have been added.
func (s *shard) deliver(conn *connection, line string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(conn.pending) == 0 {
		return errUnexpected
	}
	total, outcome, valid := parseAnswer(line)
	if !valid {
		return errMalformed
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

// parseAnswer reads a line. A call that was rejected (busy) or not understood (error) has added
// nothing. Any line but these and a total is invalid.
func parseAnswer(line string) (total float64, outcome policy.Outcome, valid bool) {
	text, ended := strings.CutSuffix(line, "\r\n")
	if figure, ok := strings.CutPrefix(text, "ok "); ok {
		total, err := strconv.ParseFloat(figure, floatBits)
		isFinite := !math.IsNaN(total) && !math.IsInf(total, 0)
		return total, policy.Answered, ended && err == nil && isFinite
	}
	return 0, policy.Rejected, ended && (text == "busy" || text == "error")
}
