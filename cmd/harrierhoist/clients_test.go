package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestWhoSaysNothingIsClosedInTime(t *testing.T) {
	w := begin(t, 1024, hello)
	mum, half, stays := w.dial(), w.dial(), w.dial()
	half.send("*4\r\n$9\r\nSVC.Q")
	stays.send(look("c=look,t=wide,d=4800"))
	stays.want("hello")
	mum.closed()
	half.closed()
	stays.send(look("c=look,t=wide,d=4800"))
	stays.want("hello")
}

func TestFloodOfThoseWhoSayNothingTakesNoPlaceFromClients(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	c := w.dial()
	for range 5 {
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		for range 20 {
			w.dial()
		}
	}
	if strings.Count(w.log.String(), "could not be accepted") > 0 {
		t.Error(w.log)
	}
}

func TestClientThatLeavesHoldsNothing(t *testing.T) {
	w := begin(t, 1024, func([]string) string { return "" })
	for range 3 {
		c := w.dial()
		c.send(pay(""))
		w.server.Got(t)
		_ = c.Close()
	}
	_ = w.cmd.Process.Signal(syscall.SIGTERM)
	if err := w.cmd.Wait(); err != nil { // with nobody to answer, it need not wait for the server
		t.Errorf("ended with %v: %s", err, w.log)
	}
}

func TestMoreClientsThanPlaces(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	var idle []*client
	for range 30 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		idle = append(idle, c)
	}
	idle[0].closed() // it stood idle longest
}

func TestClientsThatAskOnceAndStayMakeRoomBeforeAllPlacesAreTaken(t *testing.T) {
	w := begin(t, 40, hello) // eight places, and clients hold no more than they may
	var stay []*client
	for range 6 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=4800"))
		c.want("hello")
		stay = append(stay, c)
	}
	_ = stay[0].SetDeadline(time.Now().Add(5 * time.Second)) // as idle as that, it would be closed later still
	stay[0].closed()
}

func TestThoseWhoSayNothingOrHalfShutNobodyOut(t *testing.T) {
	w := begin(t, 40, hello) // eight places
	for i := range 9 {
		if c := w.dial(); i%2 == 0 {
			c.send("*4\r\n$9\r\nSVC.Q")
		}
	}
	for range 8 {
		c := w.dial()
		c.send(look("c=look,t=wide,d=9000"))
		c.want("hello")
	}
}
