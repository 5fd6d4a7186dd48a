#ifndef SKH_CURVE_AUTH_H
#define SKH_CURVE_AUTH_H

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

typedef struct skh_curve_auth skh_curve_auth_t;

/** skh_curve_auth_start() - answer ZeroMQ's questions about peers of @context; NULL without keys */
skh_curve_auth_t *skh_curve_auth_start(void *context, const skh_settings_t *settings);

/** skh_curve_auth_stop() - before the context is terminated; NULL is allowed */
void skh_curve_auth_stop(skh_curve_auth_t *guard);

/* Call just before the socket binds or connects; nothing happens without keys. */
void skh_curve_auth_set_server(void *socket, const skh_settings_t *settings);
void skh_curve_auth_set_client(void *socket, const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
