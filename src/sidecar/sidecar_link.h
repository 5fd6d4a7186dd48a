#ifndef SKH_SIDECAR_LINK_H
#define SKH_SIDECAR_LINK_H

/**
 * DOC: Sidecar link
 *
 * A sidecar's side of the ZeroMQ connections to entries and other sidecars:
 * owns the ROUTER socket, packs and sends frames, and receives and validates
 * frames. All calls run on the sidecar's event loop thread and do not block,
 * except for skh_sidecar_link_close().
 */

#include "buffer.h"
#include "error.h"
#include "settings.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_SIDECAR_LINK_PEER_BYTES 256 /* longest routing id, including its NUL */

typedef struct skh_sidecar_link skh_sidecar_link_t;

/**
 * skh_sidecar_link_open() - listen on the address in the settings
 * @settings: borrowed until skh_sidecar_link_close()
 * @err: SKH_CONFIG_INVALID when the address can't be bound
 *
 * Return: the link, or NULL with @err.
 */
skh_sidecar_link_t *skh_sidecar_link_open(const skh_settings_t *settings, skh_error_t *err);

/** skh_sidecar_link_close() - close the link; waits a bounded time for queued frames */
void skh_sidecar_link_close(skh_sidecar_link_t *link);

/** skh_sidecar_link_connect() - connect to the sidecar that listens at @address */
void skh_sidecar_link_connect(skh_sidecar_link_t *link, const char *address);

/**
 * skh_sidecar_link_fd() - descriptor that becomes readable when frames may have arrived
 *
 * The descriptor is edge-triggered: call skh_sidecar_link_receive() until it
 * returns NULL.
 */
int skh_sidecar_link_fd(const skh_sidecar_link_t *link);

/**
 * skh_sidecar_link_receive() - next valid frame; invalid ones are counted and dropped
 * @peer: set to the routing id of the sender
 *
 * Return: a frame that is freed with skh_wire_free(), or NULL when none has arrived.
 */
Skh__Frame *skh_sidecar_link_receive(skh_sidecar_link_t *link,
				     char peer[SKH_SIDECAR_LINK_PEER_BYTES]);

/**
 * skh_sidecar_link_send() - queue a frame for a peer
 * @peer: routing id
 * @frame: borrowed; its version is set here
 *
 * Return: false when the frame was not queued, such as when @peer is not connected.
 */
bool skh_sidecar_link_send(skh_sidecar_link_t *link, const char *peer, Skh__Frame *frame);

#ifdef __cplusplus
}
#endif
#endif
