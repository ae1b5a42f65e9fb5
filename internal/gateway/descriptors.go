package gateway

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/gateway/config"
)

const (
	// reservedDescriptors are left free: some 16 for listener, log, counter, discovery and the
	// runtime, and spare ones.
	reservedDescriptors = 24
	connectionSides     = 2 // clients and servers
)

// connectionLimit decides how many connections to clients may be open, and as many to servers: half
// each of the descriptors, less the reserved ones. Where the system gives fewer than the file says,
// its figure counts: idle clients could otherwise take the last one, and neither server, counter
// nor discovery could be called.
func connectionLimit(configuration *config.Gateway, log *zap.Logger) int {
	limit := configuration.Sockets
	var descriptors unix.Rlimit
	// The runtime has raised the soft limit to the hard one.
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < uint64(limit) {
		limit = int(descriptors.Cur)
		log.Warn("gateway: fewer descriptors than limits.sockets", zap.Int("sockets", configuration.Sockets),
			zap.Int("descriptors", limit))
	}
	return max((limit-reservedDescriptors)/connectionSides, 1)
}
