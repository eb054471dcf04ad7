package node

import (
	"context"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// maxQueuedMessages bounds what waits in a lane; the oldest go first.
	maxQueuedMessages = 1024
	// maxBatchBytes bounds what is sent as one message of the stream, unless
	// one message of the core is larger.
	maxBatchBytes = 2 << 20
)

// senderInfo is the first message of a stream between two replicas. A replica
// that belongs to no group yet learns from it where to send its replies.
type senderInfo struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Address string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (h *senderInfo) Check() error {
	if h.ID == 0 || h.Address == "" {
		return &Error{Op: "check sender", Kind: KindNoReplica}
	}
	return nil
}

// messageBatch is every later message of the stream.
type messageBatch struct {
	Messages []raft.Message `protobuf:"bytes,1,rep"`
}

// Check reports the first invalid message.
func (b *messageBatch) Check() error {
	for i := range b.Messages {
		if err := b.Messages[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// sendQueue is a queue of messages that leave in order on one stream.
type sendQueue struct {
	mutex    sync.Mutex
	messages []raft.Message
	wake     chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// push queues a message and returns how many older ones it dropped for it.
func (l *sendQueue) push(m raft.Message) (dropped int) {
	l.mutex.Lock()
	if len(l.messages) >= maxQueuedMessages {
		dropped = len(l.messages) / 2
		l.messages = append([]raft.Message(nil), l.messages[dropped:]...)
	}
	l.messages = append(l.messages, m)
	l.mutex.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return dropped
}

// take returns the first queued messages, up to batchBytes.
func (l *sendQueue) take() []raft.Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size, count := 0, 0
	for count < len(l.messages) {
		size += dataBytes(&l.messages[count])
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	taken := l.messages[:count:count]
	l.messages = l.messages[count:]
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

// run sends what is queued on one stream until the session or ctx ends.
func (l *sendQueue) run(ctx context.Context, session *link.Session, sender senderInfo) error {
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

func (l *sendQueue) drain(stream *wire.Stream) error {
	for {
		messages := l.take()
		if len(messages) == 0 {
			return nil
		}
		if err := stream.Send(&messageBatch{Messages: messages}); err != nil {
			return err
		}
	}
}
