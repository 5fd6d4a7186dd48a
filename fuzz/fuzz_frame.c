/* Frames from the network: a frame that unpacks must be safe to process and to pack again. */
#include "gate.h"
#include "peers.h"
#include "wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_start(const Skh__Start *start)
{
	skh_gate_t *gate = skh_gate_new(2, 2, start->incarnation);
	skh_error_t err;

	skh_gate_open(gate);
	(void)skh_gate_admit(gate, start, 0, &err);
	(void)skh_gate_cancel(gate, start->attempt);
	(void)skh_wire_hash_request(start);
	skh_gate_free(gate);
}

static void check_status(const Skh__Frame *frame)
{
	static char name[] = "x";
	skh_instance_t member = { name, (char[]){ "sidecar" }, name, name, name, false };
	skh_instances_t members = { &member, 1 };
	skh_peers_t *peers = skh_peers_new();
	skh_peer_t *peer;

	skh_peers_sync(peers, &members, 0);
	peer = skh_peers_find(peers, name);
	(void)skh_peers_record_frame(peer, frame->status, (int64_t)frame->revision, 1);
	(void)skh_peers_estimate_load(peer);
	skh_peers_free(peers);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	skh_buffer_t packed = SKH_BUFFER_INIT;
	skh_error_t err;
	Skh__Frame *frame = skh_wire_unpack(skh_chunk_make(data, size), &err);

	if (!frame)
		return 0;
	if (frame->body_case == SKH__FRAME__BODY_START)
		check_start(frame->start);
	check_status(frame);
	skh_wire_pack(frame, &packed);
	skh_buffer_free(&packed);
	skh_wire_free(frame);
	return 0;
}
