#ifndef SKH_COUNT_REPORTER_H
#define SKH_COUNT_REPORTER_H

/**
 * DOC: What a rank tells of its counts, and when
 *
 * Pure. A rank has about a kilobyte a second for this, and a whole report of a
 * large group takes one. While demand is steady, a report now and then is enough.
 * Answers a shift: each rank sees it by itself in the first pass, drops what it
 * counted before, and tells at once; the budget was saved up for that.
 */

#include "demand.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_count_reporter skh_count_reporter_t;

/** skh_count_reporter_new() - @bytes_a_s: the budget; @draw: of a rank's own, to spread reports */
skh_count_reporter_t *skh_count_reporter_new(const skh_engine_spec_t *shape, int64_t bytes_a_s,
					     uint64_t draw);
void skh_count_reporter_free(skh_count_reporter_t *feed);

/** skh_count_reporter_add_sample() - the counts since the last look */
skh_demand_update_t skh_count_reporter_add_sample(skh_count_reporter_t *feed,
						  const skh_demand_sample_t *sample,
						  int64_t now_us);

/** skh_count_reporter_expedite() - somebody new wants to know */
void skh_count_reporter_expedite(skh_count_reporter_t *feed, int64_t now_us);

/** skh_count_reporter_is_due() - counts should be told now */
bool skh_count_reporter_is_due(const skh_count_reporter_t *feed, int64_t now_us);

/** skh_count_reporter_pending_sample() - what is to be told: all since the last time, or since a shift */
const skh_demand_sample_t *skh_count_reporter_pending_sample(const skh_count_reporter_t *feed);

/** skh_count_reporter_record_sent() - @bytes were sent, with or without the counts */
void skh_count_reporter_record_sent(skh_count_reporter_t *feed, size_t bytes, bool with_counts,
				    int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
