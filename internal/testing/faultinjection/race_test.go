//go:build race

package drill

func init() { buildFlags = append(buildFlags, "-race") }
