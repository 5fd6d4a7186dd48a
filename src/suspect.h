#ifndef SKH_SUSPECT_H
#define SKH_SUSPECT_H

/**
 * DOC: Suspects
 *
 * Requests that were running when a backend server crashed, recognised by a
 * hash of their content, so that one sent again under a new id is known. Pure
 * state; the owner serialises calls.
 *
 * One crash makes a request a suspect: it still runs, but a backend server runs
 * one suspect at a time. A second crash puts it in quarantine: it is refused.
 * A whole answer clears it, and so does time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** SKH_SUSPECT_QUARANTINE_CRASHES - crashes that put a request in quarantine */
#define SKH_SUSPECT_QUARANTINE_CRASHES 2
/** SKH_SUSPECT_EXPIRY_S - how long a crash is held against a request */
#define SKH_SUSPECT_EXPIRY_S 3600

typedef enum skh_suspect_state {
	SKH_SUSPECT_STATE_CLEAR,
	SKH_SUSPECT_STATE_SUSPECT,
	SKH_SUSPECT_STATE_QUARANTINED
} skh_suspect_state_t;

typedef struct skh_suspects skh_suspects_t;

skh_suspects_t *skh_suspects_new(void);
void skh_suspects_free(skh_suspects_t *suspects);

/** skh_suspects_get_state() - how the request with content hash @request is to be treated */
skh_suspect_state_t skh_suspects_get_state(const skh_suspects_t *suspects, uint64_t request,
					   int64_t now_us);

/**
 * skh_suspects_record_crash() - @request was running when @crash happened
 *
 * When many backend servers are lost at once the cause is the platform, and no
 * request is accused.
 * Return: true when this is new and has to be made known.
 */
bool skh_suspects_record_crash(skh_suspects_t *suspects, uint64_t request, uint64_t crash,
			       int64_t now_us);

/**
 * skh_suspects_clear() - @request was answered whole, or an operator clears it
 * @crashes: receives the crashes that were held against it
 * Return: their number.
 */
size_t skh_suspects_clear(skh_suspects_t *suspects, uint64_t request,
			  uint64_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES]);

/**
 * skh_suspects_begin_snapshot() - the shared records follow, all of them
 *
 * Those not named before skh_suspects_end_snapshot() were removed by others; records
 * of this process that were never shared stay.
 */
void skh_suspects_begin_snapshot(skh_suspects_t *suspects);
void skh_suspects_add_snapshot_crash(skh_suspects_t *suspects, uint64_t request, uint64_t crash,
				     int64_t now_us);
void skh_suspects_end_snapshot(skh_suspects_t *suspects);

typedef void (*skh_suspect_fn)(void *context, uint64_t request, skh_suspect_state_t standing);

/** skh_suspects_for_each() - call @fn for each request that is not clear */
void skh_suspects_for_each(const skh_suspects_t *suspects, int64_t now_us, skh_suspect_fn fn,
			   void *context);

#ifdef __cplusplus
}
#endif
#endif
