// Command simadapter runs the gateway's decisions behind the simulator's frames, on standard input
// and output.
package main

import (
	"fmt"
	"os"

	"harrierhoist/internal/simulator/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
