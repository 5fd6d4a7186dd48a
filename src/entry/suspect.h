#ifndef SKH_SUSPECT_H
#define SKH_SUSPECT_H

/**
 * DOC: Crash suspects of an entry
 *
 * Counts, per request content, the backend server crashes that happened while
 * the request was running. A request is identified by a hash of its content, so
 * that a retry by the caller under a new request id is recognised. The table that
 * gateways use is in crash_suspects.h.
 *
 * Owns the records and does no I/O. The owner of the table serialises calls. Times
 * are in microseconds on one monotonic clock.
 *
 * One crash makes a request a suspect: it still runs, but a backend server runs
 * at most one suspect at a time. A second crash quarantines the request: it is
 * rejected. A complete response clears a request, and each crash expires after
 * SKH_SUSPECT_EXPIRY_S.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** SKH_SUSPECT_QUARANTINE_CRASHES - distinct crashes after which a request is quarantined */
#define SKH_SUSPECT_QUARANTINE_CRASHES 2
/** SKH_SUSPECT_EXPIRY_S - seconds for which a crash counts against a request */
#define SKH_SUSPECT_EXPIRY_S 3600

/** enum skh_suspect_state - how a request is treated */
typedef enum skh_suspect_state {
	SKH_SUSPECT_STATE_CLEAR,      /* no crash counts; the request runs */
	SKH_SUSPECT_STATE_SUSPECT,    /* runs, one suspect at a time per backend server */
	SKH_SUSPECT_STATE_QUARANTINED /* rejected */
} skh_suspect_state_t;

typedef struct skh_suspects skh_suspects_t;

/** skh_suspects_new() - allocate an empty table; free it with skh_suspects_free() */
skh_suspects_t *skh_suspects_new(void);
void skh_suspects_free(skh_suspects_t *suspects);

/** skh_suspects_get_state() - state of the request with @content_hash at @now_us */
skh_suspect_state_t skh_suspects_get_state(const skh_suspects_t *suspects, uint64_t content_hash,
					   int64_t now_us);

/**
 * skh_suspects_record_crash() - record that a backend server crashed while a request was running
 * @content_hash: hash of the request's content
 * @crash_id: id of the crash, the same for all requests that were running there
 *
 * When many backend servers crash at once the cause is the platform rather than a request, and
 * further crashes are not recorded.
 * Return: true when the crash is newly recorded and has to be shared with other entries.
 */
bool skh_suspects_record_crash(skh_suspects_t *suspects, uint64_t content_hash, uint64_t crash_id,
			       int64_t now_us);

/**
 * skh_suspects_clear() - remove the crashes recorded for a request
 * @crash_ids: receives the crashes that were recorded against the request
 *
 * Called after a complete response, or for an operator.
 * Return: number of ids written to @crash_ids.
 */
size_t skh_suspects_clear(skh_suspects_t *suspects, uint64_t content_hash,
			  uint64_t crash_ids[SKH_SUSPECT_QUARANTINE_CRASHES]);

/**
 * skh_suspects_begin_snapshot() - begin to replace the shared records by a complete snapshot
 *
 * skh_suspects_end_snapshot() removes the shared crashes that are not in the snapshot, because
 * other entries have removed them. Crashes that only this process has recorded stay.
 */
void skh_suspects_begin_snapshot(skh_suspects_t *suspects);

/** skh_suspects_add_snapshot_crash() - add one shared crash of the snapshot */
void skh_suspects_add_snapshot_crash(skh_suspects_t *suspects, uint64_t content_hash,
				     uint64_t crash_id, int64_t now_us);

/** skh_suspects_end_snapshot() - remove the shared crashes that are not in the snapshot */
void skh_suspects_end_snapshot(skh_suspects_t *suspects);

typedef void (*skh_suspect_fn)(void *context, uint64_t content_hash, skh_suspect_state_t state);

/** skh_suspects_for_each() - call @fn for each request that is not clear */
void skh_suspects_for_each(const skh_suspects_t *suspects, int64_t now_us, skh_suspect_fn fn,
			   void *context);

#ifdef __cplusplus
}
#endif
#endif
