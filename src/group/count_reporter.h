#ifndef SKH_COUNT_REPORTER_H
#define SKH_COUNT_REPORTER_H

/**
 * DOC: Count reporter
 *
 * Accumulates the expert counts of one rank and decides when to report them to the
 * coordinator. It does no I/O and reads no clock; the owner serialises all calls
 * on one object. Times are in microseconds of the caller's clock.
 *
 * A rank has a budget of about a kilobyte per second, and a complete report of a
 * large group takes a kilobyte. While demand is steady, a report every few seconds
 * is enough. Each rank detects a shift of demand by itself in the first pass after
 * it, discards older counts and reports at once from the budget left unused.
 */

#include "demand.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_count_reporter skh_count_reporter_t;

/**
 * skh_count_reporter_new() - create a reporter with a full budget
 * @engine_spec: numbers of sets and experts; copied
 * @bytes_per_s: rate at which the budget refills
 * @random: random number of this rank, which spreads the reports of different ranks over time
 *
 * Return: the reporter; free with skh_count_reporter_free().
 */
skh_count_reporter_t *skh_count_reporter_new(const skh_engine_spec_t *engine_spec,
					     int64_t bytes_per_s, uint64_t random);
void skh_count_reporter_free(skh_count_reporter_t *reporter);

/**
 * skh_count_reporter_add_sample() - add the counts since the previous sample
 * @sample: copied
 *
 * Discards older counts if the sample shows a shift or has another epoch. A sample
 * that spans a shift is discarded, too.
 *
 * Return: the effect of the sample on the demand estimate of this rank.
 */
skh_demand_update_t skh_count_reporter_add_sample(skh_count_reporter_t *reporter,
						  const skh_demand_sample_t *sample,
						  int64_t now_us);

/** skh_count_reporter_expedite() - make a report due soon, for a new coordinator without counts */
void skh_count_reporter_expedite(skh_count_reporter_t *reporter, int64_t now_us);

/** skh_count_reporter_is_due() - true if counts are pending, due and within the budget */
bool skh_count_reporter_is_due(const skh_count_reporter_t *reporter, int64_t now_us);

/**
 * skh_count_reporter_pending_sample() - get the counts since the last report or shift
 * Return: owned by @reporter, valid until the next call that changes it.
 */
const skh_demand_sample_t *skh_count_reporter_pending_sample(const skh_count_reporter_t *reporter);

/**
 * skh_count_reporter_record_sent() - charge a sent message to the budget
 * @sent_bytes: size of the message
 * @with_counts: the message had the pending counts, which are then cleared
 */
void skh_count_reporter_record_sent(skh_count_reporter_t *reporter, size_t sent_bytes,
				    bool with_counts, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
