package voter

// shouldCompact decides whether the log is rewritten from a snapshot: it has reached compactAt
// bytes, and would grow without bound otherwise.
func (l *eventLoop) shouldCompact() bool { return l.storage.Size() >= l.compactAt }

// nextCompactSize returns the size in bytes at which a log that was just rewritten is rewritten
// again. It grows with the snapshot, so that a large state is not rewritten after every event.
func nextCompactSize(rewritten int64) int64 { return max(minCompactBytes, compactGrowth*rewritten) }

// compactLog rewrites the log from a snapshot, where it is long enough for that.
func (l *eventLoop) compactLog() error {
	if !l.shouldCompact() {
		return nil
	}
	if err := l.consensus.Compact(retainedEntries); err != nil {
		return err
	}
	checkpoint, err := l.consensus.Checkpoint()
	if err != nil {
		return err
	}
	if err := l.storage.Rewrite(checkpoint); err != nil {
		return err
	}
	l.compactAt = nextCompactSize(l.storage.Size())
	return nil
}
