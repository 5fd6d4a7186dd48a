#include "election.h"

#include "clock.h"
#include "feed.h"
#include "fence.h"
#include "group_id.h"
#include "lease_renewer.h"
#include "log.h"
#include "members_publisher.h"
#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

#define PART "election"
/* Short because a crashed coordinator is not replaced before its lease has expired. */
#define LEASE_TTL_S 1
/* The holder stops acting this long before the lease can expire in the store. */
#define LEASE_MARGIN_US	 (200 * SKH_US_PER_MS)
#define WATCH_TIMEOUT_MS 20000
#define RETRY_DELAY_US	 (120 * SKH_US_PER_MS)
/*
 * Store requests have a cost even if they fail, and every rank sends them, so the retry delay
 * doubles up to this limit.
 */
#define MAX_RETRY_DELAY_US    (1 * SKH_US_PER_S)
#define CONFIG_RETRY_DELAY_US (600 * SKH_US_PER_MS)
/* A renewal that takes longer is logged. */
#define SLOW_RENEWAL_US (150 * SKH_US_PER_MS)
/* Minimum interval between reads of the server list. */
#define MIN_SERVERS_INTERVAL_US (1 * SKH_US_PER_S)

struct skh_election {
	skh_election_options_t options;
	char *service;
	char *group;
	char *key;
	char *slow_ranks_key;
	char *members_key;
	char *value; /* address and a random number that is unique to this process */
	pthread_t thread;
	bool stop_requested;
	bool is_abandoned; /* set before @stop_requested */
	GMutex lock;
	skh_election_view_t view; /* protected by the lock */
	GPtrArray *servers;	  /* "host:port" strings; protected by the lock */
	char *notice;		  /* notice to publish; protected by the lock */
	skh_lease_renewer_t *renewer;
	char *members;	     /* members notice to publish; protected by the lock */
	char *found_members; /* members notice of an earlier coordinator, or NULL; likewise */
	bool wants_servers;  /* the server list is needed; protected by the lock */
	/* Used by the thread only: */
	int64_t retry_delay_us; /* delay after the next failure to follow the lease */
	int64_t lease_id;
	int64_t revision;	 /* store revision that was read last */
	int64_t era;		 /* of the store when it was read last; -1 before */
	int64_t servers_read_us; /* time of the last read of the server list */
	char *published_notice;	 /* notice in the store under this lease, or "" */
	skh_members_publisher_t publisher;
	bool must_read_members; /* the members notice was not read since the lease was acquired */
};

static bool is_stopped(const skh_election_t *election)
{
	return __atomic_load_n(&election->stop_requested, __ATOMIC_ACQUIRE);
}

/* Adds jitter because all ranks see the expiry of the lease at the same time. */
static void sleep_with_jitter(const skh_election_t *election, int64_t delay_us)
{
	int64_t jitter_us = (int64_t)(skh_random_u64() % (uint64_t)delay_us) / 2;

	skh_clock_sleep(delay_us * 3 / 4 + jitter_us, &election->stop_requested);
}

static void record_store_failure(const char *message, const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	skh_log(SKH_LOG_WARNING, PART, message, "reason=%s", err->text);
}

static void set_coordinator_address(skh_election_t *election, const char *value)
{
	size_t len = value ? strcspn(value, " ") : 0;
	char address[sizeof(election->view.coordinator_address)] = "";

	if (len < sizeof(address) && value)
		memcpy(address, value, len);
	g_mutex_lock(&election->lock);
	if (strcmp(election->view.coordinator_address, address) != 0)
		skh_log(SKH_LOG_INFO, PART, "Coordinator address changed.",
			"address=%s revision=%" PRId64, *address ? address : "-",
			election->revision);
	(void)g_strlcpy(election->view.coordinator_address, address, sizeof(address));
	g_mutex_unlock(&election->lock);
}

