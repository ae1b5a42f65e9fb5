// Package keep puts the parts of debts together in a running gateway.
package keep

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"harrierhoist/internal/cluster"
	"harrierhoist/internal/debts"
	"harrierhoist/internal/debts/journal"
	"harrierhoist/internal/debts/till"
	"harrierhoist/internal/gate"
	"harrierhoist/policy"
)

// Start has a gateway count debts and settle them by what all hold in common, until the context ends; the channel is
// closed once all is on disk. Halls are the names in the order of the settings. Without a folder nothing is kept on
// disk. The till is for other terms later (Reshape). Errors: a folder that cannot be used, or is another process's.
func Start(ctx context.Context, t debts.Terms, site policy.Deployment, halls []string, seed int64, folder string,
	commons cluster.Commons, g *gate.Gate, log *zap.Logger) (*till.Till, <-chan struct{}, error) {
	var disk till.Disk
	closed := func() error { return nil }
	if folder != "" {
		j, err := journal.Open(folder)
		if err != nil {
			return nil, nil, err
		}
		disk, closed = j, j.Close
	}
	// A wall clock that steps back to the same nanosecond would give two lives one name; nothing else is told by it.
	life := strconv.FormatInt(time.Now().UnixNano(), 36)
	l := till.New(t, till.Site{Halls: halls}, life, uint64(seed), commons.Now)
	l.Resite(site.Lanes, site.Plans)
	if disk != nil {
		l.Load(disk)
	}
	g.Owe(l)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx, commons, g, disk, log)
		if err := closed(); err != nil {
			log.Error("the disk keeps no debts of the last second", zap.Error(err))
		}
	}()
	return l, ended, nil
}
