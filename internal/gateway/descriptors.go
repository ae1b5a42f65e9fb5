package gateway

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/gateway/config"
)

const (
	// reservedDescriptors is the number of descriptors not available to connections. The listener,
	// the log, the counter, discovery and the runtime need about 16; the rest is a margin.
	reservedDescriptors = 24
	connectionSides     = 2 // connections to clients, connections to servers
)

// connectionLimit returns the maximum number of open connections per side, to clients and to
// servers. It is half of the descriptors that are not reserved, and at least 1. Without this limit,
// idle clients could use up all descriptors, and no server, counter or discovery agent could be
// called. If the system's descriptor limit is lower than the configured one, the lower one applies.
func connectionLimit(configuration *config.Gateway, log *zap.Logger) int {
	limit := configuration.MaxDescriptors
	var descriptors unix.Rlimit
	// The Go runtime raises the soft limit to the hard limit at startup.
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < uint64(limit) {
		limit = int(descriptors.Cur)
		log.Warn("gateway: fewer descriptors than limits.sockets", zap.Int("sockets", configuration.MaxDescriptors),
			zap.Int("descriptors", limit))
	}
	return max((limit-reservedDescriptors)/connectionSides, 1)
}
