// Package peerapi holds the methods, messages and error codes of the protocol between instances.
package peerapi

// Version is the protocol version of this package.
const Version = 1

// MaxFrameBytes is the maximum size of one frame without its length prefix.
const MaxFrameBytes = 1 << 20

// Methods between instances.
const (
	MethodRaftMessage     = "raft.message"
	MethodRaftPropose     = "raft.propose"
	MethodRaftFetch       = "raft.fetch"
	MethodControlVote     = "control.vote"
	MethodControlRecord   = "control.record"
	MethodGossip          = "gossip.push"
	MethodStrike          = "quarantine.strike"
	MethodLoadLimitBorrow = "loadlimit.borrow"
	MethodLoadLimitReturn = "loadlimit.return"
	MethodTimeline        = "timeline.read"
	MethodStatus          = "status.read"
	MethodEngines         = "placement.engines"
	MethodUsage           = "admission.usage"
	MethodFleetWatch      = "fleet.watch"
	MethodFleetLoad       = "fleet.load"
	MethodFleetAdapter    = "fleet.adapter"
	MethodFleetCrashes    = "fleet.crashes"
	MethodFleetStreams    = "fleet.streams"
	MethodFleetOrigin     = "fleet.origin"
	MethodFleetPermit     = "fleet.permit"
	MethodFleetQuota      = "fleet.quota"
	MethodFleetVersion    = "fleet.version"
	MethodFleetDeparture  = "fleet.departure"
	MethodFleetDraining   = "fleet.draining"
	MethodFleetStatus     = "fleet.status"
)

// Methods of the transport.
const (
	// MethodHello is the first request on every connection.
	MethodHello = "hello"
	// MethodPing checks that the peer still responds.
	MethodPing = "ping"
	// MethodClosing carries the reason why the sender closes the connection.
	MethodClosing = "closing"
)

// Class decides whether the rate limit on sent bytes may delay a message.
type Class int

// Classes. Urgent messages count towards the rate limit but never wait for it.
const (
	Urgent Class = iota
	Bulk
)

// ClassOf returns the class of a method and of its response. Unknown methods are bulk.
func ClassOf(method string) Class {
	switch method {
	case MethodRaftMessage, MethodRaftPropose, MethodControlVote, MethodControlRecord, MethodStrike,
		MethodLoadLimitBorrow, MethodLoadLimitReturn, MethodFleetWatch, MethodFleetLoad, MethodFleetAdapter, MethodFleetCrashes, MethodFleetPermit, MethodFleetQuota, MethodFleetVersion, MethodFleetDeparture, MethodFleetDraining,
		MethodHello, MethodPing, MethodClosing:
		return Urgent
	default:
		return Bulk
	}
}

// Envelope is the "meta" field of every request and notification. It must match the Hello of the connection.
type Envelope struct {
	Cluster     string `json:"c"`
	Sender      string `json:"s"`
	Incarnation uint64 `json:"i"`
	Version     int    `json:"v"`
}

// Hello is the handshake request that opens a connection.
type Hello struct {
	Cluster     string `json:"cluster"`
	Sender      string `json:"sender"`
	Incarnation uint64 `json:"incarnation"`
	Receiver    string `json:"receiver"`
	Version     int    `json:"version"`
}

// HelloResponse is the handshake response; it names the instance that accepted the connection.
type HelloResponse struct {
	Receiver    string `json:"receiver"`
	Incarnation uint64 `json:"incarnation"`
}

// Closing holds the parameters of MethodClosing.
type Closing struct {
	Reason string `json:"reason"`
}

// Error codes of responses, outside the range that JSON-RPC reserves.
const (
	// CodeRefused means that the handshake or the envelope does not match.
	CodeRefused = -31001
	// CodeBusy means that too many calls of this sender are running; the call did not run.
	CodeBusy = -31002
	// CodeFailed means that the handler returned an error.
	CodeFailed = -31003
	// CodeTooLarge means that the response does not fit into a frame; the call did run.
	CodeTooLarge = -31004
)
