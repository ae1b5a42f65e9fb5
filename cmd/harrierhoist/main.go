// Command harrierhoist is one gateway on sockets.
package main

import (
	"fmt"
	"os"
	"strings"

	"harrierhoist/internal/gateway"
)

func main() {
	if err := gateway.RunWithCoordination(os.Getenv("RELAY_CONFIG"), os.Getenv("RELAY_COMMON")); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "harrierhoist:", line)
		}
		os.Exit(1)
	}
}
