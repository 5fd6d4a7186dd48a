#include "claim_writer.h"

#include "clock.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define PART	       "claimer"
#define LEASE_PERIOD_S 600
/* A record must outlive the last moment at which its key is accepted, clock skew included. */
#define RECORD_MIN_TTL_S                                                                           \
	(SKH_CLAIM_MAX_KEY_AGE_MS / SKH_MS_PER_S + 4 * SKH_CLAIM_MAX_CLOCK_SKEW_MS / SKH_MS_PER_S)

typedef struct queued_write {
	uint64_t id;
	char *key;
	char *value;
	int64_t expected_revision;
} queued_write_t;

struct skh_claim_writer {
	skh_store_t *store;
	int64_t interval_us;
	pthread_t thread;
	GMutex lock;
	GCond submitted_or_stopped;
	GQueue submitted; /* queued_write_t, owned */
	GQueue results;	  /* skh_claim_result_t, owned */
	bool is_stopping;
	int event_fd;
	skh_period_lease_t lease; /* used only on the writer's thread */
};

static void free_queued_write(gpointer item)
{
	queued_write_t *queued = item;

	g_free(queued->key);
	g_free(queued->value);
	g_free(queued);
}

void skh_claim_result_free(skh_claim_result_t *result)
{
	g_free(result->found_value);
	g_free(result);
}

static void free_result(gpointer item)
{
	skh_claim_result_free(item);
}

/* Dequeues writes with distinct keys; a second write of a key waits for the next batch. */
static size_t dequeue_batch(skh_claim_writer_t *writer, queued_write_t **batch)
{
	g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
	GList *item = writer->submitted.head;
	size_t n = 0;

	while (item && n < SKH_BATCH_MAX_WRITES) {
		GList *next = item->next;
		queued_write_t *queued = item->data;

		if (g_hash_table_add(keys, queued->key)) {
			batch[n++] = queued;
			g_queue_delete_link(&writer->submitted, item);
		}
		item = next;
	}
	return n;
}

static void push_results(skh_claim_writer_t *writer, queued_write_t **batch, skh_write_t *writes,
			 size_t n)
{
	const uint64_t signal = 1;

	g_mutex_lock(&writer->lock);
	for (size_t i = 0; i < n; i++) {
		skh_claim_result_t *result = g_new0(skh_claim_result_t, 1);

		result->id = batch[i]->id;
		result->state = writes[i].state;
		result->mod_revision = writes[i].mod_revision;
		result->found_value = writes[i].found_value;
		result->err = writes[i].err;
		g_queue_push_tail(&writer->results, result);
		free_queued_write(batch[i]);
	}
	g_mutex_unlock(&writer->lock);
	if (write(writer->event_fd, &signal, sizeof(signal)) != (ssize_t)sizeof(signal))
		skh_log(SKH_LOG_ERROR, PART,
			"Signalling claim results failed; the event loop handles them when it next "
			"wakes up.",
			"errno=%d", errno);
}

static void run_batch(skh_claim_writer_t *writer, queued_write_t **batch, size_t n)
{
	skh_write_t writes[SKH_BATCH_MAX_WRITES] = { 0 };
	skh_error_t err;
	bool has_lease =
		skh_period_lease_ensure(&writer->lease, writer->store, skh_clock_now_us(), &err);

	for (size_t i = 0; i < n; i++) {
		writes[i].key = batch[i]->key;
		writes[i].value = batch[i]->value;
		writes[i].expected_revision = batch[i]->expected_revision;
		writes[i].lease_id = writer->lease.id;
		if (has_lease)
			continue;
		writes[i].state = SKH_WRITE_FAILED;
		/* No record was written, even if the outcome of the lease grant is unknown. */
		(void)skh_error_set(&writes[i].err, SKH_STORE_UNAVAILABLE, "%s", err.text);
	}
	if (has_lease)
		skh_batch_run(writer->store, writes, n);
	skh_metrics_add(SKH_COUNT_CLAIMS, n);
	skh_metrics_add(SKH_COUNT_CLAIM_BATCHES, 1);
	push_results(writer, batch, writes, n);
}

static void *run_writer(void *context)
{
	skh_claim_writer_t *writer = context;
	queued_write_t *batch[SKH_BATCH_MAX_WRITES];

	for (;;) {
		size_t n;

		g_mutex_lock(&writer->lock);
		while (g_queue_is_empty(&writer->submitted) && !writer->is_stopping)
			g_cond_wait(&writer->submitted_or_stopped, &writer->lock);
		n = dequeue_batch(writer, batch);
		g_mutex_unlock(&writer->lock);
		if (n == 0)
			return NULL;
		run_batch(writer, batch, n);
		(void)usleep((useconds_t)writer->interval_us);
	}
}

skh_claim_writer_t *skh_claim_writer_start(skh_store_t *store, int64_t interval_us)
{
	skh_claim_writer_t *writer = g_new0(skh_claim_writer_t, 1);

	writer->store = store;
	writer->interval_us = interval_us;
	writer->lease.period_s = LEASE_PERIOD_S;
	writer->lease.min_ttl_s = RECORD_MIN_TTL_S;
	writer->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	g_mutex_init(&writer->lock);
	g_cond_init(&writer->submitted_or_stopped);
	g_queue_init(&writer->submitted);
	g_queue_init(&writer->results);
	(void)pthread_create(&writer->thread, NULL, run_writer, writer);
	return writer;
}

void skh_claim_writer_stop(skh_claim_writer_t *writer)
{
	g_mutex_lock(&writer->lock);
	writer->is_stopping = true;
	g_cond_signal(&writer->submitted_or_stopped);
	g_mutex_unlock(&writer->lock);
	(void)pthread_join(writer->thread, NULL);
	g_queue_clear_full(&writer->submitted, free_queued_write);
	g_queue_clear_full(&writer->results, free_result);
	(void)close(writer->event_fd);
	g_cond_clear(&writer->submitted_or_stopped);
	g_mutex_clear(&writer->lock);
	g_free(writer);
}

void skh_claim_writer_submit(skh_claim_writer_t *writer, uint64_t id, const char *key,
			     const char *value, int64_t expected_revision)
{
	queued_write_t *queued = g_new0(queued_write_t, 1);

	queued->id = id;
	queued->key = g_strdup(key);
	queued->value = g_strdup(value);
	queued->expected_revision = expected_revision;
	g_mutex_lock(&writer->lock);
	g_queue_push_tail(&writer->submitted, queued);
	g_cond_signal(&writer->submitted_or_stopped);
	g_mutex_unlock(&writer->lock);
}

int skh_claim_writer_fd(const skh_claim_writer_t *writer)
{
	return writer->event_fd;
}

skh_claim_result_t *skh_claim_writer_poll_result(skh_claim_writer_t *writer)
{
	skh_claim_result_t *result;
	uint64_t count;

	g_mutex_lock(&writer->lock);
	result = g_queue_pop_head(&writer->results);
	/* Reset the eventfd under the lock, so that the signal for a later result is not lost. */
	if (!result && read(writer->event_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		skh_log(SKH_LOG_ERROR, PART, "Resetting the claim result eventfd failed.",
			"errno=%d", errno);
	g_mutex_unlock(&writer->lock);
	return result;
}
