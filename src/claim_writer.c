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
/* A record must outlast the last moment at which its key is accepted. */
#define RECORD_HOLD_S                                                                              \
	(SKH_CLAIM_MAX_KEY_AGE_MS / SKH_MS_PER_S + 4 * SKH_CLAIM_MAX_CLOCK_SKEW_MS / SKH_MS_PER_S)

typedef struct submitted {
	uint64_t id;
	char *key;
	char *value;
	int64_t expected;
} submitted_t;

struct skh_claim_writer {
	skh_store_t *store;
	int64_t interval_us;
	pthread_t thread;
	GMutex lock;
	GCond wake;
	GQueue queue; /* submitted_t */
	GQueue done;  /* skh_claim_result_t */
	bool stop;
	int event_fd;
	skh_period_lease_t lease; /* claimer thread only */
};

static void free_submitted(gpointer item)
{
	submitted_t *submitted = item;

	g_free(submitted->key);
	g_free(submitted->value);
	g_free(submitted);
}

void skh_claim_result_free(skh_claim_result_t *done)
{
	g_free(done->found_value);
	g_free(done);
}

static void free_done(gpointer item)
{
	skh_claim_result_free(item);
}

/* Takes queued writes of differing keys; a second write of a key waits for the first. */
static size_t take_batch(skh_claim_writer_t *claimer, submitted_t **batch)
{
	g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
	GList *item = claimer->queue.head;
	size_t n = 0;

	while (item && n < SKH_BATCH_MAX_WRITES) {
		GList *next = item->next;
		submitted_t *submitted = item->data;

		if (g_hash_table_add(keys, submitted->key)) {
			batch[n++] = submitted;
			g_queue_delete_link(&claimer->queue, item);
		}
		item = next;
	}
	return n;
}

static void report(skh_claim_writer_t *claimer, submitted_t **batch, skh_write_t *writes, size_t n)
{
	const uint64_t one = 1;

	g_mutex_lock(&claimer->lock);
	for (size_t i = 0; i < n; i++) {
		skh_claim_result_t *done = g_new0(skh_claim_result_t, 1);

		done->id = batch[i]->id;
		done->state = writes[i].state;
		done->mod_revision = writes[i].mod_revision;
		done->found_value = writes[i].found_value;
		done->err = writes[i].err;
		g_queue_push_tail(&claimer->done, done);
		free_submitted(batch[i]);
	}
	g_mutex_unlock(&claimer->lock);
	if (write(claimer->event_fd, &one, sizeof(one)) != (ssize_t)sizeof(one))
		skh_log(SKH_LOG_ERROR, PART, "Waking the sidecar failed.", "errno=%d", errno);
}

static void run_batch(skh_claim_writer_t *claimer, submitted_t **batch, size_t n)
{
	skh_write_t writes[SKH_BATCH_MAX_WRITES] = { 0 };
	skh_error_t err;
	bool leased =
		skh_period_lease_ensure(&claimer->lease, claimer->store, skh_clock_now_us(), &err);

	for (size_t i = 0; i < n; i++) {
		writes[i].key = batch[i]->key;
		writes[i].value = batch[i]->value;
		writes[i].expected_revision = batch[i]->expected;
		writes[i].lease_id = claimer->lease.id;
		if (leased)
			continue;
		writes[i].state = SKH_WRITE_FAILED;
		/* Without a lease no record was written, whatever became of the grant. */
		(void)skh_error_set(&writes[i].err, SKH_STORE_UNAVAILABLE, "%s", err.text);
	}
	if (leased)
		skh_batch_run(claimer->store, writes, n);
	skh_metrics_add(SKH_COUNT_CLAIMS, n);
	skh_metrics_add(SKH_COUNT_CLAIM_BATCHES, 1);
	report(claimer, batch, writes, n);
}

static void *run(void *argument)
{
	skh_claim_writer_t *claimer = argument;
	submitted_t *batch[SKH_BATCH_MAX_WRITES];

	for (;;) {
		size_t n;

		g_mutex_lock(&claimer->lock);
		while (g_queue_is_empty(&claimer->queue) && !claimer->stop)
			g_cond_wait(&claimer->wake, &claimer->lock);
		n = take_batch(claimer, batch);
		g_mutex_unlock(&claimer->lock);
		if (n == 0)
			return NULL;
		run_batch(claimer, batch, n);
		(void)usleep((useconds_t)claimer->interval_us);
	}
}

skh_claim_writer_t *skh_claim_writer_start(skh_store_t *store, int64_t interval_us)
{
	skh_claim_writer_t *claimer = g_new0(skh_claim_writer_t, 1);

	claimer->store = store;
	claimer->interval_us = interval_us;
	claimer->lease.period_s = LEASE_PERIOD_S;
	claimer->lease.min_ttl_s = RECORD_HOLD_S;
	claimer->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	g_mutex_init(&claimer->lock);
	g_cond_init(&claimer->wake);
	g_queue_init(&claimer->queue);
	g_queue_init(&claimer->done);
	(void)pthread_create(&claimer->thread, NULL, run, claimer);
	return claimer;
}

void skh_claim_writer_stop(skh_claim_writer_t *claimer)
{
	g_mutex_lock(&claimer->lock);
	claimer->stop = true;
	g_cond_signal(&claimer->wake);
	g_mutex_unlock(&claimer->lock);
	(void)pthread_join(claimer->thread, NULL);
	g_queue_clear_full(&claimer->queue, free_submitted);
	g_queue_clear_full(&claimer->done, free_done);
	(void)close(claimer->event_fd);
	g_cond_clear(&claimer->wake);
	g_mutex_clear(&claimer->lock);
	g_free(claimer);
}

void skh_claim_writer_submit(skh_claim_writer_t *claimer, uint64_t id, const char *key,
			     const char *value, int64_t expected)
{
	submitted_t *submitted = g_new0(submitted_t, 1);

	submitted->id = id;
	submitted->key = g_strdup(key);
	submitted->value = g_strdup(value);
	submitted->expected = expected;
	g_mutex_lock(&claimer->lock);
	g_queue_push_tail(&claimer->queue, submitted);
	g_cond_signal(&claimer->wake);
	g_mutex_unlock(&claimer->lock);
}

int skh_claim_writer_fd(const skh_claim_writer_t *claimer)
{
	return claimer->event_fd;
}

skh_claim_result_t *skh_claim_writer_poll_result(skh_claim_writer_t *claimer)
{
	skh_claim_result_t *done;
	uint64_t count;

	g_mutex_lock(&claimer->lock);
	done = g_queue_pop_head(&claimer->done);
	/* Read under the lock, so that a wake-up for a later result is not lost. */
	if (!done && read(claimer->event_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		skh_log(SKH_LOG_ERROR, PART, "Reading the wake-up failed.", "errno=%d", errno);
	g_mutex_unlock(&claimer->lock);
	return done;
}
