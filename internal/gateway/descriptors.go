package gateway

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"harrierhoist/internal/config"
)

// reservedDescriptors are of the limit: some 16 for listener, log, counter, discovery and the runtime, and spare.
const reservedDescriptors = 24

// connectionLimit gives how many connections clients may hold, and how many servers: half each of the descriptors that there
// are, less a few. Where the system gives fewer than the file says, it is its figure that counts: clients who say
// nothing could else take the last one, and neither server, counter nor discovery could be called any more. Harm: with
// fewer places clients that rest make room sooner.
func connectionLimit(configuration *config.Gateway, log *zap.Logger) int {
	limit := configuration.Sockets
	var descriptors unix.Rlimit
	// The runtime has raised the soft limit to the hard one.
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < uint64(limit) {
		limit = int(descriptors.Cur)
		log.Warn("the system gives fewer descriptors than limits.sockets says: it is kept to those",
			zap.Int("sockets", configuration.Sockets), zap.Int("descriptors", limit))
	}
	return max((limit-reservedDescriptors)/2, 1)
}
