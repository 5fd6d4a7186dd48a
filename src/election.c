#include "election.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#define PART "election"
/* A coordinator that died is missed for as long as its lease. */
#define LEASE_S	 1
#define RENEW_US (280 * SKH_US_PER_MS)
/* It stops acting this long before the lease can lapse at the store. */
#define MARGIN_US (200 * SKH_US_PER_MS)
#define WATCH_MS  20000
#define PAUSE_US  (120 * SKH_US_PER_MS)
/* Each failed call is paid for, by all ranks: they ask less and less often. */
#define PAUSE_MOST_US (1 * SKH_US_PER_S)
#define START_US      (600 * SKH_US_PER_MS)
/* A renewal that takes longer is worth a line. */
#define SLOW_US (150 * SKH_US_PER_MS)
/* The list is read no more often while it is wanted. */
#define SERVERS_US (1 * SKH_US_PER_S)

struct skh_election {
	skh_election_options_t options;
	char *key;
	char *value; /* address and a number of this process */
	pthread_t thread;
	bool stop;
	GMutex lock;
	skh_election_view_t view; /* under the lock */
	GPtrArray *servers;	  /* addresses; under the lock */
	char *notice;		  /* to be told; under the lock */
	bool wants_servers;
	/* Of the thread alone: */
	int64_t pause_us; /* after the next failure to follow */
	int64_t lease;
	int64_t revision;   /* of the store, as last read */
	int64_t servers_us; /* when they were read */
	char *told;	    /* the notice in the store under this lease, or "" */
};

static bool is_stopped(const skh_election_t *election)
{
	return __atomic_load_n(&election->stop, __ATOMIC_ACQUIRE);
}

/* Jittered: all ranks see the same lapse at once. */
static void pause_thread(const skh_election_t *election, int64_t pause_us)
{
	int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)pause_us) / 2;

	skh_clock_sleep(pause_us * 3 / 4 + jitter_us, &election->stop);
}

static void fail(const char *what, const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	skh_log(SKH_LOG_WARNING, PART, what, "reason=%s", err->text);
}

static void set_coordinator(skh_election_t *election, const char *value)
{
	size_t len = value ? strcspn(value, " ") : 0;
	char address[sizeof(election->view.coordinator_address)] = "";

	if (len < sizeof(address) && value)
		memcpy(address, value, len);
	g_mutex_lock(&election->lock);
	if (strcmp(election->view.coordinator_address, address) != 0)
		skh_log(SKH_LOG_INFO, PART, "Coordinator known.", "address=%s revision=%" PRId64,
			*address ? address : "-", election->revision);
	(void)g_strlcpy(election->view.coordinator_address, address, sizeof(address));
	g_mutex_unlock(&election->lock);
}

static void set_hold(skh_election_t *election, int64_t fence, int64_t till_us)
{
	g_mutex_lock(&election->lock);
	if (election->view.is_holder != (fence != 0))
		skh_log(SKH_LOG_INFO, PART, fence ? "Lease taken." : "Lease lost.",
			"fence=%" PRId64, fence ? fence : election->view.fence);
	election->view.is_holder = fence != 0;
	election->view.fence = fence;
	election->view.lease_deadline_us = till_us;
	g_mutex_unlock(&election->lock);
}

static bool read_shape(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	const skh_dialect_t *dialect = election->options.dialect;
	skh_kv_pairs_t pairs;
	skh_error_t err;
	skh_routing_t *routing = NULL;
	int32_t index = -1;

	if (!store->ops->range(store, dialect->config_key, false, &pairs, &err)) {
		fail("Configuration not read.", &err);
		return false;
	}
	if (pairs.count > 0)
		routing = dialect->read_config(skh_chunk_from_string(pairs.list[0].value), &err);
	skh_kv_pairs_clear(&pairs);
	if (routing)
		index = skh_routing_find_service(routing, election->options.service);
	if (index >= 0) {
		g_mutex_lock(&election->lock);
		election->view.engine_spec =
			skh_routing_get_service(routing, (uint32_t)index)->engine;
		election->view.has_engine_spec = true;
		g_mutex_unlock(&election->lock);
	}
	skh_routing_free(routing);
	return index >= 0;
}

/* Reads who holds the lease; *@taken tells whether anybody does. */
static bool read_holder(skh_election_t *election, bool *taken, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	skh_kv_pairs_t pairs;

	if (!store->ops->range(store, election->key, false, &pairs, err))
		return false;
	election->revision = pairs.store_revision;
	*taken = pairs.count > 0;
	set_coordinator(election, *taken ? pairs.list[0].value : NULL);
	/* An answer that was lost is settled here: the value is this process's alone. */
	if (*taken && strcmp(pairs.list[0].value, election->value) == 0 && election->lease != 0)
		set_hold(election, pairs.list[0].create_revision, skh_clock_boot_us() + 1);
	skh_kv_pairs_clear(&pairs);
	return true;
}

