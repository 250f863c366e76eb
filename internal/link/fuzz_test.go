package link

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// newMessages has a constructor of each type of message that is sent in an envelope.
var newMessages = map[structs.MessageType]func() any{
	structs.TypeAgentHello:       func() any { return &structs.AgentHello{} },
	structs.TypeAgentHeartbeat:   func() any { return &structs.AgentHeartbeat{} },
	structs.TypeTaskEvents:       func() any { return &structs.TaskEvents{} },
	structs.TypeFenceReply:       func() any { return &structs.FenceReply{} },
	structs.TypeResults:          func() any { return &structs.Results{} },
	structs.TypeGatewayHello:     func() any { return &structs.GatewayHello{} },
	structs.TypeGatewayHeartbeat: func() any { return &structs.GatewayHeartbeat{} },
	structs.TypeStart:            func() any { return &structs.Start{} },
	structs.TypeWithdraw:         func() any { return &structs.Withdraw{} },
	structs.TypeCancel:           func() any { return &structs.Cancel{} },
	structs.TypeFence:            func() any { return &structs.Fence{} },
	structs.TypeReconcileStarts:  func() any { return &structs.ReconcileStarts{} },
	structs.TypeFetchResults:     func() any { return &structs.FetchResults{} },
	structs.TypeConfigRequest:    func() any { return &structs.ConfigRequest{} },
	structs.TypeConfigDocument:   func() any { return &structs.ConfigDocument{} },
	structs.TypePeerHello:        func() any { return &structs.PeerHello{} },
	structs.TypePeerHeartbeat:    func() any { return &structs.PeerHeartbeat{} },
	structs.TypeForward:          func() any { return &structs.Forward{} },
	structs.TypeForwardReply:     func() any { return &structs.ForwardReply{} },
	structs.TypeHandover:         func() any { return &structs.Handover{} },
	structs.TypeHandoverReply:    func() any { return &structs.HandoverReply{} },
}

// addCorpus adds to the seed corpus encoded batches with an empty message of each type, a batch with non-empty
// messages, and malformed batches.
func addCorpus(f *testing.F) {
	envelope := func(typ structs.MessageType, message any) structs.Envelope {
		body, err := cbor.Marshal(message)
		require.NoError(f, err)
		return structs.Envelope{Type: typ, Body: body}
	}
	var empty []structs.Envelope
	for typ := structs.TypeAgentHello; typ <= structs.TypeHandoverReply; typ++ {
		require.Contains(f, newMessages, typ)
		e := envelope(typ, newMessages[typ]())
		empty = append(empty, e)
		f.Add(appendBatch(nil, []structs.Envelope{e}))
	}
	f.Add(appendBatch(nil, empty))
	job := structs.JobID{Pool: structs.PoolID{Service: "lending", Index: 2}, Key: structs.HashKey("bakers", "k")}
	task := structs.TaskRef{Job: job, Index: 669}
	start := &structs.Start{Epoch: 7, Tasks: []structs.TaskStart{{Task: task, Kind: "k", Timeout: time.Second, Payload: []byte("{}")}}}
	events := &structs.TaskEvents{Epoch: 7, Events: []structs.TaskEvent{{Task: task, Kind: structs.TaskFinished, Result: []byte("r")}}}
	reply := &structs.ForwardReply{ID: 1, Problem: &structs.Problem{Code: structs.CodeInDoubt, Outcome: structs.OutcomeMayHaveRun}}
	f.Add(appendBatch(nil, []structs.Envelope{
		envelope(structs.TypeStart, start), envelope(structs.TypeTaskEvents, events), envelope(structs.TypeForwardReply, reply),
	}))
	for _, raw := range []string{"", "\x80", "\xff\x00", "\x9a\xff\xff\xff\xff", "\x81\x82\x08\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\x81\x82\x08", "\x81\xf6"} {
		f.Add([]byte(raw))
	}
}

// FuzzBatch guards against input that crashes the receiver, and against messages that change in transit: a decoded
// message must be the same after it is encoded and decoded again.
func FuzzBatch(f *testing.F) {
	addCorpus(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var batch []structs.Envelope
		if decMode.Unmarshal(raw, &batch) != nil {
			return
		}
		// A CBOR null in place of an envelope is decoded as type 0, which all receivers ignore, without a body to
		// encode.
		batch = slices.DeleteFunc(batch, func(e structs.Envelope) bool { return e.Type == 0 && e.Body == nil })
		var again []structs.Envelope
		require.NoError(t, decMode.Unmarshal(appendBatch(nil, batch), &again))
		require.Len(t, again, len(batch))
		for i, e := range batch {
			require.Equal(t, e.Type, again[i].Type)
			require.Equal(t, []byte(e.Body), []byte(again[i].Body))
			if newMessage := newMessages[e.Type]; newMessage != nil {
				requireRoundTrip(t, e, newMessage)
			}
		}
	})
}

// requireRoundTrip requires that the message in an envelope is either malformed or unchanged by encoding and decoding.
func requireRoundTrip(t *testing.T, e structs.Envelope, newMessage func() any) {
	message := newMessage()
	if err := Decode(e, message); err != nil {
		require.Equal(t, KindProtocol, errorKind(t, err))
		return
	}
	body, err := cbor.Marshal(message)
	require.NoError(t, err)
	again := newMessage()
	require.NoError(t, Decode(structs.Envelope{Type: e.Type, Body: body}, again))
	require.Equal(t, message, again)
}
