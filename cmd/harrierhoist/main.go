// Command harrierhoist is one gateway on sockets.
package main

import (
	"fmt"
	"os"

	"harrierhoist/internal/daemon"
)

func main() {
	if err := daemon.Run(os.Getenv("RELAY_CONFIG")); err != nil {
		fmt.Fprintln(os.Stderr, "harrierhoist:", err)
		os.Exit(1)
	}
}