static bool take_lease(skh_election_t *election, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	const skh_txn_compare_t compare = { election->key, 0 };
	skh_txn_op_t put = { SKH_TXN_OP_PUT, election->key, election->value, 0 };
	const skh_txn_t txn = { .compares = &compare, .n_compares = 1, .ops = &put, .n_ops = 1 };
	skh_txn_result_t result;
	int64_t asked_us = skh_clock_boot_us();

	if (!store->ops->lease_grant(store, LEASE_S, &election->lease, err))
		return false;
	put.lease = election->lease;
	if (!store->ops->txn(store, &txn, &result, err))
		return false;
	if (result.succeeded) {
		/* What was told under an earlier lease is gone with it. */
		g_free(election->told);
		election->told = g_strdup("");
		set_hold(election, result.pairs.store_revision,
			 asked_us + LEASE_S * SKH_US_PER_S - MARGIN_US);
		set_coordinator(election, election->value);
	}
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/* Waits for the holder to change; with a margin, so that a lapse is seen soon. */
static bool watch_holder(skh_election_t *election, bool *taken, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	skh_kv_changes_t changes;

	if (!store->ops->poll_changes(store, election->key, election->revision, WATCH_MS, &changes,
				      err)) {
		if (err->kind == SKH_STORE_COMPACTED)
			return read_holder(election, taken, err);
		return false;
	}
	election->revision = MAX(election->revision, changes.store_revision);
	for (size_t i = 0; i < changes.count; i++) {
		*taken = changes.list[i].value != NULL;
		set_coordinator(election, changes.list[i].value);
	}
	skh_kv_changes_clear(&changes);
	return true;
}

static void follow(skh_election_t *election, bool *known, bool *taken)
{
	skh_error_t err;
	bool done = *known ? true : read_holder(election, taken, &err);

	*known = done;
	if (done && *taken)
		done = watch_holder(election, taken, &err);
	if (done && !*taken) {
		/* All ranks see the lapse at once: they try one after the other. */
		pause_thread(election, PAUSE_US);
		done = read_holder(election, taken, &err) && (*taken || take_lease(election, &err));
		*known = false;
	}
	if (done) {
		election->pause_us = PAUSE_US;
		return;
	}
	fail("Lease not followed.", &err);
	*known = false;
	pause_thread(election, election->pause_us);
	election->pause_us = MIN(election->pause_us * 2, PAUSE_MOST_US);
}

static bool wants_servers(skh_election_t *election)
{
	bool wanted;

	g_mutex_lock(&election->lock);
	wanted = election->wants_servers;
	g_mutex_unlock(&election->lock);
	return wanted && skh_clock_boot_us() - election->servers_us > SERVERS_US;
}

/* The list names engines whose own process is silent. */
static void read_servers(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	const skh_dialect_t *dialect = election->options.dialect;
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
	skh_kv_pairs_t pairs;
	skh_error_t err;

	election->servers_us = skh_clock_boot_us();
	if (!store->ops->range(store, dialect->servers_prefix, true, &pairs, &err)) {
		fail("Servers not read.", &err);
		g_ptr_array_unref(found);
		return;
	}
	for (size_t i = 0; i < pairs.count; i++) {
		skh_server_t *server = dialect->read_server(
			pairs.list[i].key, skh_chunk_from_string(pairs.list[i].value), &err);

		if (server && strcmp(server->service, election->options.service) == 0)
			g_ptr_array_add(found,
					g_strdup_printf("%s:%u", server->host, server->port));
		skh_server_free(server);
	}
	skh_kv_pairs_clear(&pairs);
	g_mutex_lock(&election->lock);
	g_ptr_array_unref(election->servers);
	election->servers = found;
	g_mutex_unlock(&election->lock);
}

GPtrArray *skh_election_get_servers(skh_election_t *election, bool wanted)
{
	GPtrArray *servers;

	g_mutex_lock(&election->lock);
	election->wants_servers = wanted;
	servers = g_ptr_array_ref(election->servers);
	g_mutex_unlock(&election->lock);
	return servers;
}

static char *copy_notice(skh_election_t *election)
{
	char *notice;

	g_mutex_lock(&election->lock);
	notice = g_strdup(election->notice);
	g_mutex_unlock(&election->lock);
	return notice;
}

/* Writes the notice if it is another; an answer that was lost is made good by the next try. */
static void tell_notice(skh_election_t *election, int64_t fence)
{
	skh_store_t *store = election->options.store;
	g_autofree char *notice = copy_notice(election);
	const skh_txn_compare_t held = { election->key, fence };
	const skh_txn_op_t op = { *notice ? SKH_TXN_OP_PUT : SKH_TXN_OP_DELETE,
				  (char *)election->options.notice_key, notice, election->lease };
	const skh_txn_t txn = { .compares = &held, .n_compares = 1, .ops = &op, .n_ops = 1 };
	skh_txn_result_t result;
	skh_error_t err;

	if (strcmp(notice, election->told) == 0)
		return;
	if (!store->ops->txn(store, &txn, &result, &err)) {
		fail("Notice not written.", &err);
		return;
	}
	skh_kv_pairs_clear(&result.pairs);
	g_free(election->told);
	election->told = g_steal_pointer(&notice);
	skh_log(SKH_LOG_INFO, PART, "Notice written.", "fence=%" PRId64 " bytes=%zu", fence,
		strlen(election->told));
}

static void renew(skh_election_t *election, int64_t fence)
{
	skh_store_t *store = election->options.store;
	int64_t asked_us = skh_clock_boot_us();
	int64_t ttl_s = 0;
	skh_error_t err;

	if (!store->ops->lease_renew(store, election->lease, &ttl_s, &err)) {
		fail("Lease not renewed.", &err);
		pause_thread(election, PAUSE_US);
		return;
	}
	if (ttl_s <= 0) {
		set_hold(election, 0, 0);
		return;
	}
	if (skh_clock_boot_us() - asked_us > SLOW_US)
		skh_log(SKH_LOG_INFO, PART, "Lease renewed slowly.", "took_ms=%" PRId64,
			(skh_clock_boot_us() - asked_us) / SKH_US_PER_MS);
	g_mutex_lock(&election->lock);
	election->view.lease_deadline_us = asked_us + ttl_s * SKH_US_PER_S - MARGIN_US;
	g_mutex_unlock(&election->lock);
	tell_notice(election, fence);
	if (wants_servers(election))
		read_servers(election);
	else
		pause_thread(election, RENEW_US);
}

static void *run(void *argument)
{
	skh_election_t *election = argument;
	bool known = false;
	bool taken = false;

	while (!is_stopped(election) && !read_shape(election))
		pause_thread(election, START_US);
	while (!is_stopped(election)) {
		skh_election_view_t view;

		skh_election_get_view(election, &view);
		if (view.is_holder &&
		    skh_clock_boot_us() > view.lease_deadline_us + LEASE_S * SKH_US_PER_S)
			set_hold(election, 0, 0);
		else if (view.is_holder)
			renew(election, view.fence);
		else
			follow(election, &known, &taken);
	}
	return NULL;
}

skh_election_t *skh_election_start(const skh_election_options_t *options)
{
	skh_election_t *election = g_new0(skh_election_t, 1);

	election->options = *options;
	election->servers = g_ptr_array_new_with_free_func(g_free);
	election->pause_us = PAUSE_US;
	election->notice = g_strdup("");
	election->told = g_strdup("");
	election->key = g_strconcat(options->prefix, "coordinator", NULL);
	election->value = g_strdup_printf("%s %016" PRIx64, options->address, skh_random_u64());
	g_mutex_init(&election->lock);
	(void)pthread_create(&election->thread, NULL, run, election);
	return election;
}

void skh_election_stop(skh_election_t *election)
{
	skh_store_t *store = election->options.release_store;
	const skh_txn_op_t remove = { SKH_TXN_OP_DELETE, election->key, NULL, 0 };
	skh_election_view_t view;
	skh_txn_compare_t held = { election->key, 0 };
	skh_txn_t txn = { .compares = &held, .n_compares = 1, .ops = &remove, .n_ops = 1 };
	skh_txn_result_t result;
	skh_error_t err;

	__atomic_store_n(&election->stop, true, __ATOMIC_RELEASE);
	skh_election_get_view(election, &view);
	if (!view.is_holder)
		return;
	/* Only this holder's key: its revision is the fence. */
	held.mod_revision = view.fence;
	if (store->ops->txn(store, &txn, &result, &err))
		skh_kv_pairs_clear(&result.pairs);
	else
		fail("Lease not given up; it lapses.", &err);
}

void skh_election_get_view(skh_election_t *election, skh_election_view_t *view)
{
	g_mutex_lock(&election->lock);
	*view = election->view;
	g_mutex_unlock(&election->lock);
}

void skh_election_set_notice(skh_election_t *election, const char *text)
{
	g_mutex_lock(&election->lock);
	if (strcmp(election->notice, text) != 0) {
		g_free(election->notice);
		election->notice = g_strdup(text);
	}
	g_mutex_unlock(&election->lock);
}

void skh_election_resign(skh_election_t *election)
{
	set_hold(election, 0, 0);
}
