#include "feed.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#include <pthread.h>
#include <string.h>

#define PART "feed"
/* After a failed call: the first pause, doubled up to the last, jittered. */
#define PAUSE_FIRST_US (60 * SKH_US_PER_MS)
#define PAUSE_LAST_US  (400 * SKH_US_PER_MS)
/* Without an answer for this long the store counts as away. */
#define AWAY_US	       (1500 * SKH_US_PER_MS)
#define REGISTER_TTL_S 12
#define RENEW_US       (4 * SKH_US_PER_S)

struct skh_feed {
	skh_feed_options_t options;
	pthread_t thread;
	bool stop;
	int64_t fresh_us; /* atomic */
	GMutex lock;
	GHashTable *peers;     /* id -> address; under the lock */
	uint64_t peer_changes; /* counted from 1; under the lock */
	GHashTable *notices;   /* service -> text; under the lock */
	uint64_t notice_changes;
	/* Of the thread alone: */
	skh_roster_builder_t *record;
	int64_t after; /* revision up to which changes are known; 0: read all */
	int64_t config_revision;
	int64_t answered_us; /* last answer of the store */
	int64_t back_us;     /* the store was away and came back then */
	int64_t pause_us;
	bool away;
	int64_t lease;
	int64_t renew_us;
	bool roster_changed;
	bool has_roster;
};

static bool is_stopped(const skh_feed_t *feed)
{
	return __atomic_load_n(&feed->stop, __ATOMIC_ACQUIRE);
}

static void note_failure(skh_feed_t *feed, const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	feed->pause_us =
		feed->pause_us == 0 ? PAUSE_FIRST_US : MIN(feed->pause_us * 2, PAUSE_LAST_US);
	if (!feed->away && skh_clock_boot_us() - feed->answered_us > AWAY_US) {
		feed->away = true;
		skh_log(SKH_LOG_WARNING, PART, "Store is lost.",
			"revision=%" G_GINT64_FORMAT " reason=%s", feed->after, err->text);
	}
	skh_clock_sleep(feed->pause_us / 2 + (int64_t)(skh_random_u64() % (uint64_t)feed->pause_us),
			&feed->stop);
}

static void note_answer(skh_feed_t *feed)
{
	int64_t now_us = skh_clock_boot_us();

	/* Entries may also have lapsed while this process slept or could not ask. */
	if (now_us - feed->answered_us > AWAY_US && feed->answered_us != 0) {
		feed->back_us = now_us;
		skh_log(SKH_LOG_INFO, PART, "Store is back.", "silent_ms=%" G_GINT64_FORMAT,
			(now_us - feed->answered_us) / SKH_US_PER_MS);
	}
	feed->away = false;
	feed->pause_us = 0;
	feed->answered_us = now_us;
}

/* Entries that vanish shortly after an outage may have lapsed in it. */
static bool may_have_lapsed(const skh_feed_t *feed)
{
	return feed->back_us != 0 && skh_clock_boot_us() - feed->back_us < SKH_ROSTER_GRACE_US;
}

static void adopt_config(skh_feed_t *feed, const char *value, int64_t revision)
{
	skh_error_t err;
	skh_routing_t *routing;

	if (revision <= feed->config_revision)
		return;
	routing = feed->options.dialect->read_config(skh_chunk_from_string(value), &err);
	if (!routing) {
		skh_metrics_add(SKH_COUNT_CONFIG_FAILED, 1);
		skh_log(SKH_LOG_ERROR, PART, "Configuration not read.",
			"revision=%" G_GINT64_FORMAT " reason=%s", revision, err.text);
		return;
	}
	routing->revision = revision;
	feed->config_revision = revision;
	skh_metrics_add(SKH_COUNT_CONFIG_ADOPTED, 1);
	skh_log(SKH_LOG_INFO, PART, "Configuration in force.",
		"version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT " routes=%u",
		routing->version, revision, routing->routes->len);
	skh_board_publish_routing(feed->options.board, routing);
}

static void take_server(skh_feed_t *feed, const char *id, const char *value)
{
	skh_error_t err;
	skh_server_t *server =
		value ? feed->options.dialect->read_server(id, skh_chunk_from_string(value), &err)
		      : NULL;
	bool changed;

	if (value && !server)
		skh_log(SKH_LOG_WARNING, PART, "Server entry not read.", "server=%s reason=%s", id,
			err.text);
	if (server)
		changed = skh_roster_builder_put(feed->record, server);
	else
		changed = skh_roster_builder_remove(
			feed->record, id, !value && may_have_lapsed(feed), skh_clock_boot_us());
	feed->roster_changed = feed->roster_changed || changed;
}

static void take_peer(skh_feed_t *feed, const char *id, const char *value)
{
	g_mutex_lock(&feed->lock);
	if (value)
		(void)g_hash_table_replace(feed->peers, g_strdup(id), g_strdup(value));
	else
		(void)g_hash_table_remove(feed->peers, id);
	feed->peer_changes++;
	g_mutex_unlock(&feed->lock);
}

