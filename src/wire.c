#include "wire.h"

#include <string.h>
#include <zmq.h>

#define HIGH_WATER 100000 /* frames queued for one peer */

void skh_wire_set_option(void *socket, int option, int value)
{
	(void)zmq_setsockopt(socket, option, &value, sizeof(value));
}

void skh_wire_setup_router(void *socket, int linger_ms)
{
	const int64_t limit_bytes = SKH_WIRE_MAX_FRAME_BYTES;

	skh_wire_set_option(socket, ZMQ_LINGER, linger_ms);
	skh_wire_set_option(socket, ZMQ_SNDHWM, HIGH_WATER);
	skh_wire_set_option(socket, ZMQ_RCVHWM, HIGH_WATER);
	skh_wire_set_option(socket, ZMQ_IMMEDIATE, 1);
	skh_wire_set_option(socket, ZMQ_ROUTER_MANDATORY, 1);
	skh_wire_set_option(socket, ZMQ_ROUTER_HANDOVER, 1);
	/* ZeroMQ reserves what a peer announces before a byte of it has come. */
	(void)zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit_bytes, sizeof(limit_bytes));
}

void skh_wire_pack(const Skh__Frame *frame, skh_buffer_t *out)
{
	size_t len = skh__frame__get_packed_size(frame);

	(void)skh__frame__pack(frame, skh_buffer_extend(out, len));
}

static bool name_fits(const char *name)
{
	return strlen(name) <= SKH_WIRE_MAX_NAME_BYTES;
}

static bool status_fits(const Skh__Status *status)
{
	return name_fits(status->service) && name_fits(status->failure_domain) &&
	       name_fits(status->group) && name_fits(status->admin) &&
	       status->phase <= SKH_PHASE_LEAVING;
}

static bool start_fits(const Skh__Start *start)
{
	return name_fits(start->request) && name_fits(start->customer) &&
	       name_fits(start->method) && name_fits(start->content_type) &&
	       name_fits(start->service) && start->attempt != 0 &&
	       !(start->attempt & SKH_WIRE_LOCAL_TRANSFER_BIT);
}

static bool body_fits(const Skh__Frame *frame)
{
	switch (frame->body_case) {
	case SKH__FRAME__BODY_HELLO:
		return name_fits(frame->hello->entry);
	case SKH__FRAME__BODY_START:
		return start_fits(frame->start);
	case SKH__FRAME__BODY_DATA:
		return name_fits(frame->data->content_type) && frame->data->http_status < 600;
	case SKH__FRAME__BODY_END:
		return name_fits(frame->end->kind);
	case SKH__FRAME__BODY_REFUSE:
		return name_fits(frame->refuse->kind) && frame->refuse->retry_after_us >= 0;
	case SKH__FRAME__BODY_ORDER:
		return name_fits(frame->order->group);
	case SKH__FRAME__BODY_ORDER_REPLY:
		return name_fits(frame->order_reply->group);
	default:
		return true;
	}
}

Skh__Frame *skh_wire_unpack(skh_chunk_t bytes, skh_error_t *err)
{
	Skh__Frame *frame;

	if (bytes.len > SKH_WIRE_MAX_FRAME_BYTES) {
		(void)skh_error_set(err, SKH_TOO_LARGE, "a frame of %zu bytes", bytes.len);
		return NULL;
	}
	frame = skh__frame__unpack(NULL, bytes.len, bytes.data);
	if (!frame) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "not a frame");
		return NULL;
	}
	if (frame->version != SKH_WIRE_VERSION) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "frame version %u is not spoken here",
				    frame->version);
		skh_wire_free(frame);
		return NULL;
	}
	if ((frame->status && !status_fits(frame->status)) || !body_fits(frame)) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "a field of the frame is out of range");
		skh_wire_free(frame);
		return NULL;
	}
	return frame;
}

void skh_wire_free(Skh__Frame *frame)
{
	skh__frame__free_unpacked(frame, NULL);
}

uint64_t skh_wire_hash_request(const Skh__Start *start)
{
	uint64_t hash = skh_chunk_hash(skh_chunk_from_string(start->service), 0);

	hash = skh_chunk_hash(skh_chunk_from_string(start->method), hash);
	hash = skh_chunk_hash(skh_chunk_from_string(start->path), hash);
	return skh_chunk_hash(skh_chunk_make(start->body.data, start->body.len), hash);
}
