#include "metrics.h"

#include "group_id.h"
#include "store.h"

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

/* Upper bound of bucket i: FIRST_BOUND_US << i, exclusive; the last bucket is unbounded. */
#define FIRST_BOUND_US ((int64_t)128)
#define N_BUCKETS      24

typedef struct metric_row {
	const char *name;
	const char *help;
} metric_row_t;

static const metric_row_t counter_table[SKH_COUNTER_COUNT] = {
	[SKH_COUNT_REQUESTS] = { "requests", "Requests accepted from callers" },
	[SKH_COUNT_ANSWERS_WHOLE] = { "answers_whole", "Answers delivered whole" },
	[SKH_COUNT_ANSWERS_FAILED] = { "answers_failed", "Requests answered with an error" },
	[SKH_COUNT_REFUSED] = { "refused", "Requests refused before any attempt" },
	[SKH_COUNT_ATTEMPTS] = { "attempts", "Attempts handed to a sidecar or server" },
	[SKH_COUNT_RETRIES] = { "retries", "Attempts after one that was lost" },
	[SKH_COUNT_PROBES] = { "probes", "Attempts after a refusal" },
	[SKH_COUNT_RETRIES_HELD] = { "retries_held", "Waits of lost work for the retry budget" },
	[SKH_COUNT_RESUMES] = { "resumes", "Streams resumed on another backend server" },
	[SKH_COUNT_UNKNOWN] = { "unknown", "Requests whose outcome is unknown" },
	[SKH_COUNT_LATE_FRAMES] = { "late_frames", "Frames of abandoned attempts dropped" },
	[SKH_COUNT_BAD_FRAMES] = { "bad_frames", "Frames that could not be read" },
	[SKH_COUNT_GOSSIP_OMITTED] = { "gossip_omitted",
				       "Servers left out of a report to other gateways" },
	[SKH_COUNT_CANCELS] = { "cancels", "Attempts cancelled" },
	[SKH_COUNT_STREAM_EVENTS] = { "stream_events", "Stream events relayed" },
	[SKH_COUNT_FRAMES_IN] = { "frames_in", "Frames received" },
	[SKH_COUNT_FRAMES_OUT] = { "frames_out", "Frames sent" },
	[SKH_COUNT_CONTROL_BYTES_IN] = { "control_bytes_in", "Bytes of hello and status received" },
	[SKH_COUNT_CONTROL_BYTES_OUT] = { "control_bytes_out", "Bytes of hello and status sent" },
	[SKH_COUNT_STARTED] = { "started", "Attempts handed to the backend server" },
	[SKH_COUNT_HANDED_BACK] = { "handed_back", "Attempts refused without being started" },
	[SKH_COUNT_CONFIG_ADOPTED] = { "config_adopted", "Configurations put in force" },
	[SKH_COUNT_CONFIG_FAILED] = { "config_failed", "Configurations that could not be read" },
	[SKH_COUNT_STORE_FAILED] = { "store_failed", "Failed calls to the key-value service" },
	[SKH_COUNT_CLAIMS] = { "claims", "Claims of non-idempotent requests written" },
	[SKH_COUNT_CLAIM_BATCHES] = { "claim_batches", "Transactions that carried claims" },
	[SKH_COUNT_CLAIM_UNFINISHED] = { "claim_unfinished",
					 "Requests whose key is claimed by an unfinished run" },
	[SKH_COUNT_CRASHES_RECORDED] = { "accused", "Crashes held against a request" },
	[SKH_COUNT_QUARANTINED] = { "quarantined", "Requests refused for crashing servers" },
	[SKH_COUNT_ENGINE_ORDERS] = { "engine_orders", "Orders sent to engines" },
	[SKH_COUNT_MAP_CHANGES] = { "map_changes", "Expert maps put in use" },
	[SKH_COUNT_MAP_FAILURES] = { "map_failures", "Changes of expert maps that failed" },
	[SKH_COUNT_EVENTS_OUT_OF_ORDER] = { "events_out_of_order",
					    "Stream events whose id does not follow the last one" },
	[SKH_COUNT_CONTRADICTING_REPORTS] = { "contradicting_reports",
					      "Rank reports that contradict another one" },
	[SKH_COUNT_FOREIGN_REPORTS] = { "foreign_reports", "Rank reports of another group" },
	[SKH_COUNT_FOREIGN_ORDERS] = { "foreign_orders", "Orders for another group rejected" },
	[SKH_COUNT_READS_PAUSED] = { "reads_paused",
				     "Pauses in reading from a server because its caller is slow" },
	[SKH_COUNT_READS_RESUMED] = { "reads_resumed", "Such pauses that have ended" },
	[SKH_COUNT_STALLED_CALLERS] = { "stalled_callers",
					"Connections of callers closed for not reading" },
	[SKH_COUNT_REQUESTS_DELAYED] = { "requests_delayed",
					 "Request bodies not read at once for lack of memory" },
	[SKH_COUNT_UNREAD_CLOSED] = { "unread_closed",
				      "Connections that servers closed while not read" },
	[SKH_COUNT_DOMAINS_OUT] = { "domains_out", "Failure domains taken out of service" },
	[SKH_COUNT_DOMAINS_BACK] = { "domains_back", "Failure domains taken back in service" },
	[SKH_COUNT_SERVERS_COLD] = { "servers_cold", "Servers that became cold" },
	[SKH_COUNT_SERVERS_WARM] = { "servers_warm", "Cold servers that became warm" },
	[SKH_COUNT_HOMELESS] = { "homeless", "Requests refused for lack of an allowed region" },
	[SKH_COUNT_WITHDRAWN] = { "withdrawn", "Attempts withdrawn before anything was sent" },
	[SKH_COUNT_REJECTED_FORECAST] = { "rejected_forecast",
					  "Requests rejected at arrival for a long wait" },
	[SKH_COUNT_REJECTED_BACKLOG] = { "rejected_backlog",
					 "Waiting requests rejected as not servable in time" },
	[SKH_COUNT_REJECTED_WAITED] = { "rejected_waited",
					"Requests rejected after waiting in vain" },
	[SKH_COUNT_RETURNED] = { "returned", "Requests that came back when they were told to" },
	[SKH_COUNT_FLOOR_STARTS] = { "floor_starts",
				     "Requests served by the floor of the least urgent priority" },
	[SKH_COUNT_CLAIM_REPLAYS] = { "claim_replays", "Recorded answers given again" },
};

