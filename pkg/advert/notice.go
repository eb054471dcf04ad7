package advert

import "time"

// Notice is what an endpoint says of itself in an answer to a request.
type Notice struct {
	// Leaving means that the endpoint will stop and wants no new requests.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this VM; 0 if it wants
	// them.
	Pause time.Duration
	// Status is the answer's status, and Malformed the name of a header field of a
	// wrong form, which is not taken into account; empty if there is none.
	Status    int
	Malformed string
}
