#ifndef SKH_MIRROR_H
#define SKH_MIRROR_H

/**
 * DOC: Mirror of a key prefix
 *
 * Keeps a local copy of the keys under one prefix of the key-value service:
 * reads them all, then follows a watch. While the service is unavailable the
 * last copy is kept. Reconnecting backs off for a random time, so that the
 * instances of a fleet do not all reconnect at once. Each mirror runs on a
 * thread of its own.
 */

#include "store.h"

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_mirror skh_mirror_t;

/**
 * skh_mirror_fn() - receives the copy after each read and each change; called on the mirror's thread
 * @context: argument given to skh_mirror_start()
 * @pairs: key -> value, both texts; valid during the call
 *
 * Return: true, or false to have all keys read again after a back-off.
 */
typedef bool (*skh_mirror_fn)(void *context, GHashTable *pairs);

/**
 * skh_mirror_start() - start the thread that mirrors a prefix
 * @store: key-value service; borrowed until skh_mirror_stop()
 * @prefix: key prefix; copied
 * @callback: called with the copy
 * @context: first argument of @callback
 *
 * Return: a mirror to be freed with skh_mirror_stop().
 */
skh_mirror_t *skh_mirror_start(skh_store_t *store, const char *prefix, skh_mirror_fn callback,
			       void *context);

/**
 * skh_mirror_refresh() - interrupt the watch or the back-off; all keys are read again
 * @mirror: mirror whose copy is known to be out of date
 */
void skh_mirror_refresh(skh_mirror_t *mirror);

/** skh_mirror_stop() - end the thread, wait for its end and free @mirror */
void skh_mirror_stop(skh_mirror_t *mirror);

#ifdef __cplusplus
}
#endif
#endif
