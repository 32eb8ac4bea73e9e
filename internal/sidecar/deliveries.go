package sidecar

import (
	"fmt"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/sidecar/meter"
	"github.com/pollencart/pollencart/internal/timeline"
)

// deliveries tells how answers reached their callers.
type deliveries struct {
	recorder *timeline.Recorder
	meter    *meter.Meter
}

var _ ingress.Observer = deliveries{}

func (d deliveries) Held(v ingress.Delivery) {
	d.recorder.Record(event.AnswerHeld, timeline.Entry{Call: v.Call, Detail: described(v)})
}

func (d deliveries) Undelivered(v ingress.Delivery) {
	d.meter.Undelivered()
	d.recorder.Record(event.AnswerUndelivered, timeline.Entry{Call: v.Call, Detail: described(v) + ": " + v.Err.Error()})
}

func described(v ingress.Delivery) string {
	return fmt.Sprintf("status %d ms %d held %d connected %d",
		v.Status, v.Took.Milliseconds(), v.Held.Milliseconds(), v.Connected.Milliseconds())
}
