package feeds

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// MethodExchange is the method of a long-lived stream between replicas. The replica
	// that opens it sends an ExchangeRequest; the other one sends ExchangeUpdates.
	MethodExchange = "exchange"
	// peerInterval is the longest time between two updates to a peer, and the time
	// between two checks of the membership.
	peerInterval = 500 * time.Millisecond
	// peerTimeout is how long a peer may send nothing before this replica takes over the
	// peer's agents.
	peerTimeout = 2 * time.Second
	// reopenDelay is the pause before a failed exchange is opened again.
	reopenDelay = 200 * time.Millisecond
)

// ExchangeRequest opens an exchange.
type ExchangeRequest struct {
	ReplicaID uint64 `protobuf:"varint,1,opt"`
	Name      string `protobuf:"bytes,2,opt"`
	// Vector is the version vector of the sender's roster.
	Vector []roster.VectorEntry `protobuf:"bytes,3,rep"`
}

// ExchangeUpdate is one replica's regular report to another.
type ExchangeUpdate struct {
	ReplicaID uint64 `protobuf:"varint,1,opt"`
	// ConfigNumber is the number of the configuration applied at the sender. Lagging
	// names the daemons that hold a lease from the sender and have an older
	// configuration in force.
	ConfigNumber uint64   `protobuf:"varint,2,opt"`
	Lagging      []string `protobuf:"bytes,3,rep"`
	// Entries names the entries connected to the sender.
	Entries []string      `protobuf:"bytes,4,rep"`
	Roster  *roster.Delta `protobuf:"bytes,5,opt"`
	// BurnCounts holds the request counts that reached the sender since its last update.
	BurnCounts []plane.BurnCount `protobuf:"bytes,6,rep"`
	// Limits holds all request limits of endpoints that the sender knows.
	Limits []advert.LimitReport `protobuf:"bytes,7,rep"`
}

// peer is another replica as seen by this one.
type peer struct {
	// lastHeard is when lastUpdate arrived.
	lastHeard  time.Time
	lastUpdate ExchangeUpdate
	// changed wakes the exchange that the peer opened to this replica; nil without
	// one.
	changed chan struct{}
	// unsentBurn holds the counts that have not been sent to the peer.
	unsentBurn map[objectiveKey]plane.BurnCount
}

// followPeers keeps an exchange with each of the other replicas open until ctx ends, and
// follows changes of the membership.
func (f *Feeds) followPeers(ctx context.Context, group *tasks.Group) {
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
			f.ensurePeer(name)
			listening, cancel := context.WithCancel(ctx)
			open[name] = cancel
			group.Go(func() { f.followPeer(listening, name) })
		}
		for name, cancel := range open {
			if !slices.Contains(names, name) {
				cancel()
				delete(open, name)
				f.removePeer(name)
			}
		}
		pause.Until(ctx, peerInterval, nil)
		if ctx.Err() != nil {
			for _, cancel := range open {
				cancel()
			}
			return
		}
	}
}

// ensurePeer returns the peer with the given name, adding it if it is new.
func (f *Feeds) ensurePeer(name string) *peer {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := f.peers[name]
	if p == nil {
		p = &peer{unsentBurn: map[objectiveKey]plane.BurnCount{}}
		f.peers[name] = p
	}
	return p
}

// removePeer drops a replica that is no longer a member.
func (f *Feeds) removePeer(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.peers, name)
}

// followPeer keeps an exchange with a peer open until ctx ends.
func (f *Feeds) followPeer(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if err := f.followPeerOnce(ctx, name); err != nil && ctx.Err() == nil {
			f.Host.Log.Write("exchange-ended", "peer", name, "err", err)
		}
		pause.Until(ctx, reopenDelay, nil)
	}
}

func (f *Feeds) followPeerOnce(ctx context.Context, name string) error {
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
		update := ExchangeUpdate{}
		if err := stream.SetDeadline(time.Now().Add(2 * peerTimeout)); err != nil {
			return err
		}
		if err := stream.Receive(&update); err != nil {
			return err
		}
		f.mergeUpdate(name, &update)
	}
}

