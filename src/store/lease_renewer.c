#include "lease_renewer.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"
#include "renewal_schedule.h"

#include <inttypes.h>
#include <pthread.h>

#define PART "election"
/*
 * With the owner's thread, three renewals can be in progress: enough for calls of 0.5 s at the
 * shortest interval that they need (0.15 s), also while the owner makes another call.
 */
#define N_THREADS 2
/* Precision of the overlap; a check costs a few microseconds. */
#define CHECK_INTERVAL_US (25 * SKH_US_PER_MS)
/* Interval of checks without a lease: shorter than the usable time of a new one. */
#define IDLE_CHECK_INTERVAL_US (200 * SKH_US_PER_MS)

struct skh_lease_renewer {
	skh_lease_renewer_options_t options;
	char *endpoint;
	gint n_refs; /* of the owner and of each thread; atomic */
	bool stop_requested;
	bool has_threads; /* used by the owner's thread only */
	GMutex lock;	  /* protects what follows */
	skh_renewal_schedule_t schedule;
	int64_t lease; /* 0 for none */
	int64_t era;
	int64_t call_started_us; /* 0 while the owner's thread is in no call */
	int64_t deadline_us;
};

static void unref(skh_lease_renewer_t *renewer)
{
	if (!g_atomic_int_dec_and_test(&renewer->n_refs))
		return;
	g_mutex_clear(&renewer->lock);
	g_free(renewer->endpoint);
	g_free(renewer);
}

/* Returns the lease if a renewal is due, which then counts as sent at *@sent_us; else 0. */
static int64_t take_due_renewal(skh_lease_renewer_t *renewer, int64_t *sent_us)
{
	int64_t now_us = skh_clock_boot_us();
	int64_t lease = 0;

	g_mutex_lock(&renewer->lock);
	if (renewer->lease != 0 && renewer->call_started_us != 0 &&
	    skh_renewal_is_overlap_due(&renewer->schedule, renewer->call_started_us, now_us)) {
		lease = renewer->lease;
		*sent_us = now_us;
		skh_renewal_record_sent(&renewer->schedule, now_us);
	}
	g_mutex_unlock(&renewer->lock);
	return lease;
}

/* A lease of an earlier era is void even if the store renews it; see skh_store_era(). */
static void record_result(skh_lease_renewer_t *renewer, const skh_store_t *store, int64_t lease,
			  int64_t sent_us, bool has_succeeded)
{
	g_mutex_lock(&renewer->lock);
	skh_renewal_record_duration(&renewer->schedule, skh_clock_boot_us() - sent_us);
	if (has_succeeded && lease == renewer->lease && skh_store_era(store) == renewer->era)
		renewer->deadline_us =
			MAX(renewer->deadline_us, sent_us + renewer->options.usable_us);
	g_mutex_unlock(&renewer->lock);
}

static void renew(skh_lease_renewer_t *renewer, skh_store_t *store, int64_t lease, int64_t sent_us)
{
	int64_t ttl_s = 0;
	skh_error_t err;
	bool has_response = store->ops->lease_renew(store, lease, &ttl_s, &err);

	/* If the lease has expired, the owner's own renewal shows it. */
	record_result(renewer, store, lease, sent_us, has_response && ttl_s > 0);
	if (has_response)
		return;
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	skh_log(SKH_LOG_WARNING, PART, "Overlapping renewal of the coordinator lease failed.",
		"reason=%s", err.text);
}

static bool has_lease(skh_lease_renewer_t *renewer)
{
	bool result;

	g_mutex_lock(&renewer->lock);
	result = renewer->lease != 0;
	g_mutex_unlock(&renewer->lock);
	return result;
}

static void *run_renewals(void *argument)
{
	skh_lease_renewer_t *renewer = argument;
	skh_store_t *store = renewer->options.dialect->open_store(
		renewer->endpoint, renewer->options.store_timeout_ms);

	while (!__atomic_load_n(&renewer->stop_requested, __ATOMIC_ACQUIRE)) {
		int64_t sent_us = 0;
		int64_t lease = take_due_renewal(renewer, &sent_us);

		if (lease != 0)
			renew(renewer, store, lease, sent_us);
		else
			skh_clock_sleep(has_lease(renewer) ? CHECK_INTERVAL_US
							   : IDLE_CHECK_INTERVAL_US,
					&renewer->stop_requested);
	}
	store->ops->close(store);
	unref(renewer);
	return NULL;
}

static void start_threads(skh_lease_renewer_t *renewer)
{
	for (int i = 0; i < N_THREADS; i++) {
		pthread_t thread;

		g_atomic_int_inc(&renewer->n_refs);
		if (pthread_create(&thread, NULL, run_renewals, renewer) == 0)
			(void)pthread_detach(thread);
		else /* The owner has a reference. */
			(void)g_atomic_int_add(&renewer->n_refs, -1);
	}
}

skh_lease_renewer_t *skh_lease_renewer_new(const skh_lease_renewer_options_t *options)
{
	skh_lease_renewer_t *renewer = g_new0(skh_lease_renewer_t, 1);

	renewer->options = *options;
	renewer->endpoint = g_strdup(options->endpoint);
	renewer->n_refs = 1;
	renewer->schedule.usable_us = options->usable_us;
	g_mutex_init(&renewer->lock);
	return renewer;
}

void skh_lease_renewer_free(skh_lease_renewer_t *renewer)
{
	__atomic_store_n(&renewer->stop_requested, true, __ATOMIC_RELEASE);
	unref(renewer);
}

void skh_lease_renewer_set_lease(skh_lease_renewer_t *renewer, int64_t lease, int64_t era)
{
	g_mutex_lock(&renewer->lock);
	if (lease != renewer->lease || era != renewer->era)
		renewer->deadline_us = 0;
	renewer->lease = lease;
	renewer->era = era;
	g_mutex_unlock(&renewer->lock);
	/* Most processes never hold the lease. */
	if (lease != 0 && !renewer->has_threads) {
		renewer->has_threads = true;
		start_threads(renewer);
	}
}

void skh_lease_renewer_begin_call(skh_lease_renewer_t *renewer, bool is_renewal)
{
	int64_t now_us = skh_clock_boot_us();

	g_mutex_lock(&renewer->lock);
	renewer->call_started_us = now_us;
	if (is_renewal)
		skh_renewal_record_sent(&renewer->schedule, now_us);
	g_mutex_unlock(&renewer->lock);
}

void skh_lease_renewer_end_call(skh_lease_renewer_t *renewer)
{
	g_mutex_lock(&renewer->lock);
	renewer->call_started_us = 0;
	g_mutex_unlock(&renewer->lock);
}

void skh_lease_renewer_record_renewal(skh_lease_renewer_t *renewer, int64_t sent_us)
{
	g_mutex_lock(&renewer->lock);
	skh_renewal_record_duration(&renewer->schedule, skh_clock_boot_us() - sent_us);
	g_mutex_unlock(&renewer->lock);
}

int64_t skh_lease_renewer_wait_us(skh_lease_renewer_t *renewer)
{
	int64_t wait_us;

	g_mutex_lock(&renewer->lock);
	wait_us = skh_renewal_wait_us(&renewer->schedule, skh_clock_boot_us());
	g_mutex_unlock(&renewer->lock);
	return wait_us;
}

int64_t skh_lease_renewer_deadline_us(skh_lease_renewer_t *renewer)
{
	int64_t deadline_us;

	g_mutex_lock(&renewer->lock);
	deadline_us = renewer->deadline_us;
	g_mutex_unlock(&renewer->lock);
	return deadline_us;
}
