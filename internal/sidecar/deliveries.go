package sidecar

import (
	"fmt"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/sidecar/meter"
	"github.com/pollencart/pollencart/internal/timeline"
)

// deliveryObserver records responses whose delivery to the caller was delayed or failed.
type deliveryObserver struct {
	recorder *timeline.Recorder
	meter    *meter.Meter
}

var _ ingress.Observer = deliveryObserver{}

func (d deliveryObserver) Held(v ingress.Delivery) {
	d.recorder.Record(event.AnswerHeld, timeline.Entry{Call: v.Call, Detail: describeDelivery(v)})
}

func (d deliveryObserver) Undelivered(v ingress.Delivery) {
	d.meter.Undelivered()
	d.recorder.Record(event.AnswerUndelivered, timeline.Entry{Call: v.Call, Detail: describeDelivery(v) + ": " + v.Err.Error()})
}

func describeDelivery(v ingress.Delivery) string {
	return fmt.Sprintf("status %d ms %d held %d connected %d",
		v.Status, v.Took.Milliseconds(), v.Held.Milliseconds(), v.Connected.Milliseconds())
}
