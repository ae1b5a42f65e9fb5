// Package disk keeps a voter's log, its hard state and its snapshots on disk.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
)

// Disk is one voter's folder.
type Disk struct {
	folder, mark string
}

// Open opens the folder, and makes it where there is none.
func Open(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("disk of a voter: %w", err)
	}
	var mark [16]byte
	_, _ = rand.Read(mark[:]) // never fails
	return &Disk{folder, hex.EncodeToString(mark[:])}, nil
}

// Mark is drawn when the disk is made: 32 hex digits.
func (d *Disk) Mark() string { return d.mark }

// Close gives the disk back.
func (d *Disk) Close() error { return nil }
