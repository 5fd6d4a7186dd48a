#ifndef SKH_WIRE_H
#define SKH_WIRE_H

/**
 * DOC: Wire frames
 *
 * Packing and validated unpacking of the protobuf messages between processes
 * (proto/wire.proto). An unpacked frame is safe to use: no text in it is NULL,
 * its sizes are bounded and its version is supported by this process. The
 * functions keep no state and may be called from any thread, those with a socket
 * from the thread that owns it.
 */

#include "buffer.h"
#include "error.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_WIRE_VERSION	 1
#define SKH_WIRE_MAX_FRAME_BYTES (80U << 20)
#define SKH_WIRE_MAX_NAME_BYTES	 256
/*
 * Set in the ids of a sidecar's cancel requests and of its claim backlog's
 * writes; clear in attempt ids.
 */
#define SKH_WIRE_LOCAL_ID_BIT (1ULL << 63)

/** enum skh_phase - phase that a sidecar reports in its status */
typedef enum skh_phase {
	SKH_PHASE_STARTING,
	SKH_PHASE_READY,
	SKH_PHASE_LEAVING /* running attempts continue, queued and new ones are rejected */
} skh_phase_t;

/** skh_wire_set_socket_option() - set an integer option of a ZeroMQ socket; errors are ignored */
void skh_wire_set_socket_option(void *socket, int option, int value);

/**
 * skh_wire_setup_router() - set the options of a ROUTER socket of an entry or sidecar
 * @socket: a ROUTER socket that is neither bound nor connected
 * @linger_ms: time that closing waits for queued frames
 *
 * A frame is queued only for a live connection, otherwise sending it fails at
 * once. A reconnecting peer replaces its previous connection. A peer that
 * announces a frame over SKH_WIRE_MAX_FRAME_BYTES is disconnected.
 */
void skh_wire_setup_router(void *socket, int linger_ms);

/**
 * skh_wire_hash_request() - content hash of a request
 *
 * Covers the service, method, path and body, so that it is equal for the same
 * request from different senders.
 */
uint64_t skh_wire_hash_request(const Skh__Start *start);

/**
 * skh_wire_is_whole() - whether each text of an unpacked message was read to its end
 * @n_bytes: size of the packed message
 *
 * protobuf-c unpacks texts as C strings, so a text with a zero byte ends early and could pass for
 * another one.
 */
bool skh_wire_is_whole(const ProtobufCMessage *message, size_t n_bytes);

/**
 * skh_wire_terminate_id() - make a string of the peer's id that zmq_recv() has read
 * @id: buffer of @size bytes, of which zmq_recv() got all but one
 * @len: length of the id, as zmq_recv() returned it
 * Return: false if the id is cut off or has a zero byte, as ids have that ZeroMQ itself gives out.
 */
bool skh_wire_terminate_id(char *id, size_t size, int len);

/** skh_wire_pack() - append the packed @frame to @out */
void skh_wire_pack(const Skh__Frame *frame, skh_buffer_t *out);

/**
 * skh_wire_unpack() - unpack and validate a frame
 * @bytes: a packed frame
 * @err: SKH_TOO_LARGE or SKH_BAD_REQUEST
 *
 * Return: a frame that is freed with skh_wire_free(), or NULL with @err.
 */
Skh__Frame *skh_wire_unpack(skh_chunk_t bytes, skh_error_t *err);
void skh_wire_free(Skh__Frame *frame);

#ifdef __cplusplus
}
#endif
#endif
