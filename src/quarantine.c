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

#define PART	       "quarantine"
#define FOLDER	       "suspects/"
#define BATCH	       64
#define MAX_PENDING    4096
#define RETRY_US       (1 * SKH_US_PER_S)
#define LEASE_PERIOD_S 600

/* One write that the key-value service has not confirmed yet. */
typedef struct change {
	char *key;
	bool remove;
} change_t;

struct skh_quarantine {
	skh_store_t *store;
	char *prefix;
	skh_mirror_t *mirror;
	pthread_t thread;
	GMutex lock;
	GCond wake;
	bool stop;
	skh_suspects_t *suspects;
	GQueue pending;		  /* change_t, oldest first */
	skh_period_lease_t lease; /* writer thread only */
};

static void free_change(gpointer item)
{
	change_t *change = item;

	g_free(change->key);
	g_free(change);
}

static bool on_records(void *context, GHashTable *pairs)
{
	skh_quarantine_t *quarantine = context;
	int64_t now_us = skh_clock_now_us();
	size_t skip = strlen(quarantine->prefix);
	GHashTableIter iter;
	gpointer key;

	g_mutex_lock(&quarantine->lock);
	skh_suspects_begin_snapshot(quarantine->suspects);
	g_hash_table_iter_init(&iter, pairs);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		uint64_t request;
		uint64_t crash;

		if (sscanf((const char *)key + skip, "%16" SCNx64 "/%16" SCNx64, &request,
			   &crash) == 2)
			skh_suspects_add_snapshot_crash(quarantine->suspects, request, crash,
							now_us);
	}
	skh_suspects_end_snapshot(quarantine->suspects);
	g_mutex_unlock(&quarantine->lock);
	return true;
}

/* Takes the oldest changes of differing keys; a second change of a key waits. */
static size_t take_batch(skh_quarantine_t *quarantine, change_t **batch)
{
	g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
	change_t *oldest;
	size_t n = 0;

	while (n < BATCH && (oldest = g_queue_peek_head(&quarantine->pending)) != NULL &&
	       g_hash_table_add(keys, oldest->key))
		batch[n++] = g_queue_pop_head(&quarantine->pending);
	return n;
}

static bool write_batch(skh_quarantine_t *quarantine, change_t *const *batch, size_t n)
{
	skh_txn_op_t ops[BATCH];
	skh_txn_t txn = { .ops = ops, .n_ops = n };
	skh_txn_result_t result;
	skh_error_t err;
	bool written = skh_period_lease_ensure(&quarantine->lease, quarantine->store,
					       skh_clock_now_us(), &err);

	for (size_t i = 0; i < n; i++)
		ops[i] = (skh_txn_op_t){ batch[i]->remove ? SKH_TXN_OP_DELETE : SKH_TXN_OP_PUT,
					 batch[i]->key, "", quarantine->lease.id };
	written = written && quarantine->store->ops->txn(quarantine->store, &txn, &result, &err);
	if (written)
		skh_kv_pairs_clear(&result.pairs);
	else
		skh_log(SKH_LOG_WARNING, PART, "Suspects can't be made known.", "reason=%s",
			err.text);
	return written;
}

/* Puts back what was not written, in its order, and waits. */
static void put_back(skh_quarantine_t *quarantine, change_t **batch, size_t n)
{
	int64_t until_us =
		skh_clock_now_us() + RETRY_US + (int64_t)(skh_random_u64() % (uint64_t)RETRY_US);

	g_mutex_lock(&quarantine->lock);
	while (n > 0)
		g_queue_push_head(&quarantine->pending, batch[--n]);
	while (!quarantine->stop &&
	       g_cond_wait_until(&quarantine->wake, &quarantine->lock, until_us))
		continue;
	g_mutex_unlock(&quarantine->lock);
}

static void *run(void *argument)
{
	skh_quarantine_t *quarantine = argument;
	change_t *batch[BATCH];

	for (;;) {
		bool stop;
		size_t n;

		g_mutex_lock(&quarantine->lock);
		while (g_queue_is_empty(&quarantine->pending) && !quarantine->stop)
			g_cond_wait(&quarantine->wake, &quarantine->lock);
		stop = quarantine->stop;
		n = take_batch(quarantine, batch);
		g_mutex_unlock(&quarantine->lock);
		if (n > 0 && !write_batch(quarantine, batch, n))
			put_back(quarantine, batch, n);
		else
			for (size_t i = 0; i < n; i++)
				free_change(batch[i]);
		/* What is unwritten at a stop is lost with the process, as at a crash. */
		if (stop)
			return NULL;
	}
}