static const metric_row_t histogram_table[SKH_HISTOGRAM_COUNT] = {
	[SKH_HIST_FIRST_BYTE] = { "first_byte_us", "Time to the first byte of the answer" },
	[SKH_HIST_ANSWER] = { "answer_us", "Time to the last byte of the answer" },
};

typedef struct group_row {
	metric_row_t row;
	const char *type;
} group_row_t;

static const group_row_t group_table[SKH_GROUP_METRIC_COUNT] = {
	[SKH_GROUP_METRIC_READY] = { { "group_ready", "Whether the group answers" }, "gauge" },
	[SKH_GROUP_METRIC_SERVERS] = { { "group_servers", "Listed servers of the group" },
				       "gauge" },
	[SKH_GROUP_METRIC_RUNNING] = { { "group_running", "Requests in flight in the group" },
				       "gauge" },
	[SKH_GROUP_METRIC_PROBES] = { { "group_probes_total",
					"Requests sent while the group was not ready" },
				      "counter" },
	[SKH_GROUP_METRIC_MOVED] = { { "group_moved_total",
				       "Requests moved from the silent group to others" },
				     "counter" },
	[SKH_GROUP_METRIC_LIMIT] = { { "group_limit", "Requests that may run; 0 for no limit" },
				     "gauge" },
	[SKH_GROUP_METRIC_PASS_MS] = { { "group_pass_ms", "Recent duration of a pass" }, "gauge" },
};

/* Values of one group; guarded by the lock. */
typedef struct group_values {
	char *service;
	char *group;
	int64_t values[SKH_GROUP_METRIC_COUNT];
} group_values_t;

typedef struct series {
	char *customer;
	char *class_name;
	atomic_uint_fast64_t buckets[N_BUCKETS];
	atomic_uint_fast64_t sum_us;
} series_t;

