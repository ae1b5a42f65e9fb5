package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

// slowCrowdTime is how long a crowd of slow clients stays.
const slowCrowdTime = 3 * time.Second

// slowCase is a crowd of clients that write slowly.
type slowCase struct {
	clients int
	pieces  func() []string // what a client writes, until it stops
	pace    time.Duration   // between two pieces
}

func (s slowCase) start(t *testing.T, addr string) *crowd {
	t.Helper()
	return startCrowd(t, addr, max(s.clients/raceSlowdown, 1), s.write)
}

// write writes the pieces, and waits until either side closes the connection.
func (s slowCase) write(_ *crowd, conn net.Conn) {
	for _, piece := range s.pieces() {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(s.pace)
	}
	discardAnswers(conn)
}

// inPieces splits a text into a number of pieces.
func inPieces(text string, count int) (pieces []string) {
	size := (len(text) + count - 1) / count
	for len(text) > size {
		pieces = append(pieces, text[:size])
		text = text[size:]
	}
	return append(pieces, text)
}

// longSubmit is a valid request with a long value.
func longSubmit() string { return submitOf(60000)(queryListWith(usualDeadline)) }

// half is the first half of a text.
func half(text string) []string { return []string{text[:len(text)/2]} }

// manyFields is a request whose list has as many names as fit.
func manyFields() string {
	var list strings.Builder
	list.WriteString(queryListWith(usualDeadline))
	for i := 0; list.Len() < 1000; i++ {
		fmt.Fprintf(&list, ",%x=", i)
	}
	return queryCommand(list.String())
}

// manyWords announces very many short words.
func manyWords() string { return "*100000\r\n" + strings.Repeat("$1\r\na\r\n", 5000) }

// longLine is a head without an end.
func longLine() string { return "*" + strings.Repeat("1", 66000) }

// longWords is a command of more words than any request has, each as long as allowed.
func longWords() string {
	word := strings.Repeat("w", 1000)
	return fakes.FormatCommand(word, word, word, word, word)
}

func slowCases() map[string]slowCase {
	slowly := func(text func() string, count int) func() []string {
		return func() []string { return inPieces(text(), count) }
	}
	return map[string]slowCase{
		"900 stop in the head":     {900, func() []string { return half(queryCommand(queryList)) }, 0},
		"900 stop in a value":      {900, func() []string { return half(longSubmit()) }, 0},
		"900 values in pieces":     {900, slowly(longSubmit, 12), 50 * time.Millisecond},
		"480 values in pieces":     {480, slowly(longSubmit, 12), 50 * time.Millisecond},
		"900 heads in pieces":      {900, slowly(manyFields, 12), 50 * time.Millisecond},
		"900 heads of many words":  {900, slowly(manyWords, 12), 50 * time.Millisecond},
		"480 lines without an end": {480, slowly(longLine, 8), 50 * time.Millisecond},
		"480 long words":           {480, slowly(longWords, 8), 50 * time.Millisecond},
		"900 stop before the last byte": {900, func() []string {
			command := queryCommand(queryList)
			return []string{command[:len(command)-1]}
		}, 0},
	}
}

// Guards against slow clients that take the connections or the memory of others.
func TestSlowCrowd_takesNoAnswerFromOthers(t *testing.T) {
	for name, slow := range slowCases() {
		t.Run(name, func(t *testing.T) {
			gateway := startSmallGateway(t)
			clients := startUsualClients(t, gateway.addr)
			time.Sleep(300 * time.Millisecond)
			clientsInPieces := slow.start(t, gateway.addr)
			time.Sleep(slowCrowdTime)
			clients.stop()
			clientsInPieces.stop()
			gateway.wantNoneLost(clients)
		})
	}
}
