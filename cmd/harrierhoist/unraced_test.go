//go:build !race

package main

// raceSlowdown is how much less a program does in a second that looks for data races: this one does
// not.
const raceSlowdown = 1
