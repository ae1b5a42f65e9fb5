// Command harrierhoist runs one gateway, or one voter. The variable RELAY_CONFIG names the
// configuration file of the gateway, RELAY_COMMON the coordination file, if there is one; with
// RELAY_COMMON alone the process is a voter. It ends on SIGTERM and SIGINT, once all requests in
// flight are answered, and reads its files again on SIGHUP. It exits with 1 and one line on each
// fault if it cannot start.
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