static atomic_uint_fast64_t counters[SKH_COUNTER_COUNT];
static GHashTable *series_tables[SKH_HISTOGRAM_COUNT];
static GHashTable *groups; /* service and group -> group_values_t */
static GRWLock series_lock;

void skh_metrics_add(skh_counter_t counter, uint64_t amount)
{
	atomic_fetch_add_explicit(&counters[counter], amount, memory_order_relaxed);
}

uint64_t skh_metrics_get(skh_counter_t counter)
{
	return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

static series_t *find_series(skh_histogram_t histogram, const char *key)
{
	series_t *series = NULL;

	g_rw_lock_reader_lock(&series_lock);
	if (series_tables[histogram])
		series = g_hash_table_lookup(series_tables[histogram], key);
	g_rw_lock_reader_unlock(&series_lock);
	return series;
}

/* Label values of the text format are between double quotes. */
static char *escape_label(const char *text)
{
	GString *escaped = g_string_new(NULL);

	for (; *text; text++) {
		if (*text == '\\' || *text == '"')
			g_string_append_c(escaped, '\\');
		if (*text == '\n')
			g_string_append(escaped, "\\n");
		else
			g_string_append_c(escaped, *text);
	}
	return g_string_free(escaped, FALSE);
}

static series_t *add_series(skh_histogram_t histogram, const char *key, const char *customer,
			    const char *class_name)
{
	series_t *series;

	g_rw_lock_writer_lock(&series_lock);
	if (!series_tables[histogram])
		series_tables[histogram] = g_hash_table_new(g_str_hash, g_str_equal);
	series = g_hash_table_lookup(series_tables[histogram], key);
	if (!series) {
		series = g_new0(series_t, 1);
		series->customer = escape_label(customer);
		series->class_name = escape_label(class_name);
		g_hash_table_insert(series_tables[histogram], g_strdup(key), series);
	}
	g_rw_lock_writer_unlock(&series_lock);
	return series;
}

static int32_t find_bucket(int64_t value_us)
{
	int32_t bucket = 0;

	while (bucket < N_BUCKETS - 1 && value_us >= (FIRST_BOUND_US << bucket))
		bucket++;
	return bucket;
}

/* The length keeps pairs of names apart, whatever characters they have. */
static char *join_names(const char *first, const char *second)
{
	return g_strdup_printf("%zu %s%s", strlen(first), first, second);
}

void skh_metrics_observe(skh_histogram_t histogram, const char *customer, const char *class_name,
			 int64_t value_us)
{
	g_autofree char *key = join_names(customer, class_name);
	series_t *series = find_series(histogram, key);

	if (!series)
		series = add_series(histogram, key, customer, class_name);
	atomic_fetch_add(&series->buckets[find_bucket(value_us)], 1);
	atomic_fetch_add(&series->sum_us, (uint64_t)(value_us > 0 ? value_us : 0));
}

static void write_series(skh_buffer_t *out, const char *name, series_t *series)
{
	uint64_t cumulative_count = 0;

	for (int32_t i = 0; i < N_BUCKETS; i++) {
		g_autofree char *bound = i == N_BUCKETS - 1
						 ? g_strdup("+Inf")
						 : g_strdup_printf("%" PRId64, FIRST_BOUND_US << i);

		cumulative_count += atomic_load(&series->buckets[i]);
		skh_buffer_printf(out,
				  "skylarkhead_%s_bucket{customer=\"%s\",class=\"%s\",le=\"%s\"} "
				  "%" PRIu64 "\n",
				  name, series->customer, series->class_name, bound,
				  cumulative_count);
	}
	skh_buffer_printf(out, "skylarkhead_%s_sum{customer=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			  name, series->customer, series->class_name,
			  (uint64_t)atomic_load(&series->sum_us));
	skh_buffer_printf(out, "skylarkhead_%s_count{customer=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			  name, series->customer, series->class_name, cumulative_count);
}

static void write_histogram(skh_buffer_t *out, skh_histogram_t histogram)
{
	const metric_row_t *row = &histogram_table[histogram];
	GHashTableIter iter;
	gpointer series;

	skh_buffer_printf(out, "# HELP skylarkhead_%s %s\n# TYPE skylarkhead_%s histogram\n",
			  row->name, row->help, row->name);
	if (!series_tables[histogram])
		return;
	g_hash_table_iter_init(&iter, series_tables[histogram]);
	while (g_hash_table_iter_next(&iter, NULL, &series))
		write_series(out, row->name, series);
}

static GMutex own_group_lock;
static char *own_group_labels; /* NULL without a group; protected by the lock */

void skh_metrics_set_own_group(const char *service, const char *group)
{
	g_autofree char *service_label = skh_group_id_escape(service);
	g_autofree char *group_label = skh_group_id_escape(group);

	g_mutex_lock(&own_group_lock);
	g_free(own_group_labels);
	own_group_labels =
		*group ? g_strdup_printf("service=\"%s\",group=\"%s\"", service_label, group_label)
		       : NULL;
	g_mutex_unlock(&own_group_lock);
}

static void write_own_group(skh_buffer_t *out)
{
	g_mutex_lock(&own_group_lock);
	if (own_group_labels)
		skh_buffer_printf(out,
				  "# HELP skylarkhead_group Group of the process, escaped as in "
				  "store keys\n# TYPE skylarkhead_group gauge\n"
				  "skylarkhead_group{%s} 1\n",
				  own_group_labels);
	g_mutex_unlock(&own_group_lock);
}

void skh_metrics_set_group_values(const char *service, const char *group,
				  const int64_t values[SKH_GROUP_METRIC_COUNT])
{
	g_autofree char *key = join_names(service, group);
	group_values_t *entry;

	g_rw_lock_writer_lock(&series_lock);
	if (!groups)
		groups = g_hash_table_new(g_str_hash, g_str_equal);
	entry = g_hash_table_lookup(groups, key);
	if (!entry) {
		entry = g_new0(group_values_t, 1);
		entry->service = escape_label(service);
		entry->group = g_strescape(group, NULL);
		g_hash_table_insert(groups, g_strdup(key), entry);
	}
	memcpy(entry->values, values, sizeof(entry->values));
	g_rw_lock_writer_unlock(&series_lock);
}

static void write_group_metric(skh_buffer_t *out, skh_group_metric_t metric)
{
	const group_row_t *row = &group_table[metric];
	GHashTableIter iter;
	gpointer value;

	if (!groups)
		return;
	skh_buffer_printf(out, "# HELP skylarkhead_%s %s\n# TYPE skylarkhead_%s %s\n",
			  row->row.name, row->row.help, row->row.name, row->type);
	g_hash_table_iter_init(&iter, groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const group_values_t *entry = value;

		skh_buffer_printf(out, "skylarkhead_%s{service=\"%s\",group=\"%s\"} %" PRId64 "\n",
				  row->row.name, entry->service, entry->group,
				  entry->values[metric]);
	}
}

static void write_counter(skh_buffer_t *out, const metric_row_t *row, uint64_t value)
{
	skh_buffer_printf(out,
			  "# HELP skylarkhead_%s_total %s\n# TYPE skylarkhead_%s_total counter\n"
			  "skylarkhead_%s_total %" PRIu64 "\n",
			  row->name, row->help, row->name, row->name, value);
}

void skh_metrics_write(skh_buffer_t *out)
{
	static const metric_row_t store_row = { "store_calls",
						"Calls made to the key-value service" };

	for (int32_t i = 0; i < SKH_COUNTER_COUNT; i++)
		write_counter(out, &counter_table[i], skh_metrics_get((skh_counter_t)i));
	write_counter(out, &store_row, skh_store_call_count());
	write_own_group(out);
	g_rw_lock_reader_lock(&series_lock);
	for (int32_t i = 0; i < SKH_HISTOGRAM_COUNT; i++)
		write_histogram(out, (skh_histogram_t)i);
	for (int32_t i = 0; i < SKH_GROUP_METRIC_COUNT; i++)
		write_group_metric(out, (skh_group_metric_t)i);
	g_rw_lock_reader_unlock(&series_lock);
}
