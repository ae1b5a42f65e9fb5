package wal

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// reportLatency reports the median and the 99th percentile of the calls.
func reportLatency(b *testing.B, do func(i int) error) {
	b.Helper()
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		if err := do(i); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

var benchmarkRecord = make([]byte, 300) // about the size of a controller's write with what Raft adds to it

// One write and sync of a block at the end of a file: no log can be faster.
func BenchmarkFile_sync(b *testing.B) {
	f, err := os.OpenFile(filepath.Join(b.TempDir(), "f"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	block := make([]byte, blockSize)
	reportLatency(b, func(int) error {
		if _, err := f.Write(block); err != nil {
			return err
		}
		return f.Sync()
	})
}

func BenchmarkLog_Append(b *testing.B) {
	l, err := Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	reportLatency(b, func(int) error { return l.Append(benchmarkRecord) })
}

// The same in an embedded database, for comparison.
func BenchmarkBbolt_put(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), fileMode, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = db.Close() })
	reportLatency(b, func(i int) error {
		return db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
			if err != nil {
				return err
			}
			return bucket.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), benchmarkRecord)
		})
	})
}
