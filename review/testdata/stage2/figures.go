package main

import "time"

// Figures of the pages; each case's claim.txt quotes the sentences.
const (
	lostAfter   = 500 * time.Millisecond // up to so long after its time an answer only earns nothing
	socketSlack = 50 * time.Millisecond  // every time limit on sockets is longer by this

	shortTry  = 3750 * time.Millisecond // a try is given up after 50 to 100% of the patience, 7.5 s
	longTry   = 6000 * time.Millisecond
	gateways  = 6 // 6 to 8 gateways, 14 to 19 servers
	servers   = 14
	usualWork = 170 * time.Millisecond // 170 to 310 ms
)

// wings are the zones of the small deployment.
var wings = []string{"ala-norte", "ala-sur", "ala-este"}

// usual is the work of a usual request.
func usual(string) time.Duration { return usualWork }
