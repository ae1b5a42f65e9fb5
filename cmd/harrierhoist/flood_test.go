package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"harrierhoist/internal/testing/fakes"
)

const (
	floodTime  = 2 * time.Second
	floodBatch = 64 // commands that a flooding client writes at once
	// floodBuffer bounds what waits unsent, so that the test's own load is small.
	floodBuffer = 16 << 10
)

// floodCase is a crowd of clients that send cheap commands as fast as they can.
type floodCase struct {
	senders      int
	command      string        // what each sends again and again
	newCommand   func() string // returns a command that differs from earlier ones; nil: command is sent
	isShort      bool          // a connection carries one command at most
	readsNothing bool          // the clients leave their answers unread
}

func (f floodCase) start(t *testing.T, addr string) *crowd {
	t.Helper()
	return startCrowd(t, addr, max(f.senders/raceSlowdown, 1), f.send)
}

// send sends commands at full speed and discards the answers until either side closes the connection.
func (f floodCase) send(c *crowd, conn net.Conn) {
	_ = conn.(*net.TCPConn).SetWriteBuffer(floodBuffer)
	if !f.readsNothing && !f.isShort {
		go func() {
			discardAnswers(conn)
			_ = conn.Close()
		}()
	}
	same := strings.Repeat(f.command, f.batch())
	for !c.ended.Load() {
		batch := same
		if f.newCommand != nil {
			batch = f.newBatch()
		}
		if _, err := io.WriteString(conn, batch); err != nil || f.isShort {
			return
		}
	}
}

func (f floodCase) newBatch() string {
	var batch strings.Builder
	for range f.batch() {
		batch.WriteString(f.newCommand())
	}
	return batch.String()
}

// batch returns how many commands a client writes at once.
func (f floodCase) batch() int {
	if f.isShort {
		return 1
	}
	return floodBatch
}

// malformedCommand ends its connection.
const malformedCommand = "*0\r\n"

// newNameCommand is a request whose class has a name that no earlier one had.
func newNameCommand() string {
	id := nextRequestID()
	return fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", id, "c=look"+id+",t=wide,d=700")
}

// newCustomerCommand is a valid request of a customer that was not seen before.
func newCustomerCommand() string {
	id := nextRequestID()
	return fakes.FormatCommand("SVC.QUERY", "00000000"+id[8:], id, queryListWith(usualDeadline))
}

// overQuotaCommand is a valid request of a customer far beyond its quota.
func overQuotaCommand() string {
	return fakes.FormatCommand("SVC.QUERY", "00000000b4d65522", nextRequestID(), "c=look,t=small,d=700,units=6")
}

// longValueCommand is a request with a long value and an unknown class.
func longValueCommand() string {
	return fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", nextRequestID(), "c=nope,t=wide,d=700",
		strings.Repeat("v", 60000))
}

func floodCases() map[string]floodCase {
	ping := fakes.FormatCommand("PING")
	return map[string]floodCase{
		"six senders of PING":          {senders: 6, command: ping},
		"300 senders of PING":          {senders: 300, command: ping},
		"PING, answers unread":         {senders: 6, command: ping, readsNothing: true},
		"unknown commands":             {senders: 6, command: fakes.FormatCommand("NOPE")},
		"new connections after errors": {senders: 6, command: malformedCommand},
		"300 connections after errors": {senders: 300, command: malformedCommand},
		"new connections after PING":   {senders: 6, command: ping, isShort: true},
		"new connections":              {senders: 6, isShort: true},
		"new class names":              {senders: 6, newCommand: newNameCommand},
		"new customers":                {senders: 6, newCommand: newCustomerCommand},
		"beyond the quota":             {senders: 6, newCommand: overQuotaCommand},
		"long values":                  {senders: 6, newCommand: longValueCommand},
	}
}

// Guards against clients that take the processor from others with cheap commands.
func TestFlood_takesNoAnswerFromOthers(t *testing.T) {
	for name, flood := range floodCases() {
		t.Run(name, func(t *testing.T) {
			gateway := startSmallGateway(t)
			clients := startUsualClients(t, gateway.addr)
			time.Sleep(300 * time.Millisecond)
			floods := flood.start(t, gateway.addr)
			time.Sleep(floodTime)
			clients.stop()
			floods.stop()
			gateway.wantNoneLost(clients)
		})
	}
}

// Guards against a drain in which cheap commands take the processor from requests.
func TestTerminate_floodTakesNoAnswerFromOthers(t *testing.T) {
	for name, flood := range floodCases() {
		t.Run(name, flood.playDrain)
	}
}

// playDrain ends a gateway under the flood, with SIGKILL at its earliest.
func (f floodCase) playDrain(t *testing.T) {
	gateway := startSmallGateway(t)
	clients := startUsualClients(t, gateway.addr)
	floods := f.start(t, gateway.addr)
	time.Sleep(time.Second)
	gateway.terminate()
	termAt := time.Now()
	clients.termAt.Store(&termAt)
	killAt := termAt.Add(usualDeadline + takenBeforeKill)
	time.AfterFunc(time.Until(killAt), func() { _ = gateway.process.Process.Kill() })
	clients.running.Wait()
	floods.stop()
	unanswered := clients.sentBetween(termAt.Add(takenBeforeKill), killAt)
	summary := clients.summary()
	t.Log(summary)
	if summary.lost > 0 || unanswered > 0 {
		t.Errorf("%d usual requests were lost, and %d unanswered at SIGKILL", summary.lost, unanswered)
	}
}
