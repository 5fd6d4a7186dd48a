#ifndef SKH_METRICS_H
#define SKH_METRICS_H

/**
 * DOC: Metrics
 *
 * Process-wide counters, and latency histograms per customer and class, exported
 * in the Prometheus text format. The class is a request's priority at an entry and
 * its route at a gateway. Values of lock-step groups are exported by service and group. Any thread can call these functions. Counters take no
 * lock. An observation takes a shared lock, and the first one of a customer and
 * class an exclusive lock.
 */

#include "buffer.h"

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_counter - counters; metrics.c has the exported names and help texts */
typedef enum skh_counter {
	SKH_COUNT_REQUESTS,
	SKH_COUNT_ANSWERS_WHOLE,  /* complete responses */
	SKH_COUNT_ANSWERS_FAILED, /* requests of an entry that ended with an error */
	SKH_COUNT_REFUSED,	  /* rejected requests */
	SKH_COUNT_ATTEMPTS,
	SKH_COUNT_RETRIES,
	SKH_COUNT_PROBES,	/* attempts after a rejected one */
	SKH_COUNT_RETRIES_HELD, /* waits for the retry budget after a lost attempt */
	SKH_COUNT_RESUMES,
	SKH_COUNT_UNKNOWN,
	SKH_COUNT_LATE_FRAMES,
	SKH_COUNT_BAD_FRAMES,
	SKH_COUNT_GOSSIP_OMITTED,
	SKH_COUNT_CANCELS,
	SKH_COUNT_STREAM_EVENTS,
	SKH_COUNT_FRAMES_IN,
	SKH_COUNT_FRAMES_OUT,
	SKH_COUNT_CONTROL_BYTES_IN,
	SKH_COUNT_CONTROL_BYTES_OUT,
	SKH_COUNT_STARTED,
	SKH_COUNT_HANDED_BACK, /* attempts that a sidecar rejected */
	SKH_COUNT_CONFIG_ADOPTED,
	SKH_COUNT_CONFIG_FAILED,
	SKH_COUNT_STORE_FAILED,
	SKH_COUNT_CLAIMS,
	SKH_COUNT_CLAIM_BATCHES,
	SKH_COUNT_CLAIM_REPLAYS,
	SKH_COUNT_CLAIM_UNFINISHED,
	SKH_COUNT_CRASHES_RECORDED,
	SKH_COUNT_QUARANTINED,
	SKH_COUNT_ENGINE_ORDERS,
	SKH_COUNT_MAP_CHANGES,
	SKH_COUNT_MAP_FAILURES,
	SKH_COUNT_EVENTS_OUT_OF_ORDER,	 /* events of streams whose id does not follow */
	SKH_COUNT_CONTRADICTING_REPORTS, /* rank reports that contradict another engine's */
	SKH_COUNT_FOREIGN_REPORTS,	 /* rank reports of another group or of none */
	SKH_COUNT_FOREIGN_ORDERS,	 /* orders for a group that the engine is not in */
	SKH_COUNT_READS_PAUSED,		 /* reading from a server stopped because of its caller */
	SKH_COUNT_READS_RESUMED,	 /* such reading resumed */
	SKH_COUNT_STALLED_CALLERS,	 /* connections closed for not reading */
	SKH_COUNT_REQUESTS_DELAYED,	 /* request bodies not read at once for lack of memory */
	SKH_COUNT_UNREAD_CLOSED, /* connections that servers closed while they were not read */
	SKH_COUNT_DOMAINS_OUT,
	SKH_COUNT_DOMAINS_BACK,
	SKH_COUNT_SERVERS_COLD,
	SKH_COUNT_SERVERS_WARM,
	SKH_COUNT_HOMELESS,
	SKH_COUNT_WITHDRAWN,	     /* attempts withdrawn before a byte was sent */
	SKH_COUNT_REJECTED_FORECAST, /* at arrival: would have waited too long */
	SKH_COUNT_REJECTED_BACKLOG,  /* while waiting: can't be served in time any more */
	SKH_COUNT_REJECTED_WAITED,   /* at the end of the time that they could wait */
	SKH_COUNT_RETURNED,
	SKH_COUNT_FLOOR_STARTS, /* starts of the least urgent priority before more urgent ones */
	SKH_COUNTER_COUNT
} skh_counter_t;

/** enum skh_histogram - latency histograms */
typedef enum skh_histogram {
	SKH_HIST_FIRST_BYTE, /* microseconds from acceptance of a request to the first byte of the response */
	SKH_HIST_ANSWER, /* microseconds from acceptance of a request to the last byte of the response */
	SKH_HISTOGRAM_COUNT
} skh_histogram_t;

/** skh_metrics_add() - add @amount to a counter */
void skh_metrics_add(skh_counter_t counter, uint64_t amount);

/** skh_metrics_get() - current value of a counter */
uint64_t skh_metrics_get(skh_counter_t counter);

/**
 * skh_metrics_observe() - record one latency
 * @histogram: the histogram
 * @customer: customer of the request; copied
 * @class_name: name of the priority or the route; copied
 * @value_us: latency in microseconds
 */
void skh_metrics_observe(skh_histogram_t histogram, const char *customer, const char *class_name,
			 int64_t value_us);

/** skh_metrics_set_own_group() - group that the process belongs to; texts are copied, "" for none */
void skh_metrics_set_own_group(const char *service, const char *group);

/** enum skh_group_metric - values of a lock-step group; metrics.c has the exported names */
typedef enum skh_group_metric {
	SKH_GROUP_METRIC_READY,	  /* 1 if the group answers, 0 if not */
	SKH_GROUP_METRIC_SERVERS, /* listed servers */
	SKH_GROUP_METRIC_RUNNING, /* requests of this gateway */
	SKH_GROUP_METRIC_PROBES,  /* requests sent while the group was not ready */
	SKH_GROUP_METRIC_MOVED,	  /* requests moved to other groups because of silence */
	SKH_GROUP_METRIC_LIMIT,	  /* requests that this gateway may run there; 0 for no limit */
	SKH_GROUP_METRIC_PASS_MS, /* recent duration of a pass; 0 if unknown */
	SKH_GROUP_METRIC_COUNT
} skh_group_metric_t;

/** skh_metrics_set_group_values() - set all values of a group; the names are copied */
void skh_metrics_set_group_values(const char *service, const char *group,
				  const int64_t values[SKH_GROUP_METRIC_COUNT]);

/** skh_metrics_write() - append all metrics to @out in the Prometheus text format */
void skh_metrics_write(skh_buffer_t *out);

#ifdef __cplusplus
}
#endif
#endif
