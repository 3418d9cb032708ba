// Package linkenc encodes the messages between guavastack's processes with their generated marshallers, which avoid
// reflection. The generated drpc code calls it.
package linkenc

import (
	"fmt"

	"storj.io/drpc"
)

// message is implemented by the generated code of each message type.
type message interface {
	SizeVT() int
	MarshalToSizedBufferVT(buf []byte) (int, error)
	UnmarshalVT(data []byte) error
}

// Marshal returns the encoded form of msg. It fails for a message without a generated marshaller.
func Marshal(msg drpc.Message) ([]byte, error) {
	return MarshalAppend(nil, msg)
}

// MarshalAppend appends the encoded form of msg to buf.
func MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	m, ok := msg.(message)
	if !ok {
		return nil, fmt.Errorf("message type %T has no generated marshaller", msg)
	}
	start := len(buf)
	end := start + m.SizeVT()
	if cap(buf) < end {
		grown := make([]byte, start, end)
		copy(grown, buf)
		buf = grown
	}
	buf = buf[:end]
	if _, err := m.MarshalToSizedBufferVT(buf[start:]); err != nil {
		return nil, err
	}
	return buf, nil
}

// Unmarshal decodes data into msg. It does not retain data, and fails for a message without a generated unmarshaller.
func Unmarshal(data []byte, msg drpc.Message) error {
	m, ok := msg.(message)
	if !ok {
		return fmt.Errorf("message type %T has no generated unmarshaller", msg)
	}
	return m.UnmarshalVT(data)
}
