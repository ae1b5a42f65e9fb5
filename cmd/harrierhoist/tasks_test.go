package main

import (
	"io"
	"net"
	"regexp"
	"strings"
	"testing"

	"harrierhoist/internal/standin"
)

func TestTasksAreServedAndTheirTrueUnitsCharged(t *testing.T) {
	w := begin(t, 1024, hello)
	c := w.dial()
	c.send(look("c=look,t=wide,d=4800,units=2,spread=1,first=0"))
	c.want("hello")
	got := w.server.Got(t)
	if ok, _ := regexp.MatchString(`^SVC.QUERY 00000000b4d65521 [0-9a-f]{16} c=look,t=wide,d=4[0-9]{3},units=2,spread=1,first=0$`,
		strings.Join(got, " ")); !ok {
		t.Errorf("passed on %q", got)
	}
	body := strings.Repeat("b", 64<<10)
	c.send(pay(body))
	c.want("hello")
	if got = w.server.Got(t); len(got) != 5 || got[0] != "SVC.SUBMIT" || got[4] != body {
		t.Errorf("passed on %d words", len(got))
	}
	for call := ""; !strings.Contains(call, " 3 "); { // the true units of the first, with the check of the second
		call = w.counter.Call(t)
	}
}

func TestOverTheLimitIsRejectedWithoutAPush(t *testing.T) {
	w := begin(t, 1024, hello)
	c := w.dial()
	for range 2 {
		c.send(look("c=look,t=small,d=4800,units=3"))
		c.want("hello|-BUSY [0-9]+")
	}
	c.send(look("c=look,t=small,d=4800,units=3"))
	c.want("-BUSY [0-9]+")
	if n := w.server.Commands(); n > 1 {
		t.Errorf("%d pushes", n)
	}
}

func TestBadInputGetsOneErrorAndHarmsNobody(t *testing.T) {
	w := begin(t, 1024, hello)
	for text, stays := range map[string]bool{
		look("c=nothing,t=wide,d=480"):     true,
		look("c=pay,t=wide,d=480"):         true, // effectful, but asked as a query
		look("c=look,t=nothing,d=480"):     true,
		look("c=look,t=wide,d=0"):          true,
		look("c=look,t=wide,d=-5"):         true,
		look("c=look,t=wide,d=NaN"):        true,
		look("c=look,t=wide"):              true,
		look(""):                           true,
		look("c=look,t=wide,d=0x1p9"):      true,
		look("c=look,t=wide,d=9,units=-1"): true,
		look("c=look,t=wide,d=9,units=7"):  true, // more than a task can take
		look("c=look,t=wide,d=9,first=1"):  true, // there is one gateway
		look("c=look,t=wide,d=9,spread=2"): true,
		look("c=look,t=wide,d=9,spread=0"): true,
		look("c=look,t=wide,d=9,d=9"):      true,
		look("c=look,t=wide,d=9,=7"):       true,
		look("c=look,t=wide,d=9,r=2"):      true,
		look("c=hold,t=wide,d=9"):          true,
		standin.Command("SVC.QUERY", "00000000b4d65521", "", "c=look,t=wide,d=480"):            true,
		standin.Command("SVC.QUERY", "0000000200000000", "1", "c=look,t=wide,d=480"):           true, // 2^33
		standin.Command("SVC.QUERY", "b4d65521", "1", "c=look,t=wide,d=480"):                   true,
		standin.Command("SVC.QUERY", "xyz", "1", "c=look,t=wide,d=480"):                        true,
		standin.Command("SVC.QUERY", "00000000b4d65521", "1", "c=look,t=wide,d=480", "body"):   true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=pay,t=wide,d=480"):           true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480", "no k"):  true,
		standin.Command("SVC.SUBMIT", "00000000b4d65521", "1", "c=hold,t=wide,d=480,k=", "no"): true,
		standin.Command("SVC.QUERY"):       true,
		standin.Command("HELLO", "3"):      true,
		"*1\r\n$-5\r\n":                    false,
		"*1000000\r\n":                     false,
		"*5\r\n$60000000\r\nxxxxxxxx":      false,
		"GET / HTTP/1.1\r\n\r\n":           false,
		"*1\r\n$70000\r\n":                 false,
		strings.Repeat("x", 1<<20):         false,
		pay(strings.Repeat("b", 64<<10+1)): false,
	} {
		c := w.dial()
		_, _ = io.WriteString(c, text) // may be cut short where it has no end
		c.want("-ERR .*")
		if stays {
			c.send(look("c=look,t=wide,d=4800"))
			c.want("hello")
			continue
		}
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.closed()
	}
}

func TestIdOfAnOpenTaskIsNobodyElses(t *testing.T) {
	first := make(chan bool)
	w := begin(t, 1024, func([]string) string { <-first; return standin.Value("hello", 1) })
	c, other := w.dial(), w.dial()
	same := look("c=look,t=wide,d=4800")
	c.send(same)
	w.server.Got(t)
	other.send(same)
	other.want("-ERR .*")
	close(first)
	c.want("hello")
	other.send(same) // open no more
	other.want("hello")
}

func TestAnswersKeepTheOrderOfTheirTasks(t *testing.T) {
	first := make(chan bool)
	w := begin(t, 1024, func(words []string) string {
		if strings.Contains(words[3], "n=1") {
			<-first
			return standin.Value("one", 1)
		}
		return standin.Value("two", 1)
	})
	c := w.dial()
	c.send(look("c=look,t=wide,d=4800,n=1") + look("c=look,t=wide,d=4800,n=2") + standin.Command("PING"))
	w.server.Got(t)
	w.server.Got(t) // both are out at once
	close(first)
	c.want("one")
	c.want("two")
	c.want("\\+PONG")
}
