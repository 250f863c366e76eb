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
	// head collects the bytes of the HTTP handshake or of the next frame header.
	head []byte
	// skip is the number of payload bytes left of the present frame.
	skip uint64
}

// opBinary is the opcode of the first frame of a binary message.
const opBinary = 2

var endOfHandshake = []byte("\r\n\r\n")

// feed takes the next bytes of the connection.
func (f *frameCounter) feed(data []byte) {
	f.bytes.Add(int64(len(data)))
	for len(data) > 0 {
		if f.skip > 0 {
			n := min(f.skip, uint64(len(data)))
			f.skip -= n
			data = data[n:]
			continue
		}
		f.head = append(f.head, data[0])
		data = data[1:]
		f.parseHead()
	}
}

func (f *frameCounter) parseHead() {
	if !f.upgraded {
		if bytes.HasSuffix(f.head, endOfHandshake) {
			f.upgraded, f.head = true, f.head[:0]
		}
		return
	}
	payload, complete := frameLength(f.head)
	if !complete {
		return
	}
	if f.head[0]&0x0f == opBinary {
		f.messages.Add(1)
	}
	f.skip, f.head = payload, f.head[:0]
}

// frameLength returns the payload length of a frame once its header is complete.
func frameLength(head []byte) (payload uint64, complete bool) {
	if len(head) < 2 {
		return 0, false
	}
	size := 2
	length := uint64(head[1] & 0x7f)
	switch length {
	case 126:
		size += 2
	case 127:
		size += 8
	}
	lengthEnd := size
	if head[1]&0x80 != 0 {
		size += 4
	}
	if len(head) < size {
		return 0, false
	}
	switch length {
	case 126:
		length = uint64(binary.BigEndian.Uint16(head[2:lengthEnd]))
	case 127:
		length = binary.BigEndian.Uint64(head[2:lengthEnd])
	}
	return length, true
}
