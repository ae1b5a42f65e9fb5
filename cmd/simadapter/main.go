// Command adapter runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"harrierhoist/internal/simulator/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
