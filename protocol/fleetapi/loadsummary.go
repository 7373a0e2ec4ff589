package fleetapi

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// minReportInterval is the shortest time between the load reports of a gateway.
	minReportInterval = 100 * time.Millisecond
	// reportSpacing is the time between the reports of any two gateways at the leader, which answers each with the load of
	// all targets. It bounds the work of the leader and the bytes of its answers when there are hundreds of gateways.
	reportSpacing = 1500 * time.Microsecond
)

// ReportInterval is the time between the load reports of a gateway in a deployment of a number of gateways.
func ReportInterval(gateways int) time.Duration {
	return max(minReportInterval, time.Duration(gateways)*reportSpacing)
}

// minStreamReportInterval is the shortest time between two reports of a gateway on where its streams began. A caller may take
// a stream up soon after its first event.
const minStreamReportInterval = 25 * time.Millisecond

// StreamReportInterval is the least time between two such reports in a deployment of a number of gateways.
func StreamReportInterval(gateways int) time.Duration {
	return max(minStreamReportInterval, time.Duration(gateways)*reportSpacing)
}

// PackTargetLoads encodes the loads of targets: for each the hash of its id, 8 bytes, and its numbers as varints, about 14
// bytes in all.
func PackTargetLoads(loads []TargetLoad) []byte {
	packed := make([]byte, 0, len(loads)*16)
	for i := range loads {
		l := &loads[i]
		packed = binary.LittleEndian.AppendUint64(packed, xxhash.Sum64String(l.ID))
		for _, n := range l.numbers() {
			packed = binary.AppendUvarint(packed, uint64(max(*n, 0)))
		}
	}
	return packed
}

func (l *TargetLoad) numbers() [5]*int {
	return [5]*int{&l.Running, &l.Unstarted, &l.PromptTokens, &l.SlownessPercent, &l.FailurePenaltyMs}
}

const hashBytes = 8

// maxPackedNumber bounds the numbers of a packed load: more is a malformed summary.
const maxPackedNumber = 1 << 40

var errMalformedLoads = errors.New("malformed packed target loads")

// UnpackTargetLoads decodes the loads of the targets with the given ids. Loads of other targets are skipped.
func UnpackTargetLoads(packed []byte, ids []string) ([]TargetLoad, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	byHash := make(map[uint64]string, len(ids))
	for _, id := range ids {
		byHash[xxhash.Sum64String(id)] = id
	}
	var loads []TargetLoad
	for len(packed) > 0 {
		if len(packed) < hashBytes {
			return nil, errMalformedLoads
		}
		id, known := byHash[binary.LittleEndian.Uint64(packed)]
		packed = packed[hashBytes:]
		l := TargetLoad{ID: id}
		for _, number := range l.numbers() {
			n, size := binary.Uvarint(packed)
			if size <= 0 || n > maxPackedNumber {
				return nil, errMalformedLoads
			}
			*number, packed = int(n), packed[size:]
		}
		if known {
			loads = append(loads, l)
		}
	}
	return loads, nil
}
