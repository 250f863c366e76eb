package link

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// messages gives a new message of each type that is sent in envelopes.
var messages = map[structs.MessageType]func() any{
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

// corpus adds an encoded batch with one empty message of each type, one with filled messages, and malformed ones.
func corpus(f *testing.F) {
	envelope := func(typ structs.MessageType, message any) structs.Envelope {
		body, err := cbor.Marshal(message)
		require.NoError(f, err)
		return structs.Envelope{Type: typ, Body: body}
	}
	var empty []structs.Envelope
	for typ := structs.TypeAgentHello; typ <= structs.TypeHandoverReply; typ++ {
		require.Contains(f, messages, typ)
		e := envelope(typ, messages[typ]())
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

// FuzzBatch guards against input of a peer that crashes the process, and against messages that change on their way:
// what has been decoded must be the same after another encoding and decoding.
func FuzzBatch(f *testing.F) {
	corpus(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var batch []structs.Envelope
		if decoding.Unmarshal(raw, &batch) != nil {
			return
		}
		// A CBOR null in place of an envelope gives the type 0, which all receivers ignore, and has no body to encode.
		batch = slices.DeleteFunc(batch, func(e structs.Envelope) bool { return e.Type == 0 && e.Body == nil })
		var again []structs.Envelope
		require.NoError(t, decoding.Unmarshal(appendBatch(nil, batch), &again))
		require.Len(t, again, len(batch))
		for i, e := range batch {
			require.Equal(t, e.Type, again[i].Type)
			require.Equal(t, []byte(e.Body), []byte(again[i].Body))
			if create := messages[e.Type]; create != nil {
				requireStable(t, e, create)
			}
		}
	})
}

func requireStable(t *testing.T, e structs.Envelope, create func() any) {
	message := create()
	if err := Decode(e, message); err != nil {
		require.Equal(t, KindProtocol, kindOf(t, err))
		return
	}
	body, err := cbor.Marshal(message)
	require.NoError(t, err)
	again := create()
	require.NoError(t, Decode(structs.Envelope{Type: e.Type, Body: body}, again))
	require.Equal(t, message, again)
}