// mergeUpdate merges an update from a peer. It notifies no other peers: each of them
// receives the change from the replica that learned of it first.
func (f *Feeds) mergeUpdate(name string, update *ExchangeUpdate) {
	if update.Roster != nil && len(f.Roster.Merge(update.Roster)) > 0 {
		f.notifyEntries()
	}
	if f.limits.Merge(update.Limits, time.Now()) {
		f.notifyEntries()
	}
	update.Roster, update.Limits = nil, nil
	f.burn.add(update.BurnCounts)
	p := f.ensurePeer(name)
	f.mutex.Lock()
	previous := p.lastUpdate.ReplicaID
	p.lastHeard, p.lastUpdate = time.Now(), *update
	f.mutex.Unlock()
	f.notifyWaiters()
	if previous != 0 && previous != update.ReplicaID && f.Roster.TakeOver(f.ReplicaID(), previous) {
		// The peer's name now belongs to a new replica with another ID.
		f.rosterChanged()
	}
}

// adoptAgents takes over the agents of unresponsive peers.
func (f *Feeds) adoptAgents(now time.Time) {
	var unresponsive []uint64
	f.mutex.Lock()
	for _, p := range f.peers {
		if p.lastUpdate.ReplicaID != 0 && now.Sub(p.lastHeard) > peerTimeout {
			unresponsive = append(unresponsive, p.lastUpdate.ReplicaID)
		}
	}
	f.mutex.Unlock()
	changed := false
	for _, replica := range unresponsive {
		changed = f.Roster.TakeOver(f.ReplicaID(), replica) || changed
	}
	if changed {
		f.rosterChanged()
	}
}

// Exchange serves an exchange stream that another replica opened.
func (f *Feeds) Exchange(ctx context.Context, stream *wire.Stream) error {
	f.prepare()
	defer stream.CloseOnDone(ctx)()
	request := ExchangeRequest{}
	if err := stream.Receive(&request); err != nil {
		return &Error{Op: "receive exchange request", Kind: KindStream, Err: err}
	}
	changed := make(chan struct{}, 1)
	p := f.ensurePeer(request.Name)
	f.mutex.Lock()
	p.changed = changed
	f.mutex.Unlock()
	vector := request.Vector
	for ctx.Err() == nil {
		message := f.nextUpdate(p, &vector)
		if err := stream.Send(message); err != nil {
			f.requeueBurn(p, message.BurnCounts)
			return err
		}
		pause.Until(ctx, minSendInterval, nil)
		pause.Until(ctx, peerInterval-minSendInterval, changed)
	}
	return nil
}

// nextUpdate builds the next update to a peer whose roster has the given vector, and
// advances the vector.
func (f *Feeds) nextUpdate(p *peer, vector *[]roster.VectorEntry) *ExchangeUpdate {
	message := &ExchangeUpdate{ReplicaID: f.ReplicaID(), ConfigNumber: f.Machine.Number()}
	if !covers(*vector, f.Roster.Vector()) {
		message.Roster = f.Roster.DeltaForFollower(*vector)
		message.Roster.Sender = message.ReplicaID
		*vector = joinVectors(*vector, message.Roster.Vector)
	}
	message.Limits = f.limits.Reports(time.Now())
	f.mutex.Lock()
	defer f.mutex.Unlock()
	message.Lagging = f.lagging(message.ConfigNumber)
	message.Entries = f.ownEntries()
	for key, count := range p.unsentBurn {
		message.BurnCounts = append(message.BurnCounts, count)
		delete(p.unsentBurn, key)
	}
	return message
}

// requeueBurn queues counts that could not be sent for the next exchange.
func (f *Feeds) requeueBurn(p *peer, counts []plane.BurnCount) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, count := range counts {
		p.addBurn(count)
	}
}

func (p *peer) addBurn(count plane.BurnCount) {
	key := objectiveKey{workspace: count.Workspace, route: count.Route}
	sum := p.unsentBurn[key]
	sum.Workspace, sum.Route = count.Workspace, count.Route
	sum.Good += count.Good
	sum.Bad += count.Bad
	p.unsentBurn[key] = sum
}
