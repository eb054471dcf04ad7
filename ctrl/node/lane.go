package node

import (
	"context"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// queueMessages bounds what waits in a lane; the oldest go first.
	queueMessages = 1024
	// batchBytes bounds what is sent as one message of the stream, unless
	// one message of the core is larger.
	batchBytes = 2 << 20
)

// hello is the first message of a stream between two replicas. A replica
// that belongs to no group yet learns from it where to send its replies.
type hello struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Address string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (h *hello) Check() error {
	if h.ID == 0 || h.Address == "" {
		return &Error{Op: "check sender", Kind: KindNoReplica}
	}
	return nil
}

// batch is every later message of the stream.
type batch struct {
	Messages []raft.Message `protobuf:"bytes,1,rep"`
}

// Check reports the first invalid message.
func (b *batch) Check() error {
	for i := range b.Messages {
		if err := b.Messages[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// lane is a queue of messages that leave in order on one stream.
type lane struct {
	mutex sync.Mutex
	queue []raft.Message
	wake  chan struct{}
}

func newLane() *lane { return &lane{wake: make(chan struct{}, 1)} }

// push queues a message and returns how many older ones it dropped for it.
func (l *lane) push(m raft.Message) (dropped int) {
	l.mutex.Lock()
	if len(l.queue) >= queueMessages {
		dropped = len(l.queue) / 2
		l.queue = append([]raft.Message(nil), l.queue[dropped:]...)
	}
	l.queue = append(l.queue, m)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return dropped
}

// take returns the first queued messages, up to batchBytes.
func (l *lane) take() []raft.Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size, count := 0, 0
	for count < len(l.queue) {
		size += dataBytes(&l.queue[count])
		if count > 0 && size > batchBytes {
			break
		}
		count++
	}
	taken := l.queue[:count:count]
	l.queue = l.queue[count:]
	return taken
}

func dataBytes(m *raft.Message) int {
	size := 0
	for i := range m.Entries {
		size += len(m.Entries[i].Data)
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Data)
	}
	return size
}

// feed sends what is queued on one stream until the session or ctx ends.
func (l *lane) feed(ctx context.Context, session *link.Session, sender hello) error {
	stream, err := session.Open(methodRaft)
	if err != nil {
		return err
	}
	if err := stream.Send(&sender); err != nil {
		return err
	}
	for {
		select {
		case <-l.wake:
		case <-session.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := l.drain(stream); err != nil {
			return err
		}
	}
}

func (l *lane) drain(stream *wire.Stream) error {
	for {
		messages := l.take()
		if len(messages) == 0 {
			return nil
		}
		if err := stream.Send(&batch{Messages: messages}); err != nil {
			return err
		}
	}
}