/* @lease_revision is 0 if the lease is not held. */
static void set_lease_state(skh_election_t *election, int64_t lease_revision,
			    int64_t lease_deadline_us)
{
	int64_t fence = lease_revision == 0
				? 0
				: skh_fence_of_lease(skh_store_era(election->options.store),
						     lease_revision);

	skh_lease_renewer_set_lease(election->renewer, fence ? election->lease_id : 0,
				    skh_store_era(election->options.store));
	g_mutex_lock(&election->lock);
	if (election->view.is_holder != (fence != 0))
		skh_log(SKH_LOG_INFO, PART,
			fence ? "Coordinator lease acquired." : "Coordinator lease lost.",
			"fence=%" PRId64, fence ? fence : election->view.fence);
	election->view.is_holder = fence != 0;
	election->view.fence = fence;
	election->view.lease_revision = lease_revision;
	election->view.lease_deadline_us = lease_deadline_us;
	g_mutex_unlock(&election->lock);
}

static bool read_engine_spec(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	const skh_dialect_t *dialect = election->options.dialect;
	skh_kv_pairs_t pairs;
	skh_error_t err;
	skh_routing_t *routing = NULL;
	int32_t index = -1;

	if (!store->ops->range(store, dialect->config_key, false, &pairs, &err)) {
		record_store_failure("Could not read the configuration from the store; retrying.",
				     &err);
		return false;
	}
	if (pairs.count > 0)
		routing = dialect->read_config(skh_chunk_from_string(pairs.list[0].value), &err);
	skh_kv_pairs_clear(&pairs);
	if (routing)
		index = skh_routing_find_service(routing, election->service);
	if (index >= 0) {
		g_mutex_lock(&election->lock);
		election->view.engine_spec =
			skh_routing_get_service(routing, (uint32_t)index)->engine_spec;
		election->view.has_engine_spec = true;
		g_mutex_unlock(&election->lock);
	}
	skh_routing_free(routing);
	return index >= 0;
}

/* Reads the lease holder; sets *@is_held to whether there is one. */
static bool read_holder(skh_election_t *election, bool *is_held, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	skh_kv_pairs_t pairs;

	if (!store->ops->range(store, election->key, false, &pairs, err))
		return false;
	election->revision = pairs.store_revision;
	*is_held = pairs.count > 0;
	set_coordinator_address(election, *is_held ? pairs.list[0].value : NULL);
	/*
	 * The value is unique to this process, so if the response to the acquisition was lost, this
	 * read shows whether the acquisition succeeded. The deadline expires at once so that the
	 * holder acts only after it has renewed the lease.
	 */
	if (*is_held && strcmp(pairs.list[0].value, election->value) == 0 &&
	    election->lease_id != 0)
		set_lease_state(election, pairs.list[0].create_revision, skh_clock_boot_us() + 1);
	skh_kv_pairs_clear(&pairs);
	return true;
}

