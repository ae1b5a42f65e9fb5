//go:build alone

package gateway

import (
	"context"
	"errors"

	"go.uber.org/zap"
)

// A build with the tag "alone" excludes the coordination code. Even unused, that code takes about
// 5 MB of resident memory and lengthens the start (docs/cluster.md, Measured).

// errCoordinationNotBuilt is returned if a coordination file is named.
var errCoordinationNotBuilt = errors.New("RELAY_COMMON: this program was built with the tag alone, " +
	"and takes no part in what is held in common")

// membership stands in for the type of the full build. It is always nil.
type membership struct{}

func joinCoordination(path string, _ *zap.Logger) (*membership, error) {
	if path != "" {
		return nil, errCoordinationNotBuilt
	}
	return nil, nil
}

func runVoter(string, *signals) error { return errCoordinationNotBuilt }

func (*membership) start(context.Context, *instance) error { return nil }
func (*membership) reload()                                {}
func (*membership) transferLeadership()                    {}
func (*membership) close()                                 {}
