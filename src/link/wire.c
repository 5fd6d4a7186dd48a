#include "wire.h"

#include <glib.h>
#include <string.h>
#include <zmq.h>

#define MAX_QUEUED_FRAMES 100000 /* per peer and direction */

void skh_wire_set_socket_option(void *socket, int option, int value)
{
	(void)zmq_setsockopt(socket, option, &value, sizeof(value));
}

void skh_wire_setup_router(void *socket, int linger_ms)
{
	const int64_t max_frame_bytes = SKH_WIRE_MAX_FRAME_BYTES;

	skh_wire_set_socket_option(socket, ZMQ_LINGER, linger_ms);
	skh_wire_set_socket_option(socket, ZMQ_SNDHWM, MAX_QUEUED_FRAMES);
	skh_wire_set_socket_option(socket, ZMQ_RCVHWM, MAX_QUEUED_FRAMES);
	skh_wire_set_socket_option(socket, ZMQ_IMMEDIATE, 1);
	skh_wire_set_socket_option(socket, ZMQ_ROUTER_MANDATORY, 1);
	skh_wire_set_socket_option(socket, ZMQ_ROUTER_HANDOVER, 1);
	/*
	 * ZeroMQ allocates the announced size of a message before its first byte
	 * arrives, so without a limit a peer could exhaust the memory.
	 */
	(void)zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_frame_bytes, sizeof(max_frame_bytes));
}

void skh_wire_pack(const Skh__Frame *frame, skh_buffer_t *out)
{
	size_t len = skh__frame__get_packed_size(frame);

	(void)skh__frame__pack(frame, skh_buffer_extend(out, len));
}

/* What was cut off is not packed again. Fields of newer peers are kept and packed, too. */
bool skh_wire_is_whole(const ProtobufCMessage *message, size_t n_bytes)
{
	return protobuf_c_message_get_packed_size(message) >= n_bytes;
}

bool skh_wire_terminate_id(char *id, size_t size, int len)
{
	size_t n_read = MIN((size_t)len, size - 1);

	id[n_read] = '\0';
	return strlen(id) == (size_t)len;
}

static bool is_valid_name(const char *name)
{
	return strlen(name) <= SKH_WIRE_MAX_NAME_BYTES;
}

static bool is_valid_status(const Skh__Status *status)
{
	return is_valid_name(status->service) && is_valid_name(status->failure_domain) &&
	       is_valid_name(status->group) && is_valid_name(status->admin) &&
	       status->phase <= SKH_PHASE_LEAVING;
}

static bool is_valid_start(const Skh__Start *start)
{
	return is_valid_name(start->request) && is_valid_name(start->customer) &&
	       is_valid_name(start->method) && is_valid_name(start->content_type) &&
	       is_valid_name(start->service) && start->attempt != 0 &&
	       !(start->attempt & SKH_WIRE_LOCAL_ID_BIT);
}

static bool is_valid_body(const Skh__Frame *frame)
{
	switch (frame->body_case) {
	case SKH__FRAME__BODY_HELLO:
		return is_valid_name(frame->hello->entry);
	case SKH__FRAME__BODY_START:
		return is_valid_start(frame->start);
	case SKH__FRAME__BODY_DATA:
		return is_valid_name(frame->data->content_type) && frame->data->http_status < 600;
	case SKH__FRAME__BODY_END:
		return is_valid_name(frame->end->kind);
	case SKH__FRAME__BODY_REFUSE:
		return is_valid_name(frame->refuse->kind) && frame->refuse->retry_after_us >= 0;
	case SKH__FRAME__BODY_ORDER:
		return is_valid_name(frame->order->group);
	case SKH__FRAME__BODY_ORDER_REPLY:
		return is_valid_name(frame->order_reply->group);
	default:
		return true;
	}
}

Skh__Frame *skh_wire_unpack(skh_chunk_t bytes, skh_error_t *err)
{
	Skh__Frame *frame;

	if (bytes.len > SKH_WIRE_MAX_FRAME_BYTES) {
		(void)skh_error_set(err, SKH_TOO_LARGE,
				    "the frame of %zu bytes is over the size limit", bytes.len);
		return NULL;
	}
	frame = skh__frame__unpack(NULL, bytes.len, bytes.data);
	if (!frame) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "the message is not a protobuf Frame");
		return NULL;
	}
	if (frame->version != SKH_WIRE_VERSION) {
		(void)skh_error_set(err, SKH_BAD_REQUEST, "frame version %u is not supported",
				    frame->version);
		skh_wire_free(frame);
		return NULL;
	}
	if (!skh_wire_is_whole(&frame->base, bytes.len) ||
	    (frame->status && !is_valid_status(frame->status)) || !is_valid_body(frame)) {
		(void)skh_error_set(err, SKH_BAD_REQUEST,
				    "a field of the frame is too long or out of range, or has a "
				    "zero byte");
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
