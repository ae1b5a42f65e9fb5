package main

import (
	"io"
	"net"
	"regexp"
	"strings"
	"testing"

	"harrierhoist/internal/testing/fakes"
)

func TestRequests_areServedAndChargedTrueUnits(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	c := gateway.connect()
	c.query("c=look,t=wide,d=4800,units=2,spread=1,first=0", "hello")
	got := gateway.server.NextCommand(t)
	if ok, _ := regexp.MatchString(
		`^SVC.QUERY 00000000b4d65521 [0-9a-f]{16} c=look,t=wide,d=4[0-9]{3},units=2,spread=1,first=0$`,
		strings.Join(got, " ")); !ok {
		t.Errorf("forwarded %q", got)
	}
	body := strings.Repeat("b", 64<<10)
	c.send(submitCommand(body))
	c.want("hello")
	if got = gateway.server.NextCommand(t); len(got) != 5 || got[0] != "SVC.SUBMIT" || got[4] != body {
		t.Errorf("forwarded %d words", len(got))
	}
	for call := ""; !strings.Contains(call, " 3 "); { // the true units of the first, with the check of the second
		call = gateway.counter.NextCall(t)
	}
}

func TestRequests_overTheLimitAreRejectedWithoutAnAttempt(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	c := gateway.connect()
	for range 2 {
		c.query("c=look,t=small,d=4800,units=3", "hello|-BUSY [0-9]+")
	}
	c.query("c=look,t=small,d=4800,units=3", "-BUSY [0-9]+")
	if n := gateway.server.PendingCommands(); n > 1 {
		t.Errorf("%d attempts", n)
	}
}

func TestBadInput_getsOneErrorAndHarmsNobody(t *testing.T) {
	gateway := startGateway(t, 1024, answerHello)
	for text, stays := range map[string]bool{
		queryCommand("c=nothing,t=wide,d=480"): true,
		// not idempotent
		queryCommand("c=pay,t=wide,d=480"):         true,
		queryCommand("c=look,t=nothing,d=480"):     true,
		queryCommand("c=look,t=wide,d=0"):          true,
		queryCommand("c=look,t=wide,d=-5"):         true,
		queryCommand("c=look,t=wide,d=NaN"):        true,
		queryCommand("c=look,t=wide"):              true,
		queryCommand(""):                           true,
		queryCommand("c=look,t=wide,d=0x1p9"):      true,
		queryCommand("c=look,t=wide,d=9,units=-1"): true,
		// more than a request may use
		queryCommand("c=look,t=wide,d=9,units=7"): true,
		// there is one gateway
		queryCommand("c=look,t=wide,d=9,first=1"):                                                  true,
		queryCommand("c=look,t=wide,d=9,spread=2"):                                                 true,
		queryCommand("c=look,t=wide,d=9,spread=0"):                                                 true,
		queryCommand("c=look,t=wide,d=9,d=9"):                                                      true,
		queryCommand("c=look,t=wide,d=9,=7"):                                                       true,
		queryCommand("c=look,t=wide,d=9,r=2"):                                                      true,
		queryCommand("c=hold,t=wide,d=9"):                                                          true,
		fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", "", "c=look,t=wide,d=480"):            true,
		fakes.FormatCommand("SVC.QUERY", "0000000200000000", "1", "c=look,t=wide,d=480"):           true, // 2^33
		fakes.FormatCommand("SVC.QUERY", "b4d65521", "1", "c=look,t=wide,d=480"):                   true,
		fakes.FormatCommand("SVC.QUERY", "xyz", "1", "c=look,t=wide,d=480"):                        true,
		fakes.FormatCommand("SVC.QUERY", "00000000b4d65521", "1", "c=look,t=wide,d=480", "body"):   true,
		fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", "1", "c=pay,t=wide,d=480"):           true,
		fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480", "no k"):  true,
		fakes.FormatCommand("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480,k=", "no"): true,
		fakes.FormatCommand("SVC.QUERY"):                                                           true,
		fakes.FormatCommand("HELLO", "3"):                                                          true,
		"*1\r\n$-5\r\n":                                                                            false,
		"*1000000\r\n":                                                                             false,
		"*5\r\n$60000000\r\nxxxxxxxx":                                                              false,
		"GET / HTTP/1.1\r\n\r\n":                                                                   false,
		"*1\r\n$70000\r\n":                                                                         false,
		strings.Repeat("x", 1<<20):                                                                 false,
		submitCommand(strings.Repeat("b", 64<<10+1)):                                               false,
	} {
		c := gateway.connect()
		_, _ = io.WriteString(c, text) // may be cut short where it has no end
		c.want("-ERR .*")
		if stays {
			c.query(queryList, "hello")
			continue
		}
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.wantClosed()
	}
}

func TestRequestID_inUseIsRefused(t *testing.T) {
	release := make(chan bool)
	gateway := startGateway(t, 1024, func([]string) string { <-release; return fakes.FormatValue("hello", 1) })
	c, other := gateway.connect(), gateway.connect()
	same := queryCommand(queryList)
	c.send(same)
	gateway.server.NextCommand(t)
	other.send(same)
	other.want("-ERR .*")
	close(release)
	c.want("hello")
	other.send(same) // not in use any more
	other.want("hello")
}

func TestAnswers_areInTheOrderOfRequests(t *testing.T) {
	release := make(chan bool)
	gateway := startGateway(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-release
			return fakes.FormatValue("one", 1)
		}
		return fakes.FormatValue("two", 1)
	})
	c := gateway.connect()
	c.send(queryCommand("c=look,t=wide,d=4800,n=1") + queryCommand("c=look,t=wide,d=4800,n=2") +
		fakes.FormatCommand("PING"))
	gateway.server.NextCommand(t)
	gateway.server.NextCommand(t) // both are in flight at once
	close(release)
	c.want("one")
	c.want("two")
	c.want("\\+PONG")
}