skh_quarantine_t *skh_quarantine_start(skh_store_t *store, const char *store_prefix)
{
	skh_quarantine_t *quarantine = g_new0(skh_quarantine_t, 1);

	quarantine->store = store;
	quarantine->prefix = g_strconcat(store_prefix, FOLDER, NULL);
	quarantine->suspects = skh_suspects_new();
	quarantine->lease.period_s = LEASE_PERIOD_S;
	quarantine->lease.min_ttl_s = SKH_SUSPECT_EXPIRY_S;
	g_mutex_init(&quarantine->lock);
	g_cond_init(&quarantine->wake);
	g_queue_init(&quarantine->pending);
	quarantine->mirror = skh_mirror_start(store, quarantine->prefix, on_records, quarantine);
	(void)pthread_create(&quarantine->thread, NULL, run, quarantine);
	return quarantine;
}

void skh_quarantine_stop(skh_quarantine_t *quarantine)
{
	g_mutex_lock(&quarantine->lock);
	quarantine->stop = true;
	g_cond_signal(&quarantine->wake);
	g_mutex_unlock(&quarantine->lock);
	(void)pthread_join(quarantine->thread, NULL);
	skh_mirror_stop(quarantine->mirror);
	g_queue_clear_full(&quarantine->pending, free_change);
	skh_suspects_free(quarantine->suspects);
	g_cond_clear(&quarantine->wake);
	g_mutex_clear(&quarantine->lock);
	g_free(quarantine->prefix);
	g_free(quarantine);
}

skh_suspect_state_t skh_quarantine_get_state(skh_quarantine_t *quarantine, uint64_t request)
{
	skh_suspect_state_t standing;

	g_mutex_lock(&quarantine->lock);
	standing = skh_suspects_get_state(quarantine->suspects, request, skh_clock_now_us());
	g_mutex_unlock(&quarantine->lock);
	return standing;
}

/* The caller holds the lock. */
static void push_change(skh_quarantine_t *quarantine, uint64_t request, uint64_t crash, bool remove)
{
	change_t *change;

	if (g_queue_get_length(&quarantine->pending) >= MAX_PENDING)
		return;
	change = g_new0(change_t, 1);
	change->key =
		g_strdup_printf("%s%016" PRIx64 "/%016" PRIx64, quarantine->prefix, request, crash);
	change->remove = remove;
	g_queue_push_tail(&quarantine->pending, change);
	g_cond_signal(&quarantine->wake);
}

void skh_quarantine_record_crash(skh_quarantine_t *quarantine, uint64_t request, uint64_t crash)
{
	bool is_new;

	g_mutex_lock(&quarantine->lock);
	is_new =
		skh_suspects_record_crash(quarantine->suspects, request, crash, skh_clock_now_us());
	if (is_new)
		push_change(quarantine, request, crash, false);
	g_mutex_unlock(&quarantine->lock);
	if (!is_new)
		return;
	skh_metrics_add(SKH_COUNT_ACCUSED, 1);
	skh_log(SKH_LOG_WARNING, PART, "A request ran when its backend server crashed.",
		"content=%016" PRIx64 " crash=%016" PRIx64, request, crash);
}

bool skh_quarantine_clear(skh_quarantine_t *quarantine, uint64_t request)
{
	uint64_t crashes[SKH_SUSPECT_QUARANTINE_CRASHES];
	size_t n;

	g_mutex_lock(&quarantine->lock);
	n = skh_suspects_clear(quarantine->suspects, request, crashes);
	for (size_t i = 0; i < n; i++)
		push_change(quarantine, request, crashes[i], true);
	g_mutex_unlock(&quarantine->lock);
	return n > 0;
}

static void list_one(void *context, uint64_t request, skh_suspect_state_t standing)
{
	char content[20];

	(void)g_snprintf(content, sizeof(content), "%016" PRIx64, request);
	json_array_append_new(
		context,
		json_pack("{s:s, s:s}", "content", content, "standing",
			  standing == SKH_SUSPECT_STATE_SUSPECT ? "suspect" : "quarantined"));
}

json_t *skh_quarantine_list(skh_quarantine_t *quarantine)
{
	json_t *list = json_array();

	g_mutex_lock(&quarantine->lock);
	skh_suspects_for_each(quarantine->suspects, skh_clock_now_us(), list_one, list);
	g_mutex_unlock(&quarantine->lock);
	return list;
}
