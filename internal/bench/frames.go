package bench

import (
	"bytes"
	"encoding/binary"
	"sync/atomic"
)

// frameCounter counts the WebSocket messages in one direction of a TCP connection (RFC 6455, section 5.2). It is
// used by one goroutine; the totals may be read by others.
type frameCounter struct {
	messages, bytes *atomic.Int64
	upgraded        bool
	// header collects the bytes of the HTTP upgrade or of the next frame header until it is complete.
	header []byte
	// payloadLeft is the number of payload bytes of the current frame that are still to come.
	payloadLeft uint64
}

// opBinary is the opcode of the first frame of a binary message. Continuation and control frames have other opcodes and
// are not counted as messages.
const opBinary = 2

var endOfHandshake = []byte("\r\n\r\n")

// feed processes the next bytes of the connection.
func (f *frameCounter) feed(data []byte) {
	f.bytes.Add(int64(len(data)))
	for len(data) > 0 {
		if f.payloadLeft > 0 {
			n := min(f.payloadLeft, uint64(len(data)))
			f.payloadLeft -= n
			data = data[n:]
			continue
		}
		f.header = append(f.header, data[0])
		data = data[1:]
		f.parseHeader()
	}
}

func (f *frameCounter) parseHeader() {
	if !f.upgraded {
		if bytes.HasSuffix(f.header, endOfHandshake) {
			f.upgraded, f.header = true, f.header[:0]
		}
		return
	}
	payload, complete := frameLength(f.header)
	if !complete {
		return
	}
	if f.header[0]&0x0f == opBinary {
		f.messages.Add(1)
	}
	f.payloadLeft, f.header = payload, f.header[:0]
}

// frameLength returns the payload length of a frame once its header is complete.
func frameLength(header []byte) (payload uint64, complete bool) {
	if len(header) < 2 {
		return 0, false
	}
	size := 2
	length := uint64(header[1] & 0x7f)
	switch length {
	case 126:
		size += 2
	case 127:
		size += 8
	}
	lengthEnd := size
	if header[1]&0x80 != 0 {
		size += 4
	}
	if len(header) < size {
		return 0, false
	}
	switch length {
	case 126:
		length = uint64(binary.BigEndian.Uint16(header[2:lengthEnd]))
	case 127:
		length = binary.BigEndian.Uint64(header[2:lengthEnd])
	}
	return length, true
}