static void take_notice(skh_feed_t *feed, const char *service, const char *value)
{
	g_mutex_lock(&feed->lock);
	if (value)
		(void)g_hash_table_replace(feed->notices, g_strdup(service), g_strdup(value));
	else
		(void)g_hash_table_remove(feed->notices, service);
	feed->notice_changes++;
	g_mutex_unlock(&feed->lock);
}

/* @value is NULL for a deletion. */
static void take_change(skh_feed_t *feed, const char *key, const char *value, int64_t revision)
{
	const char *servers = feed->options.dialect->servers_prefix;
	const char *peers = feed->options.peers_prefix;

	if (value && strcmp(key, feed->options.dialect->config_key) == 0)
		adopt_config(feed, value, revision);
	else if (g_str_has_prefix(key, servers))
		take_server(feed, key + strlen(servers), value);
	else if (g_str_has_prefix(key, peers))
		take_peer(feed, key + strlen(peers), value);
	else if (g_str_has_prefix(key, SKH_RANK_NOTICE_PREFIX))
		take_notice(feed, key + strlen(SKH_RANK_NOTICE_PREFIX), value);
}

static bool read_config(skh_feed_t *feed, int64_t *revision, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	skh_kv_pairs_t pairs;

	if (!store->ops->range(store, feed->options.dialect->config_key, false, &pairs, err))
		return false;
	*revision = pairs.store_revision;
	if (pairs.count > 0)
		adopt_config(feed, pairs.list[0].value, pairs.list[0].mod_revision);
	skh_kv_pairs_clear(&pairs);
	return true;
}

static bool read_prefix(skh_feed_t *feed, const char *prefix, skh_kv_pairs_t *pairs,
			skh_error_t *err)
{
	skh_store_t *store = feed->options.store;

	if (!store->ops->range(store, prefix, true, pairs, err))
		return false;
	for (size_t i = 0; i < pairs->count; i++)
		take_change(feed, pairs->list[i].key, pairs->list[i].value,
			    pairs->list[i].mod_revision);
	return true;
}

static void retain_listed(skh_feed_t *feed, const skh_kv_pairs_t *pairs)
{
	size_t skip = strlen(feed->options.dialect->servers_prefix);
	g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < pairs->count; i++)
		(void)g_hash_table_add(ids, pairs->list[i].key + skip);
	if (skh_roster_builder_retain(feed->record, ids, may_have_lapsed(feed),
				      skh_clock_boot_us()))
		feed->roster_changed = true;
}

/* Those that were taken back unseen are not in the store any more. */
static void forget_notices(skh_feed_t *feed)
{
	g_mutex_lock(&feed->lock);
	g_hash_table_remove_all(feed->notices);
	feed->notice_changes++;
	g_mutex_unlock(&feed->lock);
}

/* Reads everything, as at the start and when the store's history is gone. */
static bool read_all(skh_feed_t *feed, skh_error_t *err)
{
	skh_kv_pairs_t servers;
	skh_kv_pairs_t peers;
	skh_kv_pairs_t notices;
	int64_t revision;

	if (!read_config(feed, &revision, err))
		return false;
	note_answer(feed);
	if (!read_prefix(feed, feed->options.dialect->servers_prefix, &servers, err))
		return false;
	retain_listed(feed, &servers);
	skh_kv_pairs_clear(&servers);
	if (!read_prefix(feed, feed->options.peers_prefix, &peers, err))
		return false;
	skh_kv_pairs_clear(&peers);
	forget_notices(feed);
	if (!read_prefix(feed, SKH_RANK_NOTICE_PREFIX, &notices, err))
		return false;
	skh_kv_pairs_clear(&notices);
	feed->after = revision;
	feed->has_roster = true;
	feed->roster_changed = true;
	return true;
}

/* Several versions may have come at once: only the newest is read. */
static void take_changes(skh_feed_t *feed, const skh_kv_changes_t *changes)
{
	const skh_kv_change_t *config = NULL;

	for (size_t i = 0; i < changes->count; i++) {
		const skh_kv_change_t *change = &changes->list[i];

		if (strcmp(change->key, feed->options.dialect->config_key) == 0)
			config = change;
		else
			take_change(feed, change->key, change->value, change->mod_revision);
	}
	if (config)
		take_change(feed, config->key, config->value, config->mod_revision);
}

static bool read_changes(skh_feed_t *feed, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	skh_kv_changes_t changes;

	if (!store->ops->poll_changes(store, "", feed->after, feed->options.poll_timeout_ms,
				      &changes, err)) {
		if (err->kind == SKH_STORE_COMPACTED) {
			skh_log(SKH_LOG_INFO, PART, "Store history is gone; reading all.",
				"revision=%" G_GINT64_FORMAT, feed->after);
			feed->after = 0;
			note_answer(feed);
			return true;
		}
		return false;
	}
	note_answer(feed);
	take_changes(feed, &changes);
	feed->after = MAX(feed->after, changes.store_revision);
	skh_kv_changes_clear(&changes);
	return true;
}

