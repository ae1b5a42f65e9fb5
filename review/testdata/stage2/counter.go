package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// counter is a stand-in of the counter: it adds an amount to a name's total and answers the total.
type counter struct {
	listener net.Listener

	mu     sync.Mutex
	totals map[string]total
}

type total struct {
	units   float64
	expires time.Time
}

func startCounter() (*counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{listener: listener, totals: map[string]total{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *counter) serve(conn net.Conn) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		words := strings.Fields(scanner.Text())
		if len(words) == 1 && words[0] == "ping" {
			fmt.Fprint(conn, "pong\r\n")
			continue
		}
		if len(words) != 4 || words[0] != "incr" {
			fmt.Fprint(conn, "error\r\n")
			continue
		}
		units, err := strconv.ParseFloat(words[2], 64)
		life, err2 := strconv.Atoi(words[3])
		if err != nil || err2 != nil || life < 1 {
			fmt.Fprint(conn, "error\r\n")
			continue
		}
		fmt.Fprintf(conn, "ok %s\r\n", strconv.FormatFloat(c.add(words[1], units, life), 'g', 7, 64))
	}
}

func (c *counter) add(name string, units float64, life int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	known, found := c.totals[name]
	if !found || now.After(known.expires) {
		known = total{expires: now.Add(time.Duration(min(life, 60000)) * time.Millisecond)}
	}
	known.units += units
	c.totals[name] = known
	return known.units
}
