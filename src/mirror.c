#include "mirror.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#include <pthread.h>

#define PART	     "mirror"
#define PAUSE_MIN_US (200 * SKH_US_PER_MS)
#define PAUSE_MAX_US (5 * SKH_US_PER_S)

struct skh_mirror {
	skh_store_t *store;
	char *prefix;
	skh_mirror_fn fn;
	void *context;
	pthread_t thread;
	GMutex lock;
	GCond wake;
	bool stop;
	bool break_watch;
	bool failed;	   /* @fn asked to read again */
	GHashTable *pairs; /* mirror thread only */
	int64_t pause_us;
};

static bool read_all(skh_mirror_t *mirror, int64_t *store_revision)
{
	skh_kv_pairs_t pairs;
	skh_error_t err;

	if (!mirror->store->ops->range(mirror->store, mirror->prefix, true, &pairs, &err)) {
		skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
		skh_log(SKH_LOG_WARNING, PART, "The key-value service did not answer.",
			"prefix=%s reason=%s", mirror->prefix, err.text);
		return false;
	}
	g_hash_table_remove_all(mirror->pairs);
	for (size_t i = 0; i < pairs.count; i++)
		g_hash_table_insert(mirror->pairs, g_strdup(pairs.list[i].key),
				    g_strdup(pairs.list[i].value));
	*store_revision = pairs.store_revision;
	skh_kv_pairs_clear(&pairs);
	return mirror->fn(mirror->context, mirror->pairs);
}

static bool on_change(void *context, const char *key, const char *value, int64_t mod_revision)
{
	skh_mirror_t *mirror = context;

	(void)mod_revision;
	if (value)
		g_hash_table_replace(mirror->pairs, g_strdup(key), g_strdup(value));
	else
		g_hash_table_remove(mirror->pairs, key);
	mirror->failed = !mirror->fn(mirror->context, mirror->pairs);
	return !mirror->failed;
}

/* A refresh or a stop during the pause ends it early. */
static void pause_jittered(skh_mirror_t *mirror)
{
	int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)mirror->pause_us);
	int64_t until_us = skh_clock_now_us() + mirror->pause_us / 2 + jitter_us;

	mirror->pause_us = MIN(mirror->pause_us * 2, PAUSE_MAX_US);
	g_mutex_lock(&mirror->lock);
	while (!mirror->break_watch && g_cond_wait_until(&mirror->wake, &mirror->lock, until_us))
		continue;
	g_mutex_unlock(&mirror->lock);
}

static void *run(void *argument)
{
	skh_mirror_t *mirror = argument;

	while (!__atomic_load_n(&mirror->stop, __ATOMIC_ACQUIRE)) {
		int64_t revision = 0;
		skh_error_t err;

		__atomic_store_n(&mirror->break_watch, false, __ATOMIC_RELEASE);
		mirror->failed = false;
		if (read_all(mirror, &revision)) {
			mirror->pause_us = PAUSE_MIN_US;
			(void)mirror->store->ops->watch(mirror->store, mirror->prefix, revision + 1,
							on_change, mirror, &mirror->break_watch,
							&err);
		}
		if (!__atomic_load_n(&mirror->stop, __ATOMIC_ACQUIRE))
			pause_jittered(mirror);
	}
	return NULL;
}

skh_mirror_t *skh_mirror_start(skh_store_t *store, const char *prefix, skh_mirror_fn fn,
			       void *context)
{
	skh_mirror_t *mirror = g_new0(skh_mirror_t, 1);

	mirror->store = store;
	mirror->prefix = g_strdup(prefix);
	mirror->fn = fn;
	mirror->context = context;
	mirror->pause_us = PAUSE_MIN_US;
	mirror->pairs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_mutex_init(&mirror->lock);
	g_cond_init(&mirror->wake);
	(void)pthread_create(&mirror->thread, NULL, run, mirror);
	return mirror;
}

void skh_mirror_refresh(skh_mirror_t *mirror)
{
	g_mutex_lock(&mirror->lock);
	__atomic_store_n(&mirror->break_watch, true, __ATOMIC_RELEASE);
	g_cond_signal(&mirror->wake);
	g_mutex_unlock(&mirror->lock);
}

void skh_mirror_stop(skh_mirror_t *mirror)
{
	__atomic_store_n(&mirror->stop, true, __ATOMIC_RELEASE);
	skh_mirror_refresh(mirror);
	(void)pthread_join(mirror->thread, NULL);
	g_hash_table_unref(mirror->pairs);
	g_cond_clear(&mirror->wake);
	g_mutex_clear(&mirror->lock);
	g_free(mirror->prefix);
	g_free(mirror);
}
