package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// SubmitRequest proposes a whole configuration under the number it carries.
type SubmitRequest struct {
	Config *conf.Config `protobuf:"bytes,1,opt"`
	// Author tells a conflicting operator who won.
	Author string `protobuf:"bytes,2,opt"`
	// Wait is how long to wait for the configuration to be in force at every
	// lease holder. Zero does not wait.
	Wait span.Duration `protobuf:"varint,3,opt"`
}

// SubmitReply answers a Submit.
type SubmitReply struct {
	// Refused is KindNone after success, KindConflict when the number has
	// other content, KindInvalid when the configuration has faults.
	Refused Kind   `protobuf:"bytes,1,opt" json:"refused"`
	Detail  string `protobuf:"bytes,2,opt" json:"detail"`
	// ConfigNumber is the newest committed configuration.
	ConfigNumber uint64 `protobuf:"varint,3,opt" json:"number"`
	// Winner is who submitted the configuration that holds the number.
	Winner string `protobuf:"bytes,4,opt" json:"winner"`
	// InForce says that every lease holder has acknowledged the configuration
	// or lost its lease.
	InForce bool `protobuf:"varint,5,opt" json:"in_force"`
	// Lagging names the daemons that had not when Wait was over.
	Lagging []string `protobuf:"bytes,6,rep" json:"lagging"`
}

// FetchRequest asks for the committed configuration.
type FetchRequest struct{}

// FetchReply answers a FetchAsk.
type FetchReply struct {
	Refused Kind         `protobuf:"bytes,1,opt"`
	Config  *conf.Config `protobuf:"bytes,2,opt"`
	Author  string       `protobuf:"bytes,3,opt"`
}

// StatusRequest asks one replica for its view.
type StatusRequest struct{}

// Status is one replica's view.
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
}

// Member is one control replica.
type Member struct {
	Replica uint64 `protobuf:"varint,1,opt" json:"replica"`
	Name    string `protobuf:"bytes,2,opt" json:"name"`
	Address string `protobuf:"bytes,3,opt" json:"address"`
	Voter   bool   `protobuf:"varint,4,opt" json:"voter"`
	// LagEntries is the number of committed entries that the leader does not know
	// the replica to have synced.
	LagEntries uint64 `protobuf:"varint,5,opt" json:"lag"`
	// SilentFor is how long the leader has not heard from it.
	SilentFor span.Duration `protobuf:"varint,6,opt" json:"silent"`
}

// BurnWindow is the count of good and bad requests of one goal in one window.
type BurnWindow struct {
	Workspace string        `protobuf:"bytes,1,opt" json:"workspace"`
	Route     string        `protobuf:"bytes,2,opt" json:"route"`
	Length    span.Duration `protobuf:"varint,3,opt" json:"length"`
	Good      int64         `protobuf:"varint,4,opt" json:"good"`
	Bad       int64         `protobuf:"varint,5,opt" json:"bad"`
	// Share is the goal's.
	Share float64 `protobuf:"fixed64,6,opt" json:"share"`
}

// Order is what an operator wants done to control itself.
type Order string

// The orders of an operator.
const (
	// OrderReplace removes the dead replica Name and admits the learner that
	// took its place.
	OrderReplace Order = "replace"
	// OrderLift ends the quarantine of Digest.
	OrderLift Order = "lift"
	// OrderMove hands the leadership to another replica.
	OrderMove Order = "move"
)

// AdminRequest is an operator's order to control.
type AdminRequest struct {
	Order  Order  `protobuf:"bytes,1,opt"`
	Name   string `protobuf:"bytes,2,opt"`
	Digest []byte `protobuf:"bytes,3,opt"`
}

// AdminReply answers an AdminAsk.
type AdminReply struct {
	Refused Kind   `protobuf:"bytes,1,opt"`
	Detail  string `protobuf:"bytes,2,opt"`
}
