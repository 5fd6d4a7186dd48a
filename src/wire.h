#ifndef SKH_WIRE_H
#define SKH_WIRE_H

/**
 * DOC: Frames
 *
 * Packing and checked unpacking of the protobuf messages between processes
 * (proto/wire.proto). Whatever unpacks here is safe to use: texts are present,
 * sizes are bounded and the version is one that this process speaks.
 */

#include "buffer.h"
#include "error.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_WIRE_VERSION	    1
#define SKH_WIRE_MAX_FRAME_BYTES    (80U << 20)
#define SKH_WIRE_MAX_NAME_BYTES	    256
#define SKH_WIRE_LOCAL_TRANSFER_BIT (1ULL << 63) /* bit a sidecar uses for its own transfers */

/** enum skh_phase - what a sidecar says about itself in its status */
typedef enum skh_phase {
	SKH_PHASE_STARTING,
	SKH_PHASE_READY,
	SKH_PHASE_LEAVING
} skh_phase_t;

/** skh_wire_set_option() - an integer option of a ZeroMQ socket */
void skh_wire_set_option(void *socket, int option, int value);

/**
 * skh_wire_setup_router() - what the ROUTER sockets of both roles share
 * @linger_ms: how long closing waits for frames that are still queued
 *
 * A frame is taken by a live connection or refused at once, a reconnecting
 * peer replaces its old connection, and whoever announces a frame over the
 * limit is dropped.
 */
void skh_wire_setup_router(void *socket, int linger_ms);

/** skh_wire_hash_request() - the same for each copy of a request, whoever sends it */
uint64_t skh_wire_hash_request(const Skh__Start *start);

/** skh_wire_pack() - append the packed @frame to @out */
void skh_wire_pack(const Skh__Frame *frame, skh_buffer_t *out);

/** skh_wire_unpack() - checked frame, or NULL with @err; free with skh_wire_free() */
Skh__Frame *skh_wire_unpack(skh_chunk_t bytes, skh_error_t *err);
void skh_wire_free(Skh__Frame *frame);

#ifdef __cplusplus
}
#endif
#endif
