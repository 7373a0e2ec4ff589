package fleetapi

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
)

// StreamReport tells a control instance where the streams of a gateway began.
type StreamReport struct {
	Groups []StreamGroup `json:"g"`
}

// StreamGroup is the streams that began at one software version of a service.
type StreamGroup struct {
	Service         string `json:"s"`
	SoftwareVersion string `json:"v,omitempty"`
	// Packed holds for each stream its id, 8 bytes, and for how many more seconds its caller may take it up, as a varint.
	Packed []byte `json:"p"`
}

// StreamQuery asks a control instance where a stream began.
type StreamQuery struct {
	Stream streamorigin.ID `json:"i"`
	// Service is the one to which the route of the stream leads now.
	Service string `json:"s"`
}

// StreamAnswer is the response to a StreamQuery, see streamorigin.Answer.
type StreamAnswer struct {
	Known           bool     `json:"k,omitempty"`
	Service         string   `json:"s,omitempty"`
	SoftwareVersion string   `json:"v,omitempty"`
	Versions        []string `json:"o,omitempty"`
	Complete        bool     `json:"c,omitempty"`
}

// Answer converts the message.
func (a *StreamAnswer) Answer() streamorigin.Answer {
	return streamorigin.Answer{Known: a.Known, Origin: streamorigin.Origin{Service: a.Service, SoftwareVersion: a.SoftwareVersion},
		Versions: a.Versions, Complete: a.Complete}
}

const (
	// streamIDBytes is the length of the id of a stream in a group.
	streamIDBytes = 8
	// maxStreamSeconds bounds for how long a stream may be taken up: one day.
	maxStreamSeconds = 24 * 60 * 60
)

// PackStreams groups records by their origins. Records that have expired are left out.
func PackStreams(now time.Time, records []streamorigin.Record) []StreamGroup {
	var groups []StreamGroup
	index := make(map[streamorigin.Origin]int)
	for _, r := range records {
		left := r.ExpiresAt.Sub(now)
		if left <= 0 {
			continue
		}
		i, ok := index[r.Origin]
		if !ok {
			i = len(groups)
			index[r.Origin] = i
			groups = append(groups, StreamGroup{Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion})
		}
		g := &groups[i]
		g.Packed = binary.LittleEndian.AppendUint64(g.Packed, uint64(r.Stream))
		g.Packed = binary.AppendUvarint(g.Packed, uint64(min(math.Ceil(left.Seconds()), maxStreamSeconds)))
	}
	return groups
}

var errMalformedStreams = errors.New("malformed packed streams")

// UnpackStreams is the reverse of PackStreams.
func UnpackStreams(now time.Time, groups []StreamGroup) ([]streamorigin.Record, error) {
	var records []streamorigin.Record
	for _, g := range groups {
		origin := streamorigin.Origin{Service: g.Service, SoftwareVersion: g.SoftwareVersion}
		for packed := g.Packed; len(packed) > 0; {
			if len(packed) < streamIDBytes {
				return nil, errMalformedStreams
			}
			id := streamorigin.ID(binary.LittleEndian.Uint64(packed))
			seconds, n := binary.Uvarint(packed[streamIDBytes:])
			if n <= 0 || seconds > maxStreamSeconds {
				return nil, errMalformedStreams
			}
			packed = packed[streamIDBytes+n:]
			records = append(records, streamorigin.Record{Stream: id, Origin: origin, ExpiresAt: now.Add(time.Duration(seconds) * time.Second)})
		}
	}
	return records, nil
}
