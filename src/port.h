#ifndef SKH_PORT_H
#define SKH_PORT_H

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

#define SKH_PORT_PEER_BYTES 256 /* longest routing id, with its NUL */

typedef struct skh_port skh_port_t;

/** skh_port_open() - listen as the settings say; they are borrowed */
skh_port_t *skh_port_open(const skh_settings_t *settings, skh_error_t *err);

/** skh_port_close() - waits a bounded time for frames that are still queued */
void skh_port_close(skh_port_t *port);

/** skh_port_connect() - reach the sidecar that listens at @address */
void skh_port_connect(skh_port_t *port, const char *address);

/** skh_port_fd() - becomes readable when skh_port_receive() may have something */
int skh_port_fd(const skh_port_t *port);

/** skh_port_receive() - next good frame and its sender, or NULL when there is none */
Skh__Frame *skh_port_receive(skh_port_t *port, char peer[SKH_PORT_PEER_BYTES]);

/** skh_port_send() - false when @peer is not connected */
bool skh_port_send(skh_port_t *port, const char *peer, Skh__Frame *frame);

#ifdef __cplusplus
}
#endif
#endif
