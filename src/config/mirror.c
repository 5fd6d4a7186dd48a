#include "mirror.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#include <pthread.h>

#define PART	       "mirror"
#define MIN_BACKOFF_US (200 * SKH_US_PER_MS)
#define MAX_BACKOFF_US (5 * SKH_US_PER_S)

struct skh_mirror {
	skh_store_t *store;
	char *prefix;
	skh_mirror_fn callback;
	void *context;
	pthread_t thread;
	GMutex lock;
	GCond wake;
	bool is_stopping;
	bool interrupt_watch; /* ends the watch and the back-off */
	bool callback_failed; /* @callback asked for another read */
	GHashTable *pairs;    /* used by the mirror's thread only */
	int64_t backoff_us;
};

static bool reload(skh_mirror_t *mirror, int64_t *store_revision)
{
	skh_kv_pairs_t pairs;
	skh_error_t err;

	if (!mirror->store->ops->range(mirror->store, mirror->prefix, true, &pairs, &err)) {
		skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
		skh_log(SKH_LOG_WARNING, PART,
			"A read from the key-value service failed; the last copy is kept.",
			"prefix=%s reason=%s", mirror->prefix, err.text);
		return false;
	}
	g_hash_table_remove_all(mirror->pairs);
	for (size_t i = 0; i < pairs.count; i++)
		g_hash_table_insert(mirror->pairs, g_strdup(pairs.list[i].key),
				    g_strdup(pairs.list[i].value));
	*store_revision = pairs.store_revision;
	skh_kv_pairs_clear(&pairs);
	return mirror->callback(mirror->context, mirror->pairs);
}

static bool apply_watch_event(void *context, const char *key, const char *value,
			      int64_t mod_revision)
{
	skh_mirror_t *mirror = context;

	(void)mod_revision;
	if (value)
		g_hash_table_replace(mirror->pairs, g_strdup(key), g_strdup(value));
	else
		g_hash_table_remove(mirror->pairs, key);
	mirror->callback_failed = !mirror->callback(mirror->context, mirror->pairs);
	return !mirror->callback_failed;
}

/* Waits for 50 % to 150 % of the back-off; a refresh or a stop ends the wait early. */
static void wait_backoff(skh_mirror_t *mirror)
{
	int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)mirror->backoff_us);
	int64_t deadline_us = skh_clock_now_us() + mirror->backoff_us / 2 + jitter_us;

	mirror->backoff_us = MIN(mirror->backoff_us * 2, MAX_BACKOFF_US);
	g_mutex_lock(&mirror->lock);
	while (!mirror->interrupt_watch &&
	       g_cond_wait_until(&mirror->wake, &mirror->lock, deadline_us))
		continue;
	g_mutex_unlock(&mirror->lock);
}

static void *run_mirror(void *argument)
{
	skh_mirror_t *mirror = argument;

	while (!__atomic_load_n(&mirror->is_stopping, __ATOMIC_ACQUIRE)) {
		int64_t store_revision = 0;
		skh_error_t err;

		__atomic_store_n(&mirror->interrupt_watch, false, __ATOMIC_RELEASE);
		mirror->callback_failed = false;
		if (reload(mirror, &store_revision)) {
			mirror->backoff_us = MIN_BACKOFF_US;
			(void)mirror->store->ops->watch(mirror->store, mirror->prefix,
							store_revision + 1, apply_watch_event,
							mirror, &mirror->interrupt_watch, &err);
		}
		if (!__atomic_load_n(&mirror->is_stopping, __ATOMIC_ACQUIRE))
			wait_backoff(mirror);
	}
	return NULL;
}

skh_mirror_t *skh_mirror_start(skh_store_t *store, const char *prefix, skh_mirror_fn callback,
			       void *context)
{
	skh_mirror_t *mirror = g_new0(skh_mirror_t, 1);

	mirror->store = store;
	mirror->prefix = g_strdup(prefix);
	mirror->callback = callback;
	mirror->context = context;
	mirror->backoff_us = MIN_BACKOFF_US;
	mirror->pairs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_mutex_init(&mirror->lock);
	g_cond_init(&mirror->wake);
	(void)pthread_create(&mirror->thread, NULL, run_mirror, mirror);
	return mirror;
}

void skh_mirror_refresh(skh_mirror_t *mirror)
{
	g_mutex_lock(&mirror->lock);
	__atomic_store_n(&mirror->interrupt_watch, true, __ATOMIC_RELEASE);
	g_cond_signal(&mirror->wake);
	g_mutex_unlock(&mirror->lock);
}

void skh_mirror_stop(skh_mirror_t *mirror)
{
	__atomic_store_n(&mirror->is_stopping, true, __ATOMIC_RELEASE);
	skh_mirror_refresh(mirror);
	(void)pthread_join(mirror->thread, NULL);
	g_hash_table_unref(mirror->pairs);
	g_cond_clear(&mirror->wake);
	g_mutex_clear(&mirror->lock);
	g_free(mirror->prefix);
	g_free(mirror);
}
