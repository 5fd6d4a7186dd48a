#include "quarantine.h"

#include "clock.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"
#include "mirror.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#define PART		   "quarantine"
#define KEY_SUBPREFIX	   "suspects/"
#define MAX_BATCH_WRITES   64
#define MAX_PENDING_WRITES 4096
#define RETRY_DELAY_US	   (1 * SKH_US_PER_S) /* the jitter adds up to RETRY_DELAY_US more */
#define LEASE_PERIOD_S	   600

/* A write that the key-value service has not confirmed yet. */
typedef struct pending_write {
	char *key;
	bool is_delete;
} pending_write_t;

struct skh_quarantine {
	skh_store_t *store;
	char *prefix;
	skh_mirror_t *mirror;
	pthread_t writer_thread;
	GMutex lock;
	GCond wake;
	bool stop_requested;
	skh_suspects_t *suspects;
	GQueue pending;		  /* pending_write_t, oldest first */
	skh_period_lease_t lease; /* writer thread only */
};

static void free_pending_write(gpointer item)
{
	pending_write_t *write = item;

	g_free(write->key);
	g_free(write);
}

static bool on_shared_records(void *context, GHashTable *pairs)
{
	skh_quarantine_t *quarantine = context;
	int64_t now_us = skh_clock_now_us();
	size_t prefix_len = strlen(quarantine->prefix);
	GHashTableIter iter;
	gpointer key;

	g_mutex_lock(&quarantine->lock);
	skh_suspects_begin_snapshot(quarantine->suspects);
	g_hash_table_iter_init(&iter, pairs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		uint64_t content_hash;
		uint64_t crash_id;

		if (sscanf((const char *)key + prefix_len, "%16" SCNx64 "/%16" SCNx64,
			   &content_hash, &crash_id) == 2)
			skh_suspects_add_snapshot_crash(quarantine->suspects, content_hash,
							crash_id, now_us);
	}
	skh_suspects_end_snapshot(quarantine->suspects);
	g_mutex_unlock(&quarantine->lock);
	return true;
}

/* Dequeues the oldest writes up to a repeated key: a transaction may contain each key only once. */
static size_t dequeue_batch(skh_quarantine_t *quarantine, pending_write_t **batch)
{
	g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
	pending_write_t *oldest;
	size_t n = 0;

	while (n < MAX_BATCH_WRITES && (oldest = g_queue_peek_head(&quarantine->pending)) != NULL &&
	       g_hash_table_add(keys, oldest->key))
		batch[n++] = g_queue_pop_head(&quarantine->pending);
	return n;
}

static bool write_batch(skh_quarantine_t *quarantine, pending_write_t *const *batch, size_t n)
{
	skh_txn_op_t ops[MAX_BATCH_WRITES];
	skh_txn_t txn = { .ops = ops, .n_ops = n };
	skh_txn_result_t result;
	skh_error_t err;
	bool is_written = skh_period_lease_ensure(&quarantine->lease, quarantine->store,
						  skh_clock_now_us(), &err);

	for (size_t i = 0; i < n; i++)
		ops[i] = (skh_txn_op_t){ batch[i]->is_delete ? SKH_TXN_OP_DELETE : SKH_TXN_OP_PUT,
					 batch[i]->key, "", quarantine->lease.id };
	is_written =
		is_written && quarantine->store->ops->txn(quarantine->store, &txn, &result, &err);
	if (is_written)
		skh_kv_pairs_clear(&result.pairs);
	else
		skh_log(SKH_LOG_WARNING, PART,
			"Crash suspects could not be written to the key-value service; retrying.",
			"reason=%s", err.text);
	return is_written;
}

/* Puts an unwritten batch back at the head of the queue, in order, and waits for the retry. */
static void requeue_and_wait(skh_quarantine_t *quarantine, pending_write_t **batch, size_t n)
{
	int64_t deadline_us = skh_clock_now_us() + RETRY_DELAY_US +
			      (int64_t)(skh_random_u64() % (uint64_t)RETRY_DELAY_US);

	g_mutex_lock(&quarantine->lock);
	while (n > 0)
		g_queue_push_head(&quarantine->pending, batch[--n]);
	while (!quarantine->stop_requested &&
	       g_cond_wait_until(&quarantine->wake, &quarantine->lock, deadline_us))
		continue;
	g_mutex_unlock(&quarantine->lock);
}

static void *run_writer(void *argument)
{
	skh_quarantine_t *quarantine = argument;
	pending_write_t *batch[MAX_BATCH_WRITES];

	for (;;) {
		bool stop;
		size_t n;

		g_mutex_lock(&quarantine->lock);
		while (g_queue_is_empty(&quarantine->pending) && !quarantine->stop_requested)
			g_cond_wait(&quarantine->wake, &quarantine->lock);
		stop = quarantine->stop_requested;
		n = dequeue_batch(quarantine, batch);
		g_mutex_unlock(&quarantine->lock);
		if (n > 0 && !write_batch(quarantine, batch, n))
			requeue_and_wait(quarantine, batch, n);
		else
			for (size_t i = 0; i < n; i++)
				free_pending_write(batch[i]);
		/* Writes that are still pending are lost at a stop, as in a crash of the process. */
		if (stop)
			return NULL;
	}
}

