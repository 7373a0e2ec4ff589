package callledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Size limits of command fields.
const (
	// MaxAnswerBytes is the largest response body that is recorded.
	MaxAnswerBytes = 64 << 10
	// MaxHeaderBytes is the largest content type header that is recorded.
	MaxHeaderBytes = 4 << 10
	maxNameBytes   = 256
	digestBytes    = sha256.Size
)

// CallKey identifies one call. Idempotency keys are scoped to a caller and a service.
type CallKey struct {
	_       struct{} `cbor:",toarray"`
	Caller  string
	Service string
	Key     string
}

// Attempt identifies one dispatch attempt by one incarnation of an instance. Only the attempt that holds a key may
// dispatch its call. Numbers start at 1 for each incarnation and are never reused.
type Attempt struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Number      uint64
}

// ID returns the attempt id that is sent to targets.
func (a Attempt) ID() string { return fmt.Sprintf("%s.%d.%d", a.Instance, a.Incarnation, a.Number) }

// Answer is the recorded response of a plain service.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// TooLarge says that the body exceeded MaxAnswerBytes and was not recorded.
	TooLarge bool `cbor:"4,keyasint,omitempty"`
}

// Reserve claims a key for an attempt.
type Reserve struct {
	Call    CallKey `cbor:"1,keyasint"`
	Digest  []byte  `cbor:"2,keyasint"`
	Attempt Attempt `cbor:"3,keyasint"`
}

// Release frees the key of an attempt that has sent nothing and will send nothing. A Reserve of the same attempt that is
// committed later is refused.
type Release struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// Complete records the answer of an attempt.
type Complete struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Answer  `cbor:"3,keyasint"`
}

// MarkUncertain records that an attempt sent its request and got no response.
type MarkUncertain struct {
	Call    CallKey `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// InstanceStarted declares that all lower incarnations of an instance have ended. For an instance that will not restart,
// an operator may propose it with the next incarnation.
type InstanceStarted struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Expire advances the ledger's clock, which evicts expired records.
type Expire struct{}

// Command is the payload of a log entry. Exactly one of the pointers is set.
type Command struct {
	// AtMs is the proposer's wall clock in Unix milliseconds. It never decreases within one incarnation.
	AtMs            int64            `cbor:"1,keyasint"`
	Reserve         *Reserve         `cbor:"2,keyasint,omitempty"`
	Release         *Release         `cbor:"3,keyasint,omitempty"`
	Complete        *Complete        `cbor:"4,keyasint,omitempty"`
	MarkUncertain   *MarkUncertain   `cbor:"5,keyasint,omitempty"`
	InstanceStarted *InstanceStarted `cbor:"6,keyasint,omitempty"`
	Expire          *Expire          `cbor:"7,keyasint,omitempty"`
}

// Encode validates and encodes a command.
func (c *Command) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode a call ledger command")
}

// DecodeCommand decodes and validates a command.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "call ledger command")
	}
	return &c, c.Check()
}

// Check validates the parts of a command that do not depend on the ledger's state.
func (c *Command) Check() error {
	present := 0
	var err error
	check := func(isSet bool, validate func() error) {
		if isSet {
			present++
			err = validate()
		}
	}
	check(c.Reserve != nil, func() error {
		if len(c.Reserve.Digest) != digestBytes {
			return errors.Errorf("body digest has %d bytes, want %d", len(c.Reserve.Digest), digestBytes)
		}
		return checkCall(&c.Reserve.Call, &c.Reserve.Attempt)
	})
	check(c.Release != nil, func() error { return checkCall(&c.Release.Call, &c.Release.Attempt) })
	check(c.Complete != nil, func() error {
		if err := c.Complete.Answer.check(); err != nil {
			return err
		}
		return checkCall(&c.Complete.Call, &c.Complete.Attempt)
	})
	check(c.MarkUncertain != nil, func() error { return checkCall(&c.MarkUncertain.Call, &c.MarkUncertain.Attempt) })
	check(c.InstanceStarted != nil, func() error {
		return checkInstance(c.InstanceStarted.Instance, c.InstanceStarted.Incarnation)
	})
	check(c.Expire != nil, func() error { return nil })
	switch {
	case present != 1:
		return errors.Errorf("call ledger command holds %d commands, want 1", present)
	case c.AtMs <= 0 || c.AtMs > math.MaxInt64/2:
		return errors.Errorf("time %d ms of a call ledger command is out of range", c.AtMs)
	}
	return err
}

func (a *Answer) check() error {
	switch {
	case len(a.Body) > MaxAnswerBytes:
		return errors.Errorf("answer has %d bytes, at most %d can be recorded", len(a.Body), MaxAnswerBytes)
	case len(a.ContentType) > MaxHeaderBytes:
		return errors.Errorf("content type has %d bytes, at most %d can be recorded", len(a.ContentType), MaxHeaderBytes)
	}
	return nil
}

func checkCall(call *CallKey, attempt *Attempt) error {
	if err := CheckKey(call); err != nil {
		return err
	}
	if attempt.Number == 0 {
		return errors.New("attempt numbers start at 1")
	}
	return checkInstance(attempt.Instance, attempt.Incarnation)
}

// CheckKey validates the lengths of the parts of a call key.
func CheckKey(call *CallKey) error {
	for name, value := range map[string]string{"caller": call.Caller, "service": call.Service, "idempotency key": call.Key} {
		if value == "" || len(value) > maxNameBytes {
			return errors.Errorf("%s must have 1 to %d bytes", name, maxNameBytes)
		}
	}
	return nil
}

func checkInstance(instance string, incarnation uint64) error {
	if instance == "" || len(instance) > maxNameBytes || incarnation == 0 {
		return errors.Errorf("instance must have 1 to %d bytes and an incarnation above 0", maxNameBytes)
	}
	return nil
}

// Digest returns the SHA-256 digest of a request. It covers method and path besides the body, because a retry with the
// same key must be the same request.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return h.Sum(nil)
}
