package conf

// Delta leads from configuration number From to To. From is 0 in a delta that
// carries a whole configuration; then Put replaces everything.
type Delta struct {
	From uint64 `protobuf:"varint,1,opt" json:"from"`
	To   uint64 `protobuf:"varint,2,opt" json:"to"`
	// Put holds the records that are new or changed; its Number equals To.
	Put *Config `protobuf:"bytes,3,opt" json:"put"`
	// The names of records that are gone.
	DropWorkspaces []string `protobuf:"bytes,4,rep" json:"drop_workspaces"`
	DropKeys       []string `protobuf:"bytes,5,rep" json:"drop_keys"`
	DropAdapters   []string `protobuf:"bytes,6,rep" json:"drop_adapters"`
	DropRoutes     []string `protobuf:"bytes,7,rep" json:"drop_routes"`
}
