#ifndef SKH_REPORT_FILTER_H
#define SKH_REPORT_FILTER_H

/**
 * DOC: Filter of an engine's reports
 *
 * A wrong number that is in range can't be told from a right one, and an engine's group, rank and
 * epoch decide which engine gets an order, and whose answer counts for which rank. A changed state
 * is therefore used only once two responses in a row agree on it; an unchanged one at once. No I/O;
 * the owner of the struct serialises calls.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_report_filter - reports of one engine; zeroed before its first use */
typedef struct skh_report_filter {
	bool has_accepted;
	bool has_last;
	skh_engine_report_t accepted; /* the last report that was used */
	skh_engine_report_t last;     /* the last response, used or not */
	int64_t accepted_us;	      /* when the request for @accepted was sent */
	int64_t last_us;
} skh_report_filter_t;

/**
 * skh_report_filter_accept() - decide whether a response is used
 * @report: response; a slowdown that differs from the ones before is replaced by the accepted one
 * @requested_us: when the request was sent, microseconds of a monotonic clock
 *
 * Return: false if another response has to confirm it first.
 */
bool skh_report_filter_accept(skh_report_filter_t *filter, skh_engine_report_t *report,
			      int64_t requested_us);

/** skh_report_filter_has_new_group() - whether the engine's group or its size differs */
bool skh_report_filter_has_new_group(const skh_engine_report_t *before,
				     const skh_engine_report_t *after);

/** skh_report_filter_has_new_state() - whether rank, epoch, map or orders of the engine differ */
bool skh_report_filter_has_new_state(const skh_engine_report_t *before,
				     const skh_engine_report_t *after);

/** skh_report_filter_has_new_slowdown() - whether the slowdown differs by more than its usual noise */
bool skh_report_filter_has_new_slowdown(const skh_engine_report_t *before,
					const skh_engine_report_t *after);

#ifdef __cplusplus
}
#endif
#endif
