#ifndef SKH_CURVE_AUTH_H
#define SKH_CURVE_AUTH_H

/**
 * DOC: CURVE authentication
 *
 * Authenticates connections between the processes of the system with ZeroMQ's CURVE
 * mechanism and the key pair that the settings give to every process. A connection
 * with any other key is closed before a frame of it is read, so only processes of the
 * system can send requests or orders to a sidecar.
 *
 * Owns the ZAP (ZeroMQ Authentication Protocol) socket of a context and the thread that
 * serves it. Without keys in the settings, connections are neither authenticated nor
 * encrypted.
 */

#include "settings.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_curve_auth skh_curve_auth_t;

/**
 * skh_curve_auth_start() - start the ZAP handler of @context, a ZeroMQ context
 *
 * Return: the handler, to be stopped with skh_curve_auth_stop(); NULL without keys.
 */
skh_curve_auth_t *skh_curve_auth_start(void *context, const skh_settings_t *settings);

/** skh_curve_auth_stop() - stop and free the handler before its context ends; NULL is allowed */
void skh_curve_auth_stop(skh_curve_auth_t *auth);

/** skh_curve_auth_set_server() - set the keys of a socket before it binds; no-op without keys */
void skh_curve_auth_set_server(void *socket, const skh_settings_t *settings);

/** skh_curve_auth_set_client() - set the keys of a socket before it connects; no-op without keys */
void skh_curve_auth_set_client(void *socket, const skh_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