skh_quarantine_t *skh_quarantine_start(skh_store_t *store, const char *store_prefix)
{
	skh_quarantine_t *quarantine = g_new0(skh_quarantine_t, 1);

	quarantine->store = store;
	quarantine->prefix = g_strconcat(store_prefix, KEY_SUBPREFIX, NULL);
	quarantine->suspects = skh_suspects_new();
	quarantine->lease.period_s = LEASE_PERIOD_S;
	quarantine->lease.min_ttl_s = SKH_SUSPECT_EXPIRY_S;
	g_mutex_init(&quarantine->lock);
	g_cond_init(&quarantine->wake);
	g_queue_init(&quarantine->pending);
	quarantine->mirror =
		skh_mirror_start(store, quarantine->prefix, on_shared_records, quarantine);
	(void)pthread_create(&quarantine->writer_thread, NULL, run_writer, quarantine);
	return quarantine;
}

void skh_quarantine_stop(skh_quarantine_t *quarantine)
{
	g_mutex_lock(&quarantine->lock);
	quarantine->stop_requested = true;
	g_cond_signal(&quarantine->wake);
	g_mutex_unlock(&quarantine->lock);
	(void)pthread_join(quarantine->writer_thread, NULL);
	skh_mirror_stop(quarantine->mirror);
	g_queue_clear_full(&quarantine->pending, free_pending_write);
	skh_suspects_free(quarantine->suspects);
	g_cond_clear(&quarantine->wake);
	g_mutex_clear(&quarantine->lock);
	g_free(quarantine->prefix);
	g_free(quarantine);
}

skh_suspect_state_t skh_quarantine_get_state(skh_quarantine_t *quarantine, uint64_t content_hash)
{
	skh_suspect_state_t state;

	g_mutex_lock(&quarantine->lock);
	state = skh_suspects_get_state(quarantine->suspects, content_hash, skh_clock_now_us());
	g_mutex_unlock(&quarantine->lock);
	return state;
}

/* The caller holds the lock. A full queue drops the write. */
static void enqueue_write(skh_quarantine_t *quarantine, uint64_t content_hash, uint64_t crash_id,
			  bool is_delete)
{
	pending_write_t *write;

	if (g_queue_get_length(&quarantine->pending) >= MAX_PENDING_WRITES)
		return;
	write = g_new0(pending_write_t, 1);
	write->key = g_strdup_printf("%s%016" PRIx64 "/%016" PRIx64, quarantine->prefix,
				     content_hash, crash_id);
	write->is_delete = is_delete;
	g_queue_push_tail(&quarantine->pending, write);
	g_cond_signal(&quarantine->wake);
}

void skh_quarantine_record_crash(skh_quarantine_t *quarantine, uint64_t content_hash,
				 uint64_t crash_id)
{
	bool is_new;

	g_mutex_lock(&quarantine->lock);
	is_new = skh_suspects_record_crash(quarantine->suspects, content_hash, crash_id,
					   skh_clock_now_us());
	if (is_new)
		enqueue_write(quarantine, content_hash, crash_id, false);
	g_mutex_unlock(&quarantine->lock);
	if (!is_new)
		return;
	skh_metrics_add(SKH_COUNT_CRASHES_RECORDED, 1);
	skh_log(SKH_LOG_WARNING, PART,
		"A request ran on a backend server that crashed; crash recorded.",
		"content=%016" PRIx64 " crash=%016" PRIx64, content_hash, crash_id);
}

bool skh_quarantine_clear(skh_quarantine_t *quarantine, uint64_t content_hash)
{
	uint64_t crash_ids[SKH_SUSPECT_QUARANTINE_CRASHES];
	size_t n;

	g_mutex_lock(&quarantine->lock);
	n = skh_suspects_clear(quarantine->suspects, content_hash, crash_ids);
	for (size_t i = 0; i < n; i++)
		enqueue_write(quarantine, content_hash, crash_ids[i], true);
	g_mutex_unlock(&quarantine->lock);
	return n > 0;
}

static void append_suspect(void *context, uint64_t content_hash, skh_suspect_state_t state)
{
	char content[20];

	(void)g_snprintf(content, sizeof(content), "%016" PRIx64, content_hash);
	json_array_append_new(
		context, json_pack("{s:s, s:s}", "content", content, "standing",
				   state == SKH_SUSPECT_STATE_SUSPECT ? "suspect" : "quarantined"));
}

json_t *skh_quarantine_list(skh_quarantine_t *quarantine)
{
	json_t *list = json_array();

	g_mutex_lock(&quarantine->lock);
	skh_suspects_for_each(quarantine->suspects, skh_clock_now_us(), append_suspect, list);
	g_mutex_unlock(&quarantine->lock);
	return list;
}
