#ifndef SKH_GUARD_H
#define SKH_GUARD_H

/**
 * DOC: Guard
 *
 * Who may connect between the system's own processes: ZeroMQ's CURVE, with the
 * key pair that the settings give to every process. A connection from anybody
 * else is closed before a frame of it is read, so whoever gives a sidecar
 * work or an order is one of ours.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_guard skh_guard_t;

/** skh_guard_start() - answer ZeroMQ's questions about peers of @context; NULL without keys */
skh_guard_t *skh_guard_start(void *context, const skh_settings_t *settings);

/** skh_guard_stop() - before the context is terminated; NULL is allowed */
void skh_guard_stop(skh_guard_t *guard);

/* Call just before the socket binds or connects; nothing happens without keys. */
void skh_guard_as_server(void *socket, const skh_settings_t *settings);
void skh_guard_as_client(void *socket, const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
