package node

import (
	"context"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// maxQueuedMessages limits a send queue; the oldest half is dropped when it is
	// full.
	maxQueuedMessages = 1024
	// maxBatchBytes limits the data sent as one message of the stream, unless a
	// single message of the core is larger.
	maxBatchBytes = 2 << 20
)

// senderInfo is the first message of a stream between two replicas. A replica that
// belongs to no group yet learns from it where to send its replies.
type senderInfo struct {
	ID      uint64 `protobuf:"varint,1,opt"`
	Address string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (s *senderInfo) Check() error {
	if s.ID == 0 || s.Address == "" {
		return &Error{Op: "check sender", Kind: KindNoReplica}
	}
	return nil
}

// messageBatch is the type of all later messages of the stream.
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

// sendQueue is a queue of messages that are sent in order on one stream.
type sendQueue struct {
	mutex    sync.Mutex
	messages []raft.Message
	// wake receives a value after a message is queued.
	wake chan struct{}
}

func newSendQueue() *sendQueue { return &sendQueue{wake: make(chan struct{}, 1)} }

// push queues a message and returns the number of older messages dropped to make
// room.
func (q *sendQueue) push(m raft.Message) (dropped int) {
	q.mutex.Lock()
	if len(q.messages) >= maxQueuedMessages {
		dropped = len(q.messages) / 2
		q.messages = append([]raft.Message(nil), q.messages[dropped:]...)
	}
	q.messages = append(q.messages, m)
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

// take removes and returns the first queued messages, up to maxBatchBytes.
func (q *sendQueue) take() []raft.Message {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	size, count := 0, 0
	for count < len(q.messages) {
		size += dataBytes(&q.messages[count])
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	taken := q.messages[:count:count]
	q.messages = q.messages[count:]
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

// run sends queued messages on one stream until the session or ctx ends.
func (q *sendQueue) run(ctx context.Context, session *link.Session, sender senderInfo) error {
	stream, err := session.Open(methodRaft)
	if err != nil {
		return err
	}
	if err := stream.Send(&sender); err != nil {
		return err
	}
	for {
		select {
		case <-q.wake:
		case <-session.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := q.drain(stream); err != nil {
			return err
		}
	}
}

// drain sends all queued messages.
func (q *sendQueue) drain(stream *wire.Stream) error {
	for {
		messages := q.take()
		if len(messages) == 0 {
			return nil
		}
		if err := stream.Send(&messageBatch{Messages: messages}); err != nil {
			return err
		}
	}
}
