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

// readAnswers matches answers with calls, in order. A line is as long as the reader's one buffer at most: an answer
// without an end ends the connection and takes no memory.
func (s *shard) readAnswers(c *connection) {
	for {
		text, err := c.text.R.ReadSlice('\n')
		why := "a spoilt answer"
		switch {
		case err == nil:
			why = s.deliver(c, string(text))
		case errors.Is(err, os.ErrDeadlineExceeded):
			why = "silent"
		case err != bufio.ErrBufferFull:
			why = err.Error()
		}
		if why != "" {
			s.disconnect(c, why)
			return
		}
	}
}

// deliver tells the oldest call on a connection its answer, and says why the connection is to end, if it is. A
// spoilt answer leaves its call among those that may have been added: it was.
func (s *shard) deliver(c *connection, text string) (end string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.pending) == 0 {
		return "an answer to no call"
	}
	total, outcome, valid := parseAnswer(text)
	if !valid {
		return "a spoilt answer"
	}
	request := c.pending[0]
	c.pending = c.pending[1:]
	s.setReadDeadline(c)
	request.done(total, outcome)
	if s.current != c && len(c.pending) == 0 {
		return "the counter has moved"
	}
	return ""
}

// parseAnswer reads a line: what is turned away or no such call has added nothing. Any other line is spoilt.
func parseAnswer(line string) (total float64, outcome policy.Outcome, valid bool) {
	text, ended := strings.CutSuffix(line, "\r\n")
	if figure, ok := strings.CutPrefix(text, "ok "); ok {
		v, err := strconv.ParseFloat(figure, 64)
		return v, policy.Answered, ended && err == nil && !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return 0, policy.Rejected, ended && (text == "busy" || text == "error")
}
