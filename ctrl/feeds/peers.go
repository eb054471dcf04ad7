package feeds

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// MethodExchange is a long stream between replicas: Ask from the one that
	// opens it, then News from the other.
	MethodExchange = "exchange"
	// peerInterval is the longest time between two messages to a peer.
	peerInterval = 500 * time.Millisecond
	// peerSilence is how long a peer may send nothing before the agents that
	// it heard are adopted.
	peerSilence = 2 * time.Second
	// reopenDelay is the pause before a broken exchange is opened again.
	reopenDelay = 200 * time.Millisecond
)

// ExchangeRequest opens an exchange.
type ExchangeRequest struct {
	ReplicaID uint64 `protobuf:"varint,1,opt"`
	Name      string `protobuf:"bytes,2,opt"`
	// Vector is what the asking replica has of the roster.
	Vector []roster.VectorEntry `protobuf:"bytes,3,rep"`
}

// ExchangeUpdate is what one replica tells another.
type ExchangeUpdate struct {
	ReplicaID uint64 `protobuf:"varint,1,opt"`
	// ConfigNumber is the configuration applied at the sender. Daemons that hold a
	// lease from it and have an older one in force are in Lagging.
	ConfigNumber uint64   `protobuf:"varint,2,opt"`
	Lagging      []string `protobuf:"bytes,3,rep"`
	// Entries are the entries connected to the sender.
	Entries []string      `protobuf:"bytes,4,rep"`
	Roster  *roster.Delta `protobuf:"bytes,5,opt"`
	// BurnCounts holds counts that came to the sender since its last message.
	BurnCounts []plane.BurnCount `protobuf:"bytes,6,rep"`
}

// peer is another replica as this one sees it.
type peer struct {
	// heard is when last arrived.
	heard time.Time
	last  ExchangeUpdate
	// news wakes the exchange that the peer opened here; nil without one.
	news chan struct{}
	// burn holds counts that the peer has not been sent.
	burn map[goal]plane.BurnCount
}

// listenAll keeps an exchange with each of the other replicas open until ctx
// ends, and follows changes of who they are.
func (f *Feeds) listenAll(ctx context.Context, group *tasks.Group) {
	if f.Peers == nil {
		<-ctx.Done()
		return
	}
	open := map[string]context.CancelFunc{}
	for {
		names := f.Peers()
		for _, name := range names {
			if open[name] != nil {
				continue
			}
			f.meet(name)
			listening, cancel := context.WithCancel(ctx)
			open[name] = cancel
			group.Go(func() { f.listen(listening, name) })
		}
		for name, cancel := range open {
			if !slices.Contains(names, name) {
				cancel()
				delete(open, name)
				f.part(name)
			}
		}
		pause(ctx, peerInterval, nil)
		if ctx.Err() != nil {
			for _, cancel := range open {
				cancel()
			}
			return
		}
	}
}

// meet makes room for what a replica tells.
func (f *Feeds) meet(name string) *peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.peers[name]
	if p == nil {
		p = &peer{burn: map[goal]plane.BurnCount{}}
		f.peers[name] = p
	}
	return p
}

// part forgets a replica that is no longer in the group.
func (f *Feeds) part(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.peers, name)
}

// listen keeps an exchange with a peer open until ctx ends.
func (f *Feeds) listen(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if err := f.listenOnce(ctx, name); err != nil && ctx.Err() == nil {
			f.Host.Log.Write("exchange-ended", "peer", name, "err", err)
		}
		pause(ctx, reopenDelay, nil)
	}
}

func (f *Feeds) listenOnce(ctx context.Context, name string) error {
	opening, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	stream, err := f.OpenStream(opening, name, MethodExchange)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer stream.CloseOnDone(ctx)()
	if err := stream.Send(&ExchangeRequest{ReplicaID: f.ReplicaID(), Name: f.Name, Vector: f.Roster.Vector()}); err != nil {
		return err
	}
	for {
		news := ExchangeUpdate{}
		if err := stream.SetDeadline(time.Now().Add(2 * peerSilence)); err != nil {
			return err
		}
		if err := stream.Receive(&news); err != nil {
			return err
		}
		f.take(name, &news)
	}
}

// take merges what a peer told. It wakes no peers: each of them hears it from
// the one who knew first.
func (f *Feeds) take(name string, news *ExchangeUpdate) {
	if news.Roster != nil && len(f.Roster.Merge(news.Roster)) > 0 {
		f.wakeEntries()
	}
	news.Roster = nil
	f.burn.add(news.BurnCounts)
	p := f.meet(name)
	f.mutex.Lock()
	former := p.last.ReplicaID
	p.heard, p.last = time.Now(), *news
	f.mutex.Unlock()
	f.wakeWaiters()
	if former != 0 && former != news.ReplicaID && f.Roster.TakeOver(f.ReplicaID(), former) {
		// A new replica has taken the place of one with another ID.
		f.rosterChanged()
	}
}

// adopt takes over the agents of peers that have gone silent.
func (f *Feeds) adopt(now time.Time) {
	var silent []uint64
	f.mutex.Lock()
	for _, p := range f.peers {
		if p.last.ReplicaID != 0 && now.Sub(p.heard) > peerSilence {
			silent = append(silent, p.last.ReplicaID)
		}
	}
	f.mutex.Unlock()
	changed := false
	for _, replica := range silent {
		changed = f.Roster.TakeOver(f.ReplicaID(), replica) || changed
	}
	if changed {
		f.rosterChanged()
	}
}

// Exchange serves the stream that another replica opened.
func (f *Feeds) Exchange(ctx context.Context, stream *wire.Stream) error {
	f.prepare()
	defer stream.CloseOnDone(ctx)()
	ask := ExchangeRequest{}
	if err := stream.Receive(&ask); err != nil {
		return &Error{Op: "receive ask", Kind: KindStream, Err: err}
	}
	news := make(chan struct{}, 1)
	p := f.meet(ask.Name)
	f.mutex.Lock()
	p.news = news
	f.mutex.Unlock()
	vector := ask.Vector
	for ctx.Err() == nil {
		message := f.tell(p, &vector)
		if err := stream.Send(message); err != nil {
			f.untold(p, message.BurnCounts)
			return err
		}
		pause(ctx, newsInterval, nil)
		pause(ctx, peerInterval-newsInterval, news)
	}
	return nil
}

// tell makes the next message to a peer that has the given vector.
func (f *Feeds) tell(p *peer, vector *[]roster.VectorEntry) *ExchangeUpdate {
	message := &ExchangeUpdate{ReplicaID: f.ReplicaID(), ConfigNumber: f.Machine.Number()}
	if !covers(*vector, f.Roster.Vector()) {
		message.Roster = f.Roster.DeltaForFollower(*vector)
		message.Roster.Sender = message.ReplicaID
		*vector = joinVectors(*vector, message.Roster.Vector)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	message.Lagging = f.lagging(message.ConfigNumber)
	message.Entries = f.ownEntries()
	for key, count := range p.burn {
		message.BurnCounts = append(message.BurnCounts, count)
		delete(p.burn, key)
	}
	return message
}

// untold keeps counts for the next exchange.
func (f *Feeds) untold(p *peer, counts []plane.BurnCount) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, count := range counts {
		p.add(count)
	}
}

func (p *peer) add(count plane.BurnCount) {
	key := goal{workspace: count.Workspace, route: count.Route}
	sum := p.burn[key]
	sum.Workspace, sum.Route = count.Workspace, count.Route
	sum.Good += count.Good
	sum.Bad += count.Bad
	p.burn[key] = sum
}
