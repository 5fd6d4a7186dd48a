#ifndef SKH_CRASH_SUSPECTS_H
#define SKH_CRASH_SUSPECTS_H

/**
 * DOC: Crash suspects of a gateway
 *
 * Tracks requests that are suspected of crashing their servers. A lost connection
 * alone does not count, because connections are reset for many reasons. Once the server
 * is known to have crashed, the crash is counted for the requests that were lost there.
 * A complete response clears a request, so one that did not cause the crash is cleared
 * by its next attempt. A request that crashes several servers is first no longer
 * retried, then rejected. Requests are identified by a hash of their content, so that
 * one sent again under a new id is recognised.
 *
 * Owns its records and does no I/O. The owner serialises calls. Times are in
 * microseconds on one monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Number of crashes from which a gateway no longer retries a request. */
#define SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES 2
/* Number of crashes from which a request is rejected. */
#define SKH_CRASH_SUSPECTS_REJECT_CRASHES 3
/* Time for which crashes are kept after the last one, because callers retry for minutes. */
#define SKH_CRASH_SUSPECTS_EXPIRY_US ((int64_t)600 * 1000000)
/* Maximum time between the loss of a request and the detection of the server's crash. */
#define SKH_CRASH_SUSPECTS_LOSS_WINDOW_US ((int64_t)5 * 1000000)

typedef struct skh_crash_suspects skh_crash_suspects_t;

skh_crash_suspects_t *skh_crash_suspects_new(void);
void skh_crash_suspects_free(skh_crash_suspects_t *suspects);

/**
 * skh_crash_suspects_record_loss() - record that a request was lost at @server
 * @content_hash: hash that identifies the request
 * @server: id of the server
 */
void skh_crash_suspects_record_loss(skh_crash_suspects_t *suspects, uint64_t content_hash,
				    const char *server, int64_t now_us);

/** typedef skh_crash_suspects_fn - called when @crash_id is newly counted for @content_hash */
typedef void (*skh_crash_suspects_fn)(void *context, uint64_t content_hash, uint64_t crash_id);

/**
 * skh_crash_suspects_record_crash() - count a crash of @server for the requests lost there
 * @fn: called for each request with a newly counted crash, to report it to the other
 *      gateways; may be NULL
 * @context: first argument of @fn
 */
void skh_crash_suspects_record_crash(skh_crash_suspects_t *suspects, const char *server,
				     int64_t now_us, skh_crash_suspects_fn fn, void *context);

/** skh_crash_suspects_add_remote_crash() - count a crash that another gateway reported */
void skh_crash_suspects_add_remote_crash(skh_crash_suspects_t *suspects, uint64_t content_hash,
					 uint64_t crash_id, int64_t now_us);

/** skh_crash_suspects_clear() - remove the crashes of a request that got a complete response */
void skh_crash_suspects_clear(skh_crash_suspects_t *suspects, uint64_t content_hash);

bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *suspects,
					 uint64_t content_hash, int64_t now_us);
bool skh_crash_suspects_is_rejected(const skh_crash_suspects_t *suspects, uint64_t content_hash,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
