#ifndef SKH_METRICS_H
#define SKH_METRICS_H

/**
 * DOC: Metrics
 *
 * Counters of the process and histograms per customer and class, written out
 * in the Prometheus text form. Counting takes no lock; the first observation
 * of a customer and class takes one.
 */

#include "buffer.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_counter {
	SKH_COUNT_REQUESTS,
	SKH_COUNT_ANSWERS_WHOLE,
	SKH_COUNT_ANSWERS_FAILED,
	SKH_COUNT_REFUSED,
	SKH_COUNT_ATTEMPTS,
	SKH_COUNT_RETRIES,
	SKH_COUNT_PROBES,
	SKH_COUNT_RETRIES_HELD,
	SKH_COUNT_RESUMES,
	SKH_COUNT_UNKNOWN,
	SKH_COUNT_LATE_FRAMES,
	SKH_COUNT_BAD_FRAMES,
	SKH_COUNT_CANCELS,
	SKH_COUNT_STREAM_EVENTS,
	SKH_COUNT_FRAMES_IN,
	SKH_COUNT_FRAMES_OUT,
	SKH_COUNT_CONTROL_BYTES_IN,
	SKH_COUNT_CONTROL_BYTES_OUT,
	SKH_COUNT_STARTED,
	SKH_COUNT_HANDED_BACK,
	SKH_COUNT_CONFIG_ADOPTED,
	SKH_COUNT_CONFIG_FAILED,
	SKH_COUNT_STORE_FAILED,
	SKH_COUNT_CLAIMS,
	SKH_COUNT_CLAIM_BATCHES,
	SKH_COUNT_CLAIM_REPLAYS,
	SKH_COUNT_CLAIM_UNFINISHED,
	SKH_COUNT_ACCUSED,
	SKH_COUNT_QUARANTINED,
	SKH_COUNT_ENGINE_ORDERS,
	SKH_COUNT_MAP_CHANGES,
	SKH_COUNT_MAP_FAILURES,
	SKH_COUNTER_COUNT
} skh_counter_t;

typedef enum skh_histogram {
	SKH_HIST_FIRST_BYTE, /* microseconds from acceptance to the first byte */
	SKH_HIST_ANSWER,     /* microseconds from acceptance to the last byte */
	SKH_HISTOGRAM_COUNT
} skh_histogram_t;

void skh_metrics_add(skh_counter_t counter, uint64_t amount);
uint64_t skh_metrics_get(skh_counter_t counter);

/** skh_metrics_observe() - record @value_us for @customer in @class_name */
void skh_metrics_observe(skh_histogram_t histogram, const char *customer, const char *class_name,
			 int64_t value_us);

/** skh_metrics_write() - append everything in the Prometheus text form */
void skh_metrics_write(skh_buffer_t *out);

#ifdef __cplusplus
}
#endif
#endif