static void publish(skh_feed_t *feed, int64_t config_before)
{
	if (skh_roster_builder_expire(feed->record, skh_clock_boot_us()))
		feed->roster_changed = true;
	if (feed->roster_changed && feed->has_roster)
		skh_board_publish_roster(feed->options.board,
					 skh_roster_builder_snapshot(feed->record, feed->after));
	if (feed->roster_changed || feed->config_revision != config_before)
		feed->options.notify(feed->options.context);
	feed->roster_changed = false;
}

static bool put_own_key(skh_feed_t *feed, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	g_autofree char *key = g_strconcat(feed->options.peers_prefix, feed->options.own_id, NULL);
	skh_txn_op_t put = { SKH_TXN_OP_PUT, key, feed->options.own_address, 0 };
	const skh_txn_t txn = { .ops = &put, .n_ops = 1 };
	skh_txn_result_t result;

	if (!store->ops->lease_grant(store, REGISTER_TTL_S, &feed->lease, err))
		return false;
	put.lease = feed->lease;
	if (!store->ops->txn(store, &txn, &result, err)) {
		feed->lease = 0;
		return false;
	}
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/* Other gateways find this one by its key; a failure is tried again a period later. */
static void register_own(skh_feed_t *feed)
{
	skh_store_t *store = feed->options.store;
	int64_t now_us = skh_clock_boot_us();
	int64_t ttl_s = 0;
	skh_error_t err = { .kind = SKH_OK };
	bool done;

	if (!feed->options.own_id || now_us < feed->renew_us)
		return;
	feed->renew_us = now_us + RENEW_US;
	if (feed->lease != 0) {
		done = store->ops->lease_renew(store, feed->lease, &ttl_s, &err);
		if (done && ttl_s > 0)
			return;
		if (done)
			feed->lease = 0;
	}
	done = feed->lease == 0 ? put_own_key(feed, &err) : done;
	if (!done)
		skh_log(SKH_LOG_INFO, PART, "Not registered.", "reason=%s", err.text);
}

static void *run(void *argument)
{
	skh_feed_t *feed = argument;

	while (!is_stopped(feed)) {
		int64_t asked_us = skh_clock_boot_us();
		int64_t config_before = feed->config_revision;
		skh_error_t err;
		bool read_from_start = feed->after == 0;

		if (read_from_start ? !read_all(feed, &err) : !read_changes(feed, &err)) {
			publish(feed, config_before);
			note_failure(feed, &err);
			continue;
		}
		publish(feed, config_before);
		/* Only what is on the board by now is vouched for, as of the question. */
		if (feed->after != 0)
			__atomic_store_n(&feed->fresh_us, asked_us, __ATOMIC_RELEASE);
		register_own(feed);
		if (feed->after != 0)
			skh_clock_sleep(asked_us + feed->options.poll_interval_us -
						skh_clock_boot_us(),
					&feed->stop);
	}
	return NULL;
}

skh_feed_t *skh_feed_start(const skh_feed_options_t *options)
{
	skh_feed_t *feed = g_new0(skh_feed_t, 1);

	feed->options = *options;
	feed->record = skh_roster_builder_new();
	feed->peer_changes = 1;
	feed->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	feed->notice_changes = 1;
	feed->notices = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_mutex_init(&feed->lock);
	(void)pthread_create(&feed->thread, NULL, run, feed);
	return feed;
}

void skh_feed_stop(skh_feed_t *feed)
{
	__atomic_store_n(&feed->stop, true, __ATOMIC_RELEASE);
	(void)pthread_join(feed->thread, NULL);
	skh_roster_builder_free(feed->record);
	g_hash_table_unref(feed->peers);
	g_hash_table_unref(feed->notices);
	g_mutex_clear(&feed->lock);
	g_free(feed);
}

int64_t skh_feed_fresh_as_of_us(const skh_feed_t *feed)
{
	return __atomic_load_n(&feed->fresh_us, __ATOMIC_ACQUIRE);
}

/* Under the lock. */
static GPtrArray *list_peers(const skh_feed_t *feed)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;
	gpointer address;

	g_hash_table_iter_init(&iter, feed->peers);
	while (g_hash_table_iter_next(&iter, &id, &address)) {
		if (!feed->options.own_id || strcmp(id, feed->options.own_id) != 0)
			g_ptr_array_add(list, g_strdup(address));
	}
	return list;
}

GPtrArray *skh_feed_get_gateways(skh_feed_t *feed, uint64_t *seen)
{
	GPtrArray *list = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->peer_changes != *seen)
		list = list_peers(feed);
	*seen = feed->peer_changes;
	g_mutex_unlock(&feed->lock);
	return list;
}

char *skh_feed_get_rank_notices(skh_feed_t *feed, uint64_t *seen)
{
	GString *all = NULL;
	GHashTableIter iter;
	gpointer text;

	g_mutex_lock(&feed->lock);
	if (feed->notice_changes != *seen) {
		all = g_string_new(NULL);
		g_hash_table_iter_init(&iter, feed->notices);
		while (g_hash_table_iter_next(&iter, NULL, &text))
			g_string_append(all, text);
	}
	*seen = feed->notice_changes;
	g_mutex_unlock(&feed->lock);
	return all ? g_string_free(all, FALSE) : NULL;
}
