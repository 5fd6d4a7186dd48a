#ifndef SKH_CLAIM_BACKLOG_H
#define SKH_CLAIM_BACKLOG_H

/**
 * DOC: Claim backlog
 *
 * Records of claims that could not be written while the key-value service was
 * away: that a claim is given back, or how its run ended. Each is written later,
 * and only over a record of the same owner, so that its key does not stay
 * "unknown" until it expires. Pure state; the owner carries the writes.
 */

#include "claim.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_claim_backlog skh_claim_backlog_t;

skh_claim_backlog_t *skh_claim_backlog_new(void);
void skh_claim_backlog_free(skh_claim_backlog_t *backlog);

/**
 * skh_claim_backlog_add() - @claim should stand at @path
 * @expected: mod revision of this owner's record there; 0 when it may not be there
 */
void skh_claim_backlog_add(skh_claim_backlog_t *backlog, const char *path, const skh_claim_t *claim,
			   int64_t expected, int64_t now_us);

/** struct skh_claim_backlog_write - a write to be tried now; texts borrowed until its result */
typedef struct skh_claim_backlog_write {
	uint64_t id; /* has SKH_WIRE_LOCAL_TRANSFER_BIT set */
	const char *path;
	const char *value;
	int64_t expected_revision;
} skh_claim_backlog_write_t;

/** skh_claim_backlog_next_due() - the next write that is due; false when there is none */
bool skh_claim_backlog_next_due(skh_claim_backlog_t *backlog, int64_t now_us,
				skh_claim_backlog_write_t *write);

/** skh_claim_backlog_mark_written() - write @id is done */
void skh_claim_backlog_mark_written(skh_claim_backlog_t *backlog, uint64_t id);

/** skh_claim_backlog_mark_failed() - write @id is to be tried again later */
void skh_claim_backlog_mark_failed(skh_claim_backlog_t *backlog, uint64_t id, int64_t now_us);

/**
 * skh_claim_backlog_resolve_conflict() - something else stands there than write @id expected
 * @found: its value, or NULL when nothing stands there
 */
void skh_claim_backlog_resolve_conflict(skh_claim_backlog_t *backlog, uint64_t id,
					const char *found, int64_t mod_revision, int64_t now_us);

size_t skh_claim_backlog_count(const skh_claim_backlog_t *backlog);

#ifdef __cplusplus
}
#endif
#endif