/* Returns false only if a request failed, not if another process acquired the lease first. */
static bool acquire_lease(skh_election_t *election, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	const skh_txn_compare_t compare = { election->key, 0 };
	skh_txn_op_t put_op = { SKH_TXN_OP_PUT, election->key, election->value, 0 };
	const skh_txn_t txn = { .compares = &compare, .n_compares = 1, .ops = &put_op, .n_ops = 1 };
	skh_txn_result_t result;
	int64_t sent_us = skh_clock_boot_us();

	if (!store->ops->lease_grant(store, LEASE_TTL_S, &election->lease_id, err))
		return false;
	put_op.lease = election->lease_id;
	if (!store->ops->txn(store, &txn, &result, err))
		return false;
	if (result.succeeded) {
		/* A notice that was written under an earlier lease has expired with it. */
		g_free(election->published_notice);
		election->published_notice = g_strdup("");
		skh_members_publisher_reset(&election->publisher);
		election->must_read_members = true;
		set_lease_state(election, result.pairs.store_revision,
				sent_us + LEASE_TTL_S * SKH_US_PER_S - LEASE_MARGIN_US);
		set_coordinator_address(election, election->value);
	}
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/*
 * In a new era of the store, revisions and lease ids are given out again: a lease of the old era is
 * lost even if the store renews it, as it may now be that of another process.
 */
static bool has_era_changed(skh_election_t *election)
{
	int64_t era = skh_store_era(election->options.store);
	bool has_changed = election->era >= 0 && era != election->era;

	election->era = era;
	if (!has_changed)
		return false;
	skh_log(SKH_LOG_WARNING, PART, "Store came back from an older copy; its leases are void.",
		"era=%" PRId64 " revision=%" PRId64, era, election->revision);
	election->lease_id = 0;
	election->revision = 0;
	set_lease_state(election, 0, 0);
	return true;
}

/* Waits for a change of the holder with a long poll, so that an expiry is noticed soon. */
static bool watch_holder(skh_election_t *election, bool *is_held, skh_error_t *err)
{
	skh_store_t *store = election->options.store;
	skh_kv_changes_t changes;

	if (!store->ops->poll_changes(store, election->key, election->revision, WATCH_TIMEOUT_MS,
				      &changes, err)) {
		if (err->kind == SKH_STORE_COMPACTED)
			return read_holder(election, is_held, err);
		return false;
	}
	election->revision = MAX(election->revision, changes.store_revision);
	for (size_t i = 0; i < changes.count; i++) {
		/* A watch is by prefix, and other writers may have a key that begins like ours. */
		if (strcmp(changes.list[i].key, election->key) != 0)
			continue;
		*is_held = changes.list[i].value != NULL;
		set_coordinator_address(election, changes.list[i].value);
	}
	skh_kv_changes_clear(&changes);
	return true;
}

/*
 * Waits while the lease is held, then tries to acquire it. *@is_holder_known and *@is_held keep
 * between calls what was read last.
 */
static void follow_lease(skh_election_t *election, bool *is_holder_known, bool *is_held)
{
	skh_error_t err;
	bool succeeded = *is_holder_known ? true : read_holder(election, is_held, &err);

	*is_holder_known = succeeded;
	if (succeeded && *is_held)
		succeeded = watch_holder(election, is_held, &err);
	if (succeeded && !*is_held) {
		/* All ranks see the expiry at once; the jittered delay spreads their attempts. */
		sleep_with_jitter(election, RETRY_DELAY_US);
		succeeded = read_holder(election, is_held, &err) &&
			    (*is_held || acquire_lease(election, &err));
		*is_holder_known = false;
	}
	if (succeeded) {
		election->retry_delay_us = RETRY_DELAY_US;
		return;
	}
	record_store_failure("Could not follow the coordinator lease; retrying.", &err);
	*is_holder_known = false;
	sleep_with_jitter(election, election->retry_delay_us);
	election->retry_delay_us = MIN(election->retry_delay_us * 2, MAX_RETRY_DELAY_US);
}

static bool is_server_read_due(skh_election_t *election)
{
	bool wanted;

	g_mutex_lock(&election->lock);
	wanted = election->wants_servers;
	g_mutex_unlock(&election->lock);
	return wanted && skh_clock_boot_us() - election->servers_read_us > MIN_SERVERS_INTERVAL_US;
}

/* The server list also contains the engines of ranks whose process sends no reports. */
static void read_servers(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	const skh_dialect_t *dialect = election->options.dialect;
	GPtrArray *addresses = g_ptr_array_new_with_free_func(g_free);
	skh_kv_pairs_t pairs;
	skh_error_t err;

	election->servers_read_us = skh_clock_boot_us();
	if (!store->ops->range(store, dialect->servers_prefix, true, &pairs, &err)) {
		record_store_failure("Could not read the server list from the store; retrying.",
				     &err);
		g_ptr_array_unref(addresses);
		return;
	}
	for (size_t i = 0; i < pairs.count; i++) {
		skh_server_t *server = dialect->read_server(
			pairs.list[i].key, skh_chunk_from_string(pairs.list[i].value), &err);

		if (server && strcmp(server->service, election->service) == 0)
			g_ptr_array_add(addresses,
					g_strdup_printf("%s:%u", server->host, server->port));
		skh_server_free(server);
	}
	skh_kv_pairs_clear(&pairs);
	g_mutex_lock(&election->lock);
	g_ptr_array_unref(election->servers);
	election->servers = addresses;
	g_mutex_unlock(&election->lock);
}

GPtrArray *skh_election_get_servers(skh_election_t *election, bool keep_updated)
{
	GPtrArray *servers;

	g_mutex_lock(&election->lock);
	election->wants_servers = keep_updated;
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

/* Writes the notice if it has changed; the next renewal retries after a lost response. */
static void publish_notice(skh_election_t *election, int64_t lease_revision)
{
	skh_store_t *store = election->options.store;
	g_autofree char *notice = copy_notice(election);
	const skh_txn_compare_t holder_compare = { election->key, lease_revision };
	const skh_txn_op_t op = { *notice ? SKH_TXN_OP_PUT : SKH_TXN_OP_DELETE,
				  election->slow_ranks_key, notice, election->lease_id };
	const skh_txn_t txn = {
		.compares = &holder_compare, .n_compares = 1, .ops = &op, .n_ops = 1
	};
	skh_txn_result_t result;
	skh_error_t err;

	if (strcmp(notice, election->published_notice) == 0)
		return;
	if (!store->ops->txn(store, &txn, &result, &err)) {
		record_store_failure("Could not publish the notice to gateways; retrying.", &err);
		return;
	}
	skh_kv_pairs_clear(&result.pairs);
	g_free(election->published_notice);
	election->published_notice = g_steal_pointer(&notice);
	skh_log(SKH_LOG_INFO, PART, "Published the notice to gateways.",
		"lease_revision=%" PRId64 " bytes=%zu", lease_revision,
		strlen(election->published_notice));
}

static void read_members(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	skh_kv_pairs_t pairs;
	skh_error_t err;

	if (!store->ops->range(store, election->members_key, false, &pairs, &err)) {
		record_store_failure("Could not read the members of the group; retrying.", &err);
		return;
	}
	election->must_read_members = false;
	g_mutex_lock(&election->lock);
	g_free(election->found_members);
	election->found_members = pairs.count > 0 ? g_strdup(pairs.list[0].value) : NULL;
	g_mutex_unlock(&election->lock);
	skh_kv_pairs_clear(&pairs);
}

/* Makes at most one store call, as the lease must be renewed in time. */
static void exchange_members(skh_election_t *election, int64_t lease_revision)
{
	const skh_members_target_t target = { election->members_key, election->key,
					      lease_revision };
	g_autofree char *text = NULL;
	bool has_called;
	skh_error_t err;

	if (election->must_read_members) {
		read_members(election);
		return;
	}
	g_mutex_lock(&election->lock);
	text = g_strdup(election->members);
	g_mutex_unlock(&election->lock);
	if (!skh_members_publisher_step(&election->publisher, election->options.store, &target,
					text, skh_clock_boot_us(), &has_called, &err))
		record_store_failure("Could not publish the members of the group; retrying.", &err);
}

/* Returns false if the lease was not renewed. */
static bool send_renewal(skh_election_t *election)
{
	skh_store_t *store = election->options.store;
	int64_t sent_us = skh_clock_boot_us();
	int64_t ttl_s = 0;
	skh_error_t err;
	bool has_response = store->ops->lease_renew(store, election->lease_id, &ttl_s, &err);

	skh_lease_renewer_record_renewal(election->renewer, sent_us);
	if (!has_response) {
		record_store_failure("Could not renew the coordinator lease; retrying.", &err);
		return false;
	}
	if (has_era_changed(election))
		return false;
	if (ttl_s <= 0) {
		set_lease_state(election, 0, 0);
		return false;
	}
	if (skh_clock_boot_us() - sent_us > SLOW_RENEWAL_US)
		skh_log(SKH_LOG_INFO, PART, "Renewal of the coordinator lease was slow.",
			"took_ms=%" PRId64, (skh_clock_boot_us() - sent_us) / SKH_US_PER_MS);
	g_mutex_lock(&election->lock);
	election->view.lease_deadline_us = sent_us + ttl_s * SKH_US_PER_S - LEASE_MARGIN_US;
	g_mutex_unlock(&election->lock);
	return true;
}

/* Renews the lease and makes the other calls of a holder, during which renewals may overlap. */
static void act_as_holder(skh_election_t *election, int64_t lease_revision)
{
	bool has_renewed;
	bool has_read_servers = false;
	int64_t wait_us = RETRY_DELAY_US;

	skh_lease_renewer_begin_call(election->renewer, true);
	has_renewed = send_renewal(election);
	if (has_renewed) {
		publish_notice(election, lease_revision);
		exchange_members(election, lease_revision);
		has_read_servers = is_server_read_due(election);
	}
	if (has_read_servers)
		read_servers(election);
	skh_lease_renewer_end_call(election->renewer);
	if (has_renewed)
		wait_us = has_read_servers ? 0 : skh_lease_renewer_wait_us(election->renewer);
	if (wait_us > 0)
		sleep_with_jitter(election, wait_us);
}

/* Comparing with the revision ensures that the key is deleted only if this process holds it. */
static void release_lease(skh_election_t *election, skh_store_t *store)
{
	const skh_txn_op_t delete_op = { SKH_TXN_OP_DELETE, election->key, NULL, 0 };
	skh_election_view_t view;
	skh_txn_compare_t holder_compare = { election->key, 0 };
	skh_txn_t txn = {
		.compares = &holder_compare, .n_compares = 1, .ops = &delete_op, .n_ops = 1
	};
	skh_txn_result_t result;
	skh_error_t err;

	skh_election_get_view(election, &view);
	if (!view.is_holder)
		return;
	holder_compare.mod_revision = view.lease_revision;
	if (store->ops->txn(store, &txn, &result, &err))
		skh_kv_pairs_clear(&result.pairs);
	else
		record_store_failure("Could not release the coordinator lease; it will expire.",
				     &err);
}

static void free_election(skh_election_t *election)
{
	election->options.store->ops->close(election->options.store);
	skh_lease_renewer_free(election->renewer);
	g_ptr_array_unref(election->servers);
	g_mutex_clear(&election->lock);
	g_free(election->service);
	g_free(election->group);
	g_free(election->key);
	g_free(election->slow_ranks_key);
	g_free(election->members_key);
	g_free(election->members);
	g_free(election->found_members);
	skh_members_publisher_clear(&election->publisher);
	g_free(election->value);
	g_free(election->notice);
	g_free(election->published_notice);
	g_free(election);
}

static void *run_election(void *argument)
{
	skh_election_t *election = argument;
	g_autofree char *group = skh_group_id_escape(election->group);
	g_autofree char *log_context = g_strconcat("group=", group, NULL);
	bool is_holder_known = false;
	bool is_held = false;

	skh_log_set_context(log_context);

	while (!is_stopped(election) && !read_engine_spec(election))
		sleep_with_jitter(election, CONFIG_RETRY_DELAY_US);
	while (!is_stopped(election)) {
		skh_election_view_t view;

		skh_election_get_view(election, &view);
		/* Renewals are retried past the deadline; one TTL later the lease is considered lost. */
		if (view.is_holder &&
		    skh_clock_boot_us() > view.lease_deadline_us + LEASE_TTL_S * SKH_US_PER_S)
			set_lease_state(election, 0, 0);
		else if (view.is_holder)
			act_as_holder(election, view.lease_revision);
		else
			follow_lease(election, &is_holder_known, &is_held);
		if (has_era_changed(election))
			is_holder_known = false;
	}
	if (__atomic_load_n(&election->is_abandoned, __ATOMIC_ACQUIRE)) {
		release_lease(election, election->options.store);
		free_election(election);
	}
	return NULL;
}

static char *make_lease_key(const char *service, const char *group)
{
	return skh_group_id_key(SKH_GROUP_ELECTION_PREFIX, service, group, "/coordinator");
}

static char *make_members_key(const char *service, const char *group)
{
	return skh_group_id_key(SKH_GROUP_MEMBERS_PREFIX, service, group, "");
}

static char *make_slow_ranks_key(const char *service, const char *group)
{
	return skh_group_id_key(SKH_SLOW_RANKS_PREFIX, service, group, "");
}

size_t skh_election_max_key_bytes(const char *service, const char *group)
{
	g_autofree char *lease_key = make_lease_key(service, group);
	g_autofree char *members_key = make_members_key(service, group);
	g_autofree char *slow_ranks_key = make_slow_ranks_key(service, group);

	return MAX(strlen(lease_key), MAX(strlen(members_key), strlen(slow_ranks_key)));
}

skh_election_t *skh_election_start(const skh_election_options_t *options)
{
	skh_election_t *election = g_new0(skh_election_t, 1);
	const skh_lease_renewer_options_t renewer_options = {
		.dialect = options->dialect,
		.endpoint = options->store_endpoint,
		.store_timeout_ms = options->store_timeout_ms,
		.usable_us = LEASE_TTL_S * SKH_US_PER_S - LEASE_MARGIN_US,
	};

	election->options = *options;
	election->era = -1;
	election->servers = g_ptr_array_new_with_free_func(g_free);
	election->retry_delay_us = RETRY_DELAY_US;
	election->notice = g_strdup("");
	election->members = g_strdup("");
	election->published_notice = g_strdup("");
	election->service = g_strdup(options->service);
	election->group = g_strdup(options->group);
	election->key = make_lease_key(options->service, options->group);
	election->members_key = make_members_key(options->service, options->group);
	election->slow_ranks_key = make_slow_ranks_key(options->service, options->group);
	election->renewer = skh_lease_renewer_new(&renewer_options);
	election->value = g_strdup_printf("%s %016" PRIx64, options->address, skh_random_u64());
	g_mutex_init(&election->lock);
	(void)pthread_create(&election->thread, NULL, run_election, election);
	return election;
}

void skh_election_stop(skh_election_t *election)
{
	__atomic_store_n(&election->stop_requested, true, __ATOMIC_RELEASE);
	release_lease(election, election->options.release_store);
}

void skh_election_abandon(skh_election_t *election)
{
	(void)pthread_detach(election->thread);
	__atomic_store_n(&election->is_abandoned, true, __ATOMIC_RELEASE);
	/* The thread may free the election at once. */
	__atomic_store_n(&election->stop_requested, true, __ATOMIC_RELEASE);
}

void skh_election_get_view(skh_election_t *election, skh_election_view_t *view)
{
	g_mutex_lock(&election->lock);
	*view = election->view;
	g_mutex_unlock(&election->lock);
	if (view->is_holder)
		view->lease_deadline_us = MAX(view->lease_deadline_us,
					      skh_lease_renewer_deadline_us(election->renewer));
}

void skh_election_set_slow_ranks(skh_election_t *election, const char *text)
{
	g_mutex_lock(&election->lock);
	if (strcmp(election->notice, text) != 0) {
		g_free(election->notice);
		election->notice = g_strdup(text);
	}
	g_mutex_unlock(&election->lock);
}

void skh_election_set_members(skh_election_t *election, const char *text)
{
	g_mutex_lock(&election->lock);
	if (strcmp(election->members, text) != 0) {
		g_free(election->members);
		election->members = g_strdup(text);
	}
	g_mutex_unlock(&election->lock);
}

char *skh_election_take_members(skh_election_t *election)
{
	char *text;

	g_mutex_lock(&election->lock);
	text = g_steal_pointer(&election->found_members);
	g_mutex_unlock(&election->lock);
	return text;
}

void skh_election_resign(skh_election_t *election)
{
	set_lease_state(election, 0, 0);
}
