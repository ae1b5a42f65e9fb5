// Package host runs gateways behind the simulator's frames: any number of instances that share
// nothing. It translates records into the types of package policy and the calls of its Host into
// records, and decides nothing.
package host

import (
	"errors"
	"fmt"
	"io"

	"harrierhoist/internal/simulator/frame"
)

// Run answers batches until the input ends. A batch that is malformed ends it with a
// *frame.FormatError, and gets no part of a reply.
func Run(in io.Reader, out io.Writer) error {
	reader := frame.NewReader(in)
	instances := instanceSet{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, malformed := instances.runBatch(batch)
		if malformed != nil {
			malformed.Batch = reader.BatchesBegun()
			return malformed
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", reader.BatchesBegun(), err)
		}
	}
}

// instanceSet holds the instances that run, by their numbers.
type instanceSet map[uint32]*instance

// runBatch hands the events of a batch to their instances and gives the reply. Its actions stand in
// the order of the events, under the instance that each event is for.
func (s instanceSet) runBatch(batch *frame.Batch) ([]byte, *frame.FormatError) {
	reply := frame.NewReply(batch.Serial)
	var addressee *frame.Addressee // nil: none was named yet
	for _, event := range batch.Events {
		if named, ok := event.Message.(frame.Addressee); ok {
			addressee = &named
			continue
		}
		if addressee == nil {
			return nil, malformedAt(event, "event %d before any 'to'", event.Message.Code())
		}
		number := addressee.Instance
		if start, ok := event.Message.(frame.Start); ok {
			started, err := newInstance(number, start)
			if err != nil {
				return nil, malformedAt(event, "%v", err)
			}
			s[number] = started
			continue
		}
		running := s[number]
		if running == nil {
			return nil, malformedAt(
				event,
				"event %d for gateway %d, which is not running",
				event.Message.Code(),
				number,
			)
		}
		if _, ok := event.Message.(frame.Stop); ok {
			delete(s, number)
			continue
		}
		running.reply = reply
		running.handleRecovering(batch.Now, event.Message)
	}
	return reply.Bytes(), nil
}

func malformedAt(event frame.Event, format string, args ...any) *frame.FormatError {
	return &frame.FormatError{Offset: event.Offset, Reason: fmt.Sprintf(format, args...)}
}
