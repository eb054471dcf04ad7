package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// SubmitRequest proposes a complete configuration under the number that it carries.
type SubmitRequest struct {
	Config *conf.Config `protobuf:"bytes,1,opt"`
	// Author is shown to an operator whose own configuration conflicts with this one.
	Author string `protobuf:"bytes,2,opt"`
	// Wait is how long to wait until every lease holder uses the configuration.
	// Zero does not wait.
	Wait span.Duration `protobuf:"varint,3,opt"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	// Refused is KindNone after success, KindConflict if the number belongs to a
	// configuration with other content, and KindInvalid if the configuration has
	// errors.
	Refused Kind   `protobuf:"bytes,1,opt" json:"refused"`
	Detail  string `protobuf:"bytes,2,opt" json:"detail"`
	// ConfigNumber is the number of the newest committed configuration.
	ConfigNumber uint64 `protobuf:"varint,3,opt" json:"number"`
	// Winner is the author of the configuration that has the number.
	Winner string `protobuf:"bytes,4,opt" json:"winner"`
	// InForce means that every lease holder has acknowledged the configuration or
	// lost its lease.
	InForce bool `protobuf:"varint,5,opt" json:"in_force"`
	// Lagging names the daemons that had not done so when Wait was over.
	Lagging []string `protobuf:"bytes,6,rep" json:"lagging"`
}

// FetchRequest requests the committed configuration.
type FetchRequest struct{}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Refused Kind         `protobuf:"bytes,1,opt"`
	Config  *conf.Config `protobuf:"bytes,2,opt"`
	Author  string       `protobuf:"bytes,3,opt"`
}

// StatusRequest requests the status of one replica.
type StatusRequest struct{}

// Status is the state of the system as one replica knows it.
type Status struct {
	Replica      uint64          `protobuf:"varint,1,opt" json:"replica"`
	Name         string          `protobuf:"bytes,2,opt" json:"name"`
	Leader       string          `protobuf:"bytes,3,opt" json:"leader"`
	Term         uint64          `protobuf:"varint,4,opt" json:"term"`
	Commit       uint64          `protobuf:"varint,5,opt" json:"commit"`
	ConfigNumber uint64          `protobuf:"varint,6,opt" json:"number"`
	Members      []Member        `protobuf:"bytes,7,rep" json:"members"`
	Endpoints    []roster.Record `protobuf:"bytes,8,rep" json:"endpoints"`
	Bans         []Ban           `protobuf:"bytes,9,rep" json:"bans"`
	Burn         []BurnWindow    `protobuf:"bytes,10,rep" json:"burn"`
	Entries      []string        `protobuf:"bytes,11,rep" json:"entries"`
	// WantedVoters is the number of voters that the tolerated failures need; 0 if the
	// replica does not state it.
	WantedVoters int32 `protobuf:"varint,12,opt" json:"voters_wanted,omitempty"`
}

// Member is one control replica.
type Member struct {
	Replica uint64 `protobuf:"varint,1,opt" json:"replica"`
	Name    string `protobuf:"bytes,2,opt" json:"name"`
	Address string `protobuf:"bytes,3,opt" json:"address"`
	Voter   bool   `protobuf:"varint,4,opt" json:"voter"`
	// LagEntries is the number of committed log entries that the replica has not
	// yet confirmed to the leader as synced.
	LagEntries uint64 `protobuf:"varint,5,opt" json:"lag"`
	// SilentFor is the time since the leader last heard from the replica.
	SilentFor span.Duration `protobuf:"varint,6,opt" json:"silent"`
}

// BurnWindow is the number of good and bad requests for one objective in one window.
type BurnWindow struct {
	Workspace string        `protobuf:"bytes,1,opt" json:"workspace"`
	Route     string        `protobuf:"bytes,2,opt" json:"route"`
	Length    span.Duration `protobuf:"varint,3,opt" json:"length"`
	Good      int64         `protobuf:"varint,4,opt" json:"good"`
	Bad       int64         `protobuf:"varint,5,opt" json:"bad"`
	// Share is the objective's target share of good requests.
	Share float64 `protobuf:"fixed64,6,opt" json:"share"`
}

// Order is an operator's command about control itself.
type Order string

// The orders of an operator.
const (
	// OrderReplace removes the dead replica Name and admits the learner that replaces it.
	OrderReplace Order = "replace"
	// OrderLift ends the quarantine of Digest.
	OrderLift Order = "lift"
	// OrderMove transfers the leadership to another replica.
	OrderMove Order = "move"
)

// AdminRequest carries an operator's command to control.
type AdminRequest struct {
	Order  Order  `protobuf:"bytes,1,opt"`
	Name   string `protobuf:"bytes,2,opt"`
	Digest []byte `protobuf:"bytes,3,opt"`
}

// AdminReply answers an AdminRequest.
type AdminReply struct {
	Refused Kind   `protobuf:"bytes,1,opt"`
	Detail  string `protobuf:"bytes,2,opt"`
}
