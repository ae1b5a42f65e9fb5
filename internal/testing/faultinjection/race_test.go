//go:build race

package faultinjection

func init() { buildFlags = append(buildFlags, "-race") }
