#ifndef SKH_CLAIM_BACKLOG_H
#define SKH_CLAIM_BACKLOG_H

/**
 * DOC: Claim backlog
 *
 * Holds claim records whose write failed because the key-value service was
 * unavailable: records that state that nothing ran (SKH_CLAIM_NOT_RUN) and results of
 * runs (SKH_CLAIM_DONE). Each is written later, but only over a claim in state
 * SKH_CLAIM_CLAIMED of the same attempt, or where there is no record. Without the write,
 * requests with the same idempotency key would get "outcome unknown" until that key expires.
 *
 * Owns copies of the records and does no I/O: the owner executes the writes,
 * reports their results and serialises calls. A write is given up after
 * SKH_CLAIM_MAX_KEY_AGE_MS, because its idempotency key has expired by then. Times are in
 * microseconds on the monotonic clock.
 */

#include "claim.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_claim_backlog skh_claim_backlog_t;

skh_claim_backlog_t *skh_claim_backlog_new(void);
void skh_claim_backlog_free(skh_claim_backlog_t *backlog);

/**
 * skh_claim_backlog_add() - add a write of @claim to @path; copies both
 * @expected_revision: required mod revision of the owner's record at @path; 0 if it must be absent
 *
 * The write is dropped if the backlog is full.
 */
void skh_claim_backlog_add(skh_claim_backlog_t *backlog, const char *path, const skh_claim_t *claim,
			   int64_t expected_revision, int64_t now_us);

/** struct skh_claim_backlog_write - a due write; strings are valid until its result is reported */
typedef struct skh_claim_backlog_write {
	uint64_t id; /* has SKH_WIRE_LOCAL_ID_BIT set */
	const char *store_key;
	const char *value;
	int64_t expected_revision;
} skh_claim_backlog_write_t;

/**
 * skh_claim_backlog_next_due() - get a due write and mark it as in progress
 *
 * Each write that is returned needs its result: skh_claim_backlog_mark_written(),
 * skh_claim_backlog_mark_failed() or skh_claim_backlog_resolve_conflict().
 *
 * Return: false if no write is due.
 */
bool skh_claim_backlog_next_due(skh_claim_backlog_t *backlog, int64_t now_us,
				skh_claim_backlog_write_t *write);

/** skh_claim_backlog_mark_written() - remove write @id after it succeeded */
void skh_claim_backlog_mark_written(skh_claim_backlog_t *backlog, uint64_t id);

/** skh_claim_backlog_mark_failed() - schedule a retry of write @id after a delay */
void skh_claim_backlog_mark_failed(skh_claim_backlog_t *backlog, uint64_t id, int64_t now_us);

/**
 * skh_claim_backlog_resolve_conflict() - handle a revision conflict of write @id
 * @found: value stored at the path, or NULL if there is none
 * @mod_revision: revision of @found
 *
 * If @found is in state SKH_CLAIM_CLAIMED and of the same owner, or there is no record, the
 * write is due again at once with the new revision; otherwise it is removed.
 */
void skh_claim_backlog_resolve_conflict(skh_claim_backlog_t *backlog, uint64_t id,
					const char *found, int64_t mod_revision, int64_t now_us);

size_t skh_claim_backlog_count(const skh_claim_backlog_t *backlog);

#ifdef __cplusplus
}
#endif
#endif
