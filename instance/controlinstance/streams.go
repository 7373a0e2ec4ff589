package controlinstance

import (
	"slices"
	"time"

	"github.com/tarragonhoist/tarragonhoist/coordination/roster"
	"github.com/tarragonhoist/tarragonhoist/coordination/streamorigin"
	"github.com/tarragonhoist/tarragonhoist/protocol/fleetapi"
)

// putStreams records where streams of a gateway began.
func (instance *Instance) putStreams(now time.Time, report *fleetapi.StreamReport) error {
	records, err := fleetapi.UnpackStreams(now, report.Groups)
	if err != nil {
		return err
	}
	instance.addStreams(records)
	return nil
}

func (instance *Instance) addStreams(records []streamorigin.Record) {
	instance.view.MergeStreams(records)
	for _, r := range records {
		instance.streams.Add(r)
	}
}

// streamOrigin answers where a stream began, and which software versions of its service served lately.
func (instance *Instance) streamOrigin(now time.Time, query fleetapi.StreamQuery) fleetapi.StreamAnswer {
	instance.observeVersions(now) // targets may have appeared since the last time
	var answer fleetapi.StreamAnswer
	if origin, ok := instance.view.OriginOf(now, query.Stream); ok {
		answer.Known, answer.Service, answer.SoftwareVersion = true, origin.Service, origin.SoftwareVersion
		return answer
	}
	answer.Versions, answer.Complete = instance.versions.Of(now, query.Service)
	return answer
}

// observeVersions records the software versions of the known targets, including those that have left.
func (instance *Instance) observeVersions(now time.Time) {
	if table := instance.view.Table(); table != nil {
		instance.versions.ExtendLife(now, table.MaxStreamLife())
	}
	targets := instance.view.Targets()
	var admitted []streamorigin.Origin // few, since targets share their versions
	for i := range targets {
		o := streamorigin.Origin{Service: targets[i].Service, SoftwareVersion: targets[i].SoftwareVersion}
		instance.versions.Observe(now, o)
		if targets[i].State == roster.Ready && !slices.Contains(admitted, o) {
			admitted = append(admitted, o) // here or by the instance that told of it
		}
	}
	instance.known.restore(admitted)
}
