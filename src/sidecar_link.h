#ifndef SKH_SIDECAR_LINK_H
#define SKH_SIDECAR_LINK_H

/**
 * DOC: Port
 *
 * A sidecar's side of the ZeroMQ connections: packs frames for entries, stamps
 * them with the sidecar's status and unpacks what entries send. One thread.
 */

#include "buffer.h"
#include "error.h"
#include "settings.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_SIDECAR_LINK_PEER_BYTES 256 /* longest routing id, with its NUL */

typedef struct skh_sidecar_link skh_sidecar_link_t;

/** skh_sidecar_link_open() - listen as the settings say; they are borrowed */
skh_sidecar_link_t *skh_sidecar_link_open(const skh_settings_t *settings, skh_error_t *err);

/** skh_sidecar_link_close() - waits a bounded time for frames that are still queued */
void skh_sidecar_link_close(skh_sidecar_link_t *port);

/** skh_sidecar_link_connect() - reach the sidecar that listens at @address */
void skh_sidecar_link_connect(skh_sidecar_link_t *port, const char *address);

/** skh_sidecar_link_fd() - becomes readable when skh_sidecar_link_receive() may have something */
int skh_sidecar_link_fd(const skh_sidecar_link_t *port);

/** skh_sidecar_link_receive() - next good frame and its sender, or NULL when there is none */
Skh__Frame *skh_sidecar_link_receive(skh_sidecar_link_t *port,
				     char peer[SKH_SIDECAR_LINK_PEER_BYTES]);

/** skh_sidecar_link_send() - false when @peer is not connected */
bool skh_sidecar_link_send(skh_sidecar_link_t *port, const char *peer, Skh__Frame *frame);

#ifdef __cplusplus
}
#endif
#endif
