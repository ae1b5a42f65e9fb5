// Command lab plays the cases of the review: stand-ins for clients, servers, discovery and the counter
// around processes of the project.
//
//	lab CASE FOLDER
//
// It writes FOLDER/record.txt. The exit status is 1 if the case's rule was broken, 0 if it held, 2 if the case
// could not run. With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration is the longest time of a case: 120 s are allowed.
const maxDuration = 115 * time.Second

// verdict is the end of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases of the review: drain, hall and crash. The others are scenes that REPORT.md names.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){
	"drain": busyConnections,
	"hall":  newHall,
	"crash": lostVoters,
	"debts": doubledDebts,
	"lease": shorterLease,
	"rule":  staleRule,
	"left":  leftClients,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l := &lab{rec: rec, temp: temp}
	type end struct {
		verdict
		err error
	}
	ended := make(chan end, 1)
	go func() {
		v, err := cases[name](l, os.Getenv("TROUBLE") != "0")
		ended <- end{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var e end
	select {
	case e = <-ended:
	case s := <-interrupted:
		e.err = fmt.Errorf("interrupted: %v", s)
	case <-time.After(maxDuration):
		e.err = fmt.Errorf("not over after %v", maxDuration)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, p := range l.processes {
			rec.add("log of %s:\n%s", p.name, p.logText())
		}
	}
	l.close()
	switch {
	case e.err != nil:
		rec.say("could not run: %v", e.err)
		return 2
	case e.broken:
		rec.say("BROKEN: %s", e.text)
		return 1
	}
	rec.say("held: %s", e.text)
	return 0
}
