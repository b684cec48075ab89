package railforwarder

import (
	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// receive processes frames until the final one. A frame of another request or out of order interrupts the response.
func (f *Forwarder) receive(a *attempt, recv func() (*railproto.Frame, error), deliver func(string, *railproto.Frame) error) error {
	for {
		frame, err := recv()
		if err != nil {
			return errors.Mark(errors.Wrap(err, "receive the answer"), errInterrupted)
		}
		if frame.GetRequestId() != a.requestID {
			return errors.Mark(errors.Newf("a frame of request %q came for %q", frame.GetRequestId(), a.requestID), errInterrupted)
		}
		f.recordDecisionOnce(a)
		if done, err := f.handleFrame(a, frame, deliver); done || err != nil {
			return err
		}
	}
}

// handleFrame checks and delivers one frame. It reports whether the response is over.
func (f *Forwarder) handleFrame(a *attempt, frame *railproto.Frame, deliver func(string, *railproto.Frame) error) (bool, error) {
	if reason := rejection(frame); reason != nil {
		a.finalFrame = frame
		return true, reason
	}
	if err := a.checkOrder(frame); err != nil {
		return true, err
	}
	a.nextSequence++
	if frame.GetKind() == railproto.FrameKind_FRAME_KIND_ACCEPTED {
		f.UpdateLoad(a.candidate.Member.Name, a.candidate.Incarnation, frame.GetLoad())
		return false, nil
	}
	if err := a.checkPart(frame); err != nil {
		return true, err
	}
	end := frame.GetKind() == railproto.FrameKind_FRAME_KIND_END
	if !end {
		a.deliveredFrames++
	}
	a.recordSuccess(frame)
	if err := deliver(a.candidate.Member.Name, frame); err != nil {
		return true, errors.Mark(err, ErrCallerDisconnected)
	}
	if end {
		a.finalFrame = frame
	}
	return end, nil
}

// rejection returns the reason with which a frame refuses or aborts the request, or nil.
func rejection(frame *railproto.Frame) error {
	switch frame.GetKind() {
	case railproto.FrameKind_FRAME_KIND_REFUSED:
		return errors.Wrapf(errRejected, "%s %s", frame.GetReason(), frame.GetDetail())
	case railproto.FrameKind_FRAME_KIND_ABORTED:
		return errors.Wrapf(errAborted, "%s %s", frame.GetReason(), frame.GetDetail())
	}
	return nil
}

// checkOrder returns an error that interrupts the response if a frame is of an unknown kind or out of order.
func (a *attempt) checkOrder(frame *railproto.Frame) error {
	switch frame.GetKind() {
	case railproto.FrameKind_FRAME_KIND_ACCEPTED, railproto.FrameKind_FRAME_KIND_DATA, railproto.FrameKind_FRAME_KIND_END:
	default:
		return errors.Mark(errors.Newf("a frame of the unknown kind %d came", frame.GetKind()), errInterrupted)
	}
	if frame.GetSequence() != a.nextSequence {
		return errors.Mark(errors.Newf("frame %d came in place of %d", frame.GetSequence(), a.nextSequence), errInterrupted)
	}
	return nil
}

// checkPart returns an error that aborts the response if a part of it is from other weights than the first one, or if it ends with parts missing.
func (a *attempt) checkPart(frame *railproto.Frame) error {
	if a.weightsDigest == "" {
		a.weightsDigest = frame.GetWeightsDigest()
	}
	if frame.GetWeightsDigest() != a.weightsDigest {
		return errors.Wrap(errAborted, "the weights changed during the answer")
	}
	if frame.GetKind() == railproto.FrameKind_FRAME_KIND_END && frame.GetCount() != uint64(a.deliveredFrames) {
		return errors.Wrapf(errAborted, "%d of %d parts of the answer came", a.deliveredFrames, frame.GetCount())
	}
	return nil
}
