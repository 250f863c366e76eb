package link

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"rosedrift.example/rosedrift/internal/structs"
)

// maxArrayElements limits the length of a decoded array, so that a corrupt length does not allocate too much memory.
const maxArrayElements = 1 << 20

// CBOR major types in the upper three bits of the initial byte (RFC 8949, section 3).
const (
	majorUnsigned byte = 0 << 5
	majorArray    byte = 4 << 5
)

// envelopeOverhead is the largest encoded size of an envelope without its body: the array head and the message type.
const envelopeOverhead = 3

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	// A text that is not valid UTF-8 must not invalidate the rest of its message. Receivers check the texts that they use.
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic("link: invalid CBOR options: " + err.Error())
	}
	return mode
}

// Decode decodes the body of an envelope into the message that into points to. It returns an *Error of KindProtocol if
// the body is malformed.
func Decode(e structs.Envelope, into any) error {
	if err := decMode.Unmarshal(e.Body, into); err != nil {
		return &Error{Kind: KindProtocol, Err: err}
	}
	return nil
}

// DecodeBatch decodes envelopes into the messages that newMessage returns for their types. It skips envelopes of the
// types for which newMessage returns nil, and those that cannot be decoded, which it reports to failed.
func DecodeBatch(
	envelopes []structs.Envelope, newMessage func(structs.MessageType) any, failed func(structs.MessageType, error),
) []any {
	messages := make([]any, 0, len(envelopes))
	for _, e := range envelopes {
		message := newMessage(e.Type)
		if message == nil {
			continue
		}
		if err := Decode(e, message); err != nil {
			failed(e.Type, err)
			continue
		}
		messages = append(messages, message)
	}
	return messages
}

// appendHead appends a CBOR head with the shortest encoding of the argument n.
func appendHead(buf []byte, major byte, n uint64) []byte {
	const oneByte, twoBytes, fourBytes, eightBytes = 24, 25, 26, 27
	switch {
	case n < oneByte:
		return append(buf, major|byte(n))
	case n <= 0xff:
		return append(buf, major|oneByte, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(buf, major|twoBytes), uint16(n))
	case n <= 0xffff_ffff:
		return binary.BigEndian.AppendUint32(append(buf, major|fourBytes), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(buf, major|eightBytes), n)
}

// appendBatch appends the encoding of a slice of envelopes. It copies the bodies, which are already encoded;
// cbor.Marshal would validate them again.
func appendBatch(buf []byte, batch []structs.Envelope) []byte {
	buf = appendHead(buf, majorArray, uint64(len(batch)))
	for i := range batch {
		buf = appendHead(buf, majorArray, 2)
		buf = appendHead(buf, majorUnsigned, uint64(batch[i].Type))
		buf = append(buf, batch[i].Body...)
	}
	return buf
}
