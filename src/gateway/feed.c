#include "feed.h"

#include "clock.h"
#include "group_id.h"
#include "log.h"
#include "metrics.h"

#include <pthread.h>
#include <string.h>

#define PART "feed"
/* Pause after a failed call; doubled with each failure up to the maximum, with jitter. */
#define BACKOFF_MIN_US (60 * SKH_US_PER_MS)
#define BACKOFF_MAX_US (400 * SKH_US_PER_MS)
/* The store counts as unavailable after this time without a response. */
#define UNAVAILABLE_AFTER_US (1500 * SKH_US_PER_MS)
#define REGISTRATION_TTL_S   12
#define RENEW_INTERVAL_US    (4 * SKH_US_PER_S)
/* The longest that the store grants; records count for as long, see crash_suspects.h. */
#define CRASH_LEASE_TTL_S 600
/* A lease is used for new records until then, so that they last for at least half its time. */
#define CRASH_LEASE_USE_US (CRASH_LEASE_TTL_S / 2 * SKH_US_PER_S)
/* Hexadecimal digits of a hash in the key of a crash record. */
#define HASH_DIGITS	   16
#define MAX_RECORDS_A_TXN  32 /* the store's limit for one transaction */
#define MAX_UNREAD_RECORDS 4096
/* Wait of a poll that is to return at once. */
#define NO_WAIT_MS 1
/*
 * The store may have come back at any time since it is last known to have been unavailable. Servers that
 * are not listed are kept for at most this long after that time, but not for less than the minimum
 * after the first response.
 */
#define MAX_GRACE_US (2800 * SKH_US_PER_MS)
#define MIN_GRACE_US (1400 * SKH_US_PER_MS)

struct skh_feed {
	skh_feed_options_t options;
	pthread_t thread;
	bool stop;
	int64_t fresh_as_of_us; /* atomic */
	GMutex lock;
	GHashTable *gateways;	   /* id -> address; guarded by the lock */
	uint64_t gateway_changes;  /* counted from 1; guarded by the lock */
	GHashTable *rank_notices;  /* service -> text; guarded by the lock */
	uint64_t notice_changes;   /* counted from 1; guarded by the lock */
	GPtrArray *read_members;   /* skh_feed_members_t; guarded by the lock */
	GArray *domain_news;	   /* skh_domain_news_t; guarded by the lock */
	bool polls_at_once;	   /* atomic */
	GPtrArray *cold_news;	   /* skh_cold_news_t; guarded by the lock */
	GArray *read_records;	   /* skh_crash_record_t; guarded by the lock */
	GArray *unwritten_records; /* skh_crash_record_t; guarded by the lock */
	/* Used by the feed's thread alone: */
	skh_roster_builder_t *builder;
	int64_t read_revision; /* revision read so far; 0 when a full read is due */
	int64_t config_revision;
	int64_t config_version;	  /* of the configuration in force */
	int64_t era;		  /* of the store when it was read last; -1 before */
	int64_t last_response_us; /* boot clock; 0 before the first response */
	int64_t poll_started_us;  /* start of the call in progress, or of the last one */
	int64_t unavailable_us;	  /* the store was not back yet, if the last call failed; or 0 */
	/* Entries that are removed before then may have expired during an outage; 0 for none. */
	int64_t grace_ends_us;
	int64_t backoff_us;
	bool is_unavailable;
	int64_t lease;
	int64_t next_renew_us;
	int64_t crash_lease; /* of crash records; 0 for none */
	int64_t crash_lease_expires_us;
	bool roster_changed;
	bool domains_changed; /* since the last publication */
	bool has_roster;
	bool has_cold_servers; /* a service names how long its servers are cold */
};

static bool is_stopped(const skh_feed_t *feed)
{
	return __atomic_load_n(&feed->stop, __ATOMIC_ACQUIRE);
}

static void record_failure(skh_feed_t *feed, const skh_error_t *err)
{
	skh_metrics_add(SKH_COUNT_STORE_FAILED, 1);
	/* A rejection shows that the store was not back yet; without a response, it may have been. */
	feed->unavailable_us =
		err->kind == SKH_STORE_UNAVAILABLE ? skh_clock_boot_us() : feed->poll_started_us;
	feed->backoff_us =
		feed->backoff_us == 0 ? BACKOFF_MIN_US : MIN(feed->backoff_us * 2, BACKOFF_MAX_US);
	if (!feed->is_unavailable &&
	    skh_clock_boot_us() - feed->last_response_us > UNAVAILABLE_AFTER_US) {
		feed->is_unavailable = true;
		skh_log(SKH_LOG_WARNING, PART,
			"Store is unavailable; the last known state stays in use.",
			"revision=%" G_GINT64_FORMAT " reason=%s", feed->read_revision, err->text);
	}
	skh_clock_sleep(feed->backoff_us / 2 +
				(int64_t)(skh_random_u64() % (uint64_t)feed->backoff_us),
			&feed->stop);
}

/* If no call has failed, this process was suspended and the time of the store's return is now. */
static int64_t find_grace_end_us(const skh_feed_t *feed, int64_t now_us)
{
	int64_t grace_us = SKH_ROSTER_GRACE_US;

	if (feed->unavailable_us != 0)
		grace_us = CLAMP(feed->unavailable_us + MAX_GRACE_US - now_us, MIN_GRACE_US,
				 SKH_ROSTER_GRACE_US);
	return now_us + grace_us;
}

/* Server entries may have expired; those that are alive are written again. */
static void begin_grace(skh_feed_t *feed, int64_t grace_ends_us)
{
	feed->grace_ends_us = grace_ends_us;
	skh_roster_builder_extend_grace(feed->builder, grace_ends_us);
}

/* @wait_us: time for which the store may have held the call until something changed */
static void record_response(skh_feed_t *feed, int64_t wait_us)
{
	int64_t now_us = skh_clock_boot_us();
	int64_t silent_us =
		now_us - feed->last_response_us - MIN(now_us - feed->poll_started_us, wait_us);

	/* Entries may also have expired while this process was suspended or could not poll. */
	if (silent_us > UNAVAILABLE_AFTER_US && feed->last_response_us != 0) {
		begin_grace(feed, find_grace_end_us(feed, now_us));
		skh_log(SKH_LOG_INFO, PART, "Store is back after an outage.",
			"silent_ms=%" G_GINT64_FORMAT " grace_ms=%" G_GINT64_FORMAT,
			silent_us / SKH_US_PER_MS, (feed->grace_ends_us - now_us) / SKH_US_PER_MS);
	}
	feed->is_unavailable = false;
	feed->backoff_us = 0;
	feed->last_response_us = now_us;
}

static void log_warnings(const skh_routing_t *routing, int64_t revision)
{
	for (guint i = 0; i < routing->warnings->len; i++)
		skh_log(SKH_LOG_WARNING, PART, "Configuration has a value that cannot be used.",
			"revision=%" G_GINT64_FORMAT " reason=%s", revision,
			(const char *)g_ptr_array_index(routing->warnings, i));
}

static bool has_cold_servers(const skh_routing_t *routing)
{
	for (guint i = 0; i < routing->services->len; i++) {
		const skh_service_info_t *service = skh_routing_get_service(routing, i);

		if (service->cold_start_us > 0 && service->cold_per_s > 0.0)
			return true;
	}
	return false;
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
		skh_log(SKH_LOG_ERROR, PART,
			"Configuration is invalid; the previous one stays in force.",
			"revision=%" G_GINT64_FORMAT " reason=%s", revision, err.text);
		return;
	}
	feed->config_revision = revision;
	/* A store that came back from an older copy gets the newer version again from the operator. */
	if (routing->version < feed->config_version) {
		skh_log(SKH_LOG_WARNING, PART,
			"Store has an older configuration; the newer one stays in force.",
			"version=%" G_GINT64_FORMAT " in_force=%" G_GINT64_FORMAT
			" revision=%" G_GINT64_FORMAT,
			routing->version, feed->config_version, revision);
		skh_routing_free(routing);
		return;
	}
	log_warnings(routing, revision);
	routing->revision = revision;
	feed->has_cold_servers = has_cold_servers(routing);
	feed->config_version = routing->version;
	skh_metrics_add(SKH_COUNT_CONFIG_ADOPTED, 1);
	skh_log(SKH_LOG_INFO, PART, "Configuration is in force.",
		"version=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT " routes=%u",
		routing->version, revision, routing->routes->len);
	skh_board_publish_routing(feed->options.board, routing);
}

static void free_cold_news(gpointer data)
{
	skh_cold_news_t *news = data;

	g_free(news->id);
	g_free(news);
}

static GPtrArray *new_cold_news(void)
{
	return g_ptr_array_new_with_free_func(free_cold_news);
}

static void add_cold_news(skh_feed_t *feed, const skh_server_t *server)
{
	skh_cold_news_t *news = g_new(skh_cold_news_t, 1);

	*news = (skh_cold_news_t){ g_strdup(server->id), server->cold_left_us, server->era,
				   server->revision, feed->poll_started_us };
	g_mutex_lock(&feed->lock);
	g_ptr_array_add(feed->cold_news, news);
	g_mutex_unlock(&feed->lock);
}

static void apply_server(skh_feed_t *feed, const char *id, const char *value, int64_t revision)
{
	skh_error_t err;
	skh_server_t *server =
		value ? feed->options.dialect->read_server(id, skh_chunk_from_string(value), &err)
		      : NULL;
	int64_t now_us = skh_clock_boot_us();
	bool changed;

	if (server) {
		server->era = feed->era;
		server->revision = revision;
	}
	if (server && feed->has_cold_servers)
		add_cold_news(feed, server);
	if (value && !server)
		skh_log(SKH_LOG_WARNING, PART,
			"Server entry is invalid; the server gets no new requests.",
			"server=%s reason=%s", id, err.text);
	if (server)
		changed = skh_roster_builder_put(feed->builder, server);
	else
		changed = skh_roster_builder_remove(feed->builder, id,
						    value ? 0 : feed->grace_ends_us, now_us);
	if (!value)
		skh_log(SKH_LOG_INFO, PART,
			now_us < feed->grace_ends_us
				? "Server is no longer listed; its entry may have expired."
				: "Server is no longer listed and gets no new requests.",
			"server=%s revision=%" G_GINT64_FORMAT " kept_ms=%" G_GINT64_FORMAT, id,
			revision,
			changed ? 0 : MAX(feed->grace_ends_us - now_us, 0) / SKH_US_PER_MS);
	feed->roster_changed = feed->roster_changed || changed;
}

static void apply_gateway(skh_feed_t *feed, const char *id, const char *value)
{
	g_mutex_lock(&feed->lock);
	if (value)
		(void)g_hash_table_replace(feed->gateways, g_strdup(id), g_strdup(value));
	else
		(void)g_hash_table_remove(feed->gateways, id);
	feed->gateway_changes++;
	g_mutex_unlock(&feed->lock);
}

static void apply_rank_notice(skh_feed_t *feed, const char *service, const char *value)
{
	g_mutex_lock(&feed->lock);
	if (value)
		(void)g_hash_table_replace(feed->rank_notices, g_strdup(service), g_strdup(value));
	else
		(void)g_hash_table_remove(feed->rank_notices, service);
	feed->notice_changes++;
	g_mutex_unlock(&feed->lock);
}

static void free_members(gpointer data)
{
	skh_feed_members_t *members = data;

	g_free(members->service);
	g_free(members->group);
	g_free(members->text);
	g_free(members);
}

/* Drops an older notice of the same group that has not been taken. */
static void remove_untaken_members(skh_feed_t *feed, const skh_feed_members_t *newer)
{
	for (guint i = 0; i < feed->read_members->len; i++) {
		const skh_feed_members_t *older = g_ptr_array_index(feed->read_members, i);

		if (strcmp(older->service, newer->service) != 0 ||
		    strcmp(older->group, newer->group) != 0)
			continue;
		(void)g_ptr_array_remove_index(feed->read_members, i);
		return;
	}
}

static void apply_members(skh_feed_t *feed, const char *name, const char *value, int64_t revision)
{
	skh_feed_members_t *members;
	char *service;
	char *group;

	if (!value || !skh_group_id_parse(name, &service, &group))
		return;
	members = g_new(skh_feed_members_t, 1);
	*members = (skh_feed_members_t){ service, group, g_strdup(value), revision };
	g_mutex_lock(&feed->lock);
	remove_untaken_members(feed, members);
	g_ptr_array_add(feed->read_members, members);
	g_mutex_unlock(&feed->lock);
}

static const char *const finding_names[] = {
	[SKH_CRASH_FINDING_SUSPECTED] = "suspected",
	[SKH_CRASH_FINDING_CONFIRMED] = "confirmed",
	[SKH_CRASH_FINDING_CLEARED] = "cleared",
};

static bool parse_finding(const char *name, skh_crash_finding_t *finding)
{
	for (guint i = 0; i < G_N_ELEMENTS(finding_names); i++) {
		if (strcmp(name, finding_names[i]) != 0)
			continue;
		*finding = (skh_crash_finding_t)i;
		return true;
	}
	return false;
}

/* Two hashes in hexadecimal digits with a hyphen between them. */
static bool is_crash_record_key(const char *key)
{
	if (strlen(key) != 2 * HASH_DIGITS + 1)
		return false;
	for (size_t i = 0; key[i] != '\0'; i++) {
		if (i == HASH_DIGITS ? key[i] != '-' : !g_ascii_isxdigit(key[i]))
			return false;
	}
	return true;
}

/* Other writers may use the prefix, too; records that can't be read are ignored. */
static bool parse_crash_record(const char *key, const char *value, skh_crash_record_t *record)
{
	if (!is_crash_record_key(key))
		return false;
	record->trait = g_ascii_strtoull(key, NULL, 16);
	record->crash = g_ascii_strtoull(key + HASH_DIGITS + 1, NULL, 16);
	return parse_finding(value, &record->finding);
}

/* Deletions are ignored: records expire in the gateway. */
static void apply_crash_record(skh_feed_t *feed, const char *key, const char *value)
{
	skh_crash_record_t record;

	if (!value || !parse_crash_record(key, value, &record))
		return;
	g_mutex_lock(&feed->lock);
	if (feed->read_records->len < MAX_UNREAD_RECORDS)
		g_array_append_val(feed->read_records, record);
	g_mutex_unlock(&feed->lock);
}

/* The batch is added as a whole, because a complete read is only valid with both of its marks. */
static void add_domain_news(skh_feed_t *feed, const GArray *batch)
{
	g_mutex_lock(&feed->lock);
	g_array_append_vals(feed->domain_news, batch->data, batch->len);
	g_mutex_unlock(&feed->lock);
	feed->domains_changed = true;
}

static void append_domain_news(const skh_feed_t *feed, GArray *batch, skh_domain_news_kind_t kind,
			       const char *name, int64_t revision)
{
	skh_domain_news_t news = { .kind = kind, .era = feed->era, .revision = revision };

	news.domain = *name ? skh_domain_hash(name) : 0;
	(void)g_strlcpy(news.name, name, sizeof(news.name));
	g_array_append_val(batch, news);
}

static void apply_domain(skh_feed_t *feed, const char *name, const char *value, int64_t revision)
{
	g_autoptr(GArray) batch = g_array_new(FALSE, FALSE, sizeof(skh_domain_news_t));

	if (*name == '\0')
		return;
	append_domain_news(feed, batch, value ? SKH_DOMAIN_NEWS_OUT : SKH_DOMAIN_NEWS_BACK, name,
			   revision);
	add_domain_news(feed, batch);
}

/* Applies one change of a key; @value is NULL for a deletion. */
static void apply_change(skh_feed_t *feed, const char *key, const char *value, int64_t revision)
{
	const char *servers_prefix = feed->options.dialect->servers_prefix;
	const char *domains_prefix = feed->options.dialect->domains_out_prefix;
	const char *gateways_prefix = feed->options.gateways_prefix;

	if (value && strcmp(key, feed->options.dialect->config_key) == 0)
		adopt_config(feed, value, revision);
	else if (g_str_has_prefix(key, domains_prefix))
		apply_domain(feed, key + strlen(domains_prefix), value, revision);
	else if (g_str_has_prefix(key, servers_prefix))
		apply_server(feed, key + strlen(servers_prefix), value, revision);
	else if (g_str_has_prefix(key, gateways_prefix))
		apply_gateway(feed, key + strlen(gateways_prefix), value);
	else if (g_str_has_prefix(key, SKH_SLOW_RANKS_PREFIX))
		apply_rank_notice(feed, key + strlen(SKH_SLOW_RANKS_PREFIX), value);
	else if (g_str_has_prefix(key, SKH_GROUP_MEMBERS_PREFIX))
		apply_members(feed, key + strlen(SKH_GROUP_MEMBERS_PREFIX), value, revision);
	else if (g_str_has_prefix(key, SKH_CRASH_RECORDS_PREFIX))
		apply_crash_record(feed, key + strlen(SKH_CRASH_RECORDS_PREFIX), value);
}

static bool read_prefix(skh_feed_t *feed, const char *prefix, skh_kv_pairs_t *pairs,
			skh_error_t *err)
{
	skh_store_t *store = feed->options.store;

	if (!store->ops->range(store, prefix, true, pairs, err))
		return false;
	for (size_t i = 0; i < pairs->count; i++)
		apply_change(feed, pairs->list[i].key, pairs->list[i].value,
			     pairs->list[i].mod_revision);
	return true;
}

static void remove_unlisted(skh_feed_t *feed, const skh_kv_pairs_t *pairs)
{
	size_t prefix_len = strlen(feed->options.dialect->servers_prefix);
	g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < pairs->count; i++)
		(void)g_hash_table_add(ids, pairs->list[i].key + prefix_len);
	if (skh_roster_builder_retain(feed->builder, ids, feed->grace_ends_us, skh_clock_boot_us()))
		feed->roster_changed = true;
}

static gboolean is_unlisted(gpointer id, gpointer address, gpointer ids)
{
	(void)address;
	return !g_hash_table_contains(ids, id);
}

/* A full read does not show which gateways have ended since the last poll. */
static void remove_unlisted_gateways(skh_feed_t *feed, const skh_kv_pairs_t *pairs)
{
	size_t prefix_len = strlen(feed->options.gateways_prefix);
	g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < pairs->count; i++)
		(void)g_hash_table_add(ids, pairs->list[i].key + prefix_len);
	g_mutex_lock(&feed->lock);
	if (g_hash_table_foreach_remove(feed->gateways, is_unlisted, ids) > 0)
		feed->gateway_changes++;
	g_mutex_unlock(&feed->lock);
}

/* Called before a full read, which can't show which notices were deleted since the last poll. */
static void clear_rank_notices(skh_feed_t *feed)
{
	g_mutex_lock(&feed->lock);
	g_hash_table_remove_all(feed->rank_notices);
	feed->notice_changes++;
	g_mutex_unlock(&feed->lock);
}

/*
 * Revisions and the registration's lease are of the old era and may now belong to others. Server
 * entries that the store has lost are written again.
 */
static void begin_era(skh_feed_t *feed, int64_t era)
{
	skh_log(SKH_LOG_WARNING, PART,
		"Store came back from an older copy; reading the full state.",
		"era=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT,
		era, feed->era, feed->read_revision);
	skh_roster_builder_begin_era(feed->builder);
	begin_grace(feed, find_grace_end_us(feed, skh_clock_boot_us()));
	feed->read_revision = 0;
	feed->config_revision = 0;
	feed->lease = 0;
	feed->next_renew_us = 0;
	feed->crash_lease = 0;
}

/* Whether the last response was the first of a new era; what it says is then not used. */
static bool has_era_changed(skh_feed_t *feed)
{
	int64_t era = skh_store_era(feed->options.store);
	bool has_changed = feed->era >= 0 && era != feed->era;

	if (has_changed)
		begin_era(feed, era);
	feed->era = era;
	return has_changed;
}

/* Applies a complete read of the configuration and the domains out of service. */
static void apply_operators_keys(skh_feed_t *feed, const skh_kv_pairs_t *pairs)
{
	const skh_dialect_t *dialect = feed->options.dialect;
	size_t prefix_len = strlen(dialect->domains_out_prefix);
	g_autoptr(GArray) batch = g_array_new(FALSE, FALSE, sizeof(skh_domain_news_t));

	append_domain_news(feed, batch, SKH_DOMAIN_NEWS_BEGINS, "", pairs->store_revision);
	for (size_t i = 0; i < pairs->count; i++) {
		const skh_kv_pair_t *pair = &pairs->list[i];

		if (strcmp(pair->key, dialect->config_key) == 0)
			adopt_config(feed, pair->value, pair->mod_revision);
		else if (g_str_has_prefix(pair->key, dialect->domains_out_prefix) &&
			 pair->key[prefix_len] != '\0')
			append_domain_news(feed, batch, SKH_DOMAIN_NEWS_OUT, pair->key + prefix_len,
					   pair->mod_revision);
	}
	append_domain_news(feed, batch, SKH_DOMAIN_NEWS_ENDS, "", pairs->store_revision);
	add_domain_news(feed, batch);
}

/* Sets *@is_new_era, in which case nothing is applied: all keys are to be read again. */
static bool read_operators_keys(skh_feed_t *feed, int64_t *revision, bool *is_new_era,
				skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	skh_kv_pairs_t pairs;

	if (!store->ops->range(store, feed->options.dialect->operators_prefix, true, &pairs, err))
		return false;
	record_response(feed, 0);
	*revision = pairs.store_revision;
	*is_new_era = has_era_changed(feed);
	if (!*is_new_era)
		apply_operators_keys(feed, &pairs);
	skh_kv_pairs_clear(&pairs);
	return true;
}

/* Reads all keys, at the start and when the store has compacted its history. */
static bool read_all(skh_feed_t *feed, skh_error_t *err)
{
	skh_kv_pairs_t servers;
	skh_kv_pairs_t gateways;
	skh_kv_pairs_t notices;
	skh_kv_pairs_t members;
	skh_kv_pairs_t records;
	int64_t revision;
	bool is_new_era;

	if (!read_operators_keys(feed, &revision, &is_new_era, err))
		return false;
	if (is_new_era)
		return true;
	if (!read_prefix(feed, feed->options.dialect->servers_prefix, &servers, err))
		return false;
	remove_unlisted(feed, &servers);
	skh_kv_pairs_clear(&servers);
	if (!read_prefix(feed, feed->options.gateways_prefix, &gateways, err))
		return false;
	remove_unlisted_gateways(feed, &gateways);
	skh_kv_pairs_clear(&gateways);
	clear_rank_notices(feed);
	if (!read_prefix(feed, SKH_SLOW_RANKS_PREFIX, &notices, err))
		return false;
	skh_kv_pairs_clear(&notices);
	if (!read_prefix(feed, SKH_GROUP_MEMBERS_PREFIX, &members, err))
		return false;
	skh_kv_pairs_clear(&members);
	if (!read_prefix(feed, SKH_CRASH_RECORDS_PREFIX, &records, err))
		return false;
	skh_kv_pairs_clear(&records);
	if (has_era_changed(feed))
		return true;
	skh_roster_builder_end_copy(feed->builder, revision);
	feed->read_revision = revision;
	feed->has_roster = true;
	feed->roster_changed = true;
	return true;
}

/* Only the newest of several configuration versions in one response is applied. */
static void apply_changes(skh_feed_t *feed, const skh_kv_changes_t *changes)
{
	const skh_kv_change_t *config = NULL;

	for (size_t i = 0; i < changes->count; i++) {
		const skh_kv_change_t *change = &changes->list[i];

		if (strcmp(change->key, feed->options.dialect->config_key) == 0)
			config = change;
		else
			apply_change(feed, change->key, change->value, change->mod_revision);
	}
	if (config)
		apply_change(feed, config->key, config->value, config->mod_revision);
}

/* A poll returns at once after a failure, to show that the store is back, and when a grace period ends. */
static int64_t choose_wait_ms(skh_feed_t *feed)
{
	bool is_hurried = __atomic_exchange_n(&feed->polls_at_once, false, __ATOMIC_ACQ_REL);
	int64_t expiry_us = skh_roster_builder_next_expiry_us(feed->builder);

	if (is_hurried || feed->unavailable_us != 0)
		return NO_WAIT_MS;
	if (expiry_us == INT64_MAX)
		return feed->options.poll_timeout_ms;
	return CLAMP((expiry_us - skh_clock_boot_us()) / SKH_US_PER_MS, NO_WAIT_MS,
		     feed->options.poll_timeout_ms);
}

static bool read_changes(skh_feed_t *feed, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	skh_kv_changes_t changes;
	int64_t wait_ms = choose_wait_ms(feed);

	if (!store->ops->poll_changes(store, "", feed->read_revision, wait_ms, &changes, err)) {
		if (err->kind == SKH_STORE_COMPACTED) {
			skh_log(SKH_LOG_INFO, PART,
				"Store history was compacted; reading the full state.",
				"revision=%" G_GINT64_FORMAT, feed->read_revision);
			feed->read_revision = 0;
			record_response(feed, wait_ms * SKH_US_PER_MS);
			(void)has_era_changed(feed);
			return true;
		}
		return false;
	}
	record_response(feed, wait_ms * SKH_US_PER_MS);
	if (!has_era_changed(feed)) {
		apply_changes(feed, &changes);
		feed->read_revision = MAX(feed->read_revision, changes.store_revision);
	}
	skh_kv_changes_clear(&changes);
	return true;
}

/* Until the state has been read, servers may have registered again unnoticed. */
static void end_grace(skh_feed_t *feed)
{
	if (feed->read_revision == 0 ||
	    !skh_roster_builder_expire(feed->builder, skh_clock_boot_us()))
		return;
	skh_log(SKH_LOG_INFO, PART,
		"Servers have not registered again after an outage and get no new requests.",
		"revision=%" G_GINT64_FORMAT, feed->read_revision);
	feed->roster_changed = true;
}

static void publish(skh_feed_t *feed, int64_t previous_config_revision)
{
	if (feed->roster_changed && feed->has_roster)
		skh_board_publish_roster(
			feed->options.board,
			skh_roster_builder_snapshot(feed->builder, feed->read_revision));
	if (feed->roster_changed || feed->domains_changed ||
	    feed->config_revision != previous_config_revision)
		feed->options.notify(feed->options.context);
	feed->roster_changed = false;
	feed->domains_changed = false;
}

static bool register_gateway(skh_feed_t *feed, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	g_autofree char *key =
		g_strconcat(feed->options.gateways_prefix, feed->options.own_id, NULL);
	skh_txn_op_t put = { SKH_TXN_OP_PUT, key, feed->options.own_address, 0 };
	const skh_txn_t txn = { .ops = &put, .n_ops = 1 };
	skh_txn_result_t result;

	if (!store->ops->lease_grant(store, REGISTRATION_TTL_S, &feed->lease, err))
		return false;
	put.lease = feed->lease;
	if (!store->ops->txn(store, &txn, &result, err)) {
		feed->lease = 0;
		return false;
	}
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/* Other gateways find this one by its key; a failure is retried one interval later. */
static void renew_registration(skh_feed_t *feed)
{
	skh_store_t *store = feed->options.store;
	int64_t now_us = skh_clock_boot_us();
	int64_t ttl_s = 0;
	skh_error_t err = { .kind = SKH_OK };
	bool succeeded;

	if (!feed->options.own_id || now_us < feed->next_renew_us)
		return;
	feed->next_renew_us = now_us + RENEW_INTERVAL_US;
	if (feed->lease != 0) {
		succeeded = store->ops->lease_renew(store, feed->lease, &ttl_s, &err);
		if (succeeded && ttl_s > 0)
			return;
		if (succeeded)
			feed->lease = 0;
	}
	succeeded = feed->lease == 0 ? register_gateway(feed, &err) : succeeded;
	if (!succeeded)
		skh_log(SKH_LOG_INFO, PART, "Gateway registration failed; retrying later.",
			"reason=%s", err.text);
}

/* Returns copies of the first unwritten records, which stay in the list. */
static guint peek_unwritten(skh_feed_t *feed, skh_crash_record_t *records)
{
	guint n;

	g_mutex_lock(&feed->lock);
	n = MIN(feed->unwritten_records->len, MAX_RECORDS_A_TXN);
	if (n > 0)
		memcpy(records, feed->unwritten_records->data, n * sizeof(records[0]));
	g_mutex_unlock(&feed->lock);
	return n;
}

static bool grant_crash_lease(skh_feed_t *feed, skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	int64_t now_us = skh_clock_boot_us();

	if (feed->crash_lease != 0 && now_us < feed->crash_lease_expires_us)
		return true;
	feed->crash_lease = 0;
	if (!store->ops->lease_grant(store, CRASH_LEASE_TTL_S, &feed->crash_lease, err))
		return false;
	feed->crash_lease_expires_us = now_us + CRASH_LEASE_USE_US;
	return true;
}

static bool put_records(skh_feed_t *feed, const skh_crash_record_t *records, guint n,
			skh_error_t *err)
{
	skh_store_t *store = feed->options.store;
	skh_txn_op_t puts[MAX_RECORDS_A_TXN];
	g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
	const skh_txn_t txn = { .ops = puts, .n_ops = n };
	skh_txn_result_t result;

	for (guint i = 0; i < n; i++) {
		char *key = g_strdup_printf(SKH_CRASH_RECORDS_PREFIX "%016" G_GINT64_MODIFIER
								     "x-%016" G_GINT64_MODIFIER "x",
					    records[i].trait, records[i].crash);

		g_ptr_array_add(keys, key);
		puts[i] = (skh_txn_op_t){ SKH_TXN_OP_PUT, key, finding_names[records[i].finding],
					  feed->crash_lease };
	}
	if (!store->ops->txn(store, &txn, &result, err))
		return false;
	skh_kv_pairs_clear(&result.pairs);
	return true;
}

/* Writes need no condition: the finding of a record only rises, and a lost update is made up for by gossip. */
static void write_crash_records(skh_feed_t *feed)
{
	skh_crash_record_t records[MAX_RECORDS_A_TXN];
	guint n = peek_unwritten(feed, records);
	skh_error_t err;

	if (n == 0)
		return;
	if (!grant_crash_lease(feed, &err) || !put_records(feed, records, n, &err)) {
		feed->crash_lease = 0;
		skh_log(SKH_LOG_INFO, PART, "Crash records were not stored; retrying later.",
			"records=%u reason=%s", n, err.text);
		return;
	}
	g_mutex_lock(&feed->lock);
	(void)g_array_remove_range(feed->unwritten_records, 0, n);
	g_mutex_unlock(&feed->lock);
	skh_log(SKH_LOG_INFO, PART, "Crash records were stored.", "records=%u", n);
}

static void *run_feed(void *argument)
{
	skh_feed_t *feed = argument;

	while (!is_stopped(feed)) {
		int64_t poll_started_us = skh_clock_boot_us();
		feed->poll_started_us = poll_started_us;
		int64_t previous_config_revision = feed->config_revision;
		skh_error_t err;
		bool needs_full_read = feed->read_revision == 0;

		if (needs_full_read ? !read_all(feed, &err) : !read_changes(feed, &err)) {
			publish(feed, previous_config_revision);
			record_failure(feed, &err);
			continue;
		}
		feed->unavailable_us = 0;
		end_grace(feed);
		publish(feed, previous_config_revision);
		/* Set only after publishing: now the board is as new as the store at poll start. */
		if (feed->read_revision != 0)
			__atomic_store_n(&feed->fresh_as_of_us, poll_started_us, __ATOMIC_RELEASE);
		renew_registration(feed);
		write_crash_records(feed);
		if (feed->read_revision != 0)
			skh_clock_sleep(MIN(poll_started_us + feed->options.poll_interval_us,
					    skh_roster_builder_next_expiry_us(feed->builder)) -
						skh_clock_boot_us(),
					&feed->stop);
	}
	return NULL;
}

skh_feed_t *skh_feed_start(const skh_feed_options_t *options)
{
	skh_feed_t *feed = g_new0(skh_feed_t, 1);

	feed->options = *options;
	feed->era = -1;
	feed->builder = skh_roster_builder_new();
	feed->gateway_changes = 1;
	feed->gateways = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	feed->notice_changes = 1;
	feed->rank_notices = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	feed->read_members = g_ptr_array_new_with_free_func(free_members);
	feed->domain_news = g_array_new(FALSE, FALSE, sizeof(skh_domain_news_t));
	feed->cold_news = new_cold_news();
	feed->read_records = g_array_new(FALSE, FALSE, sizeof(skh_crash_record_t));
	feed->unwritten_records = g_array_new(FALSE, FALSE, sizeof(skh_crash_record_t));
	g_mutex_init(&feed->lock);
	(void)pthread_create(&feed->thread, NULL, run_feed, feed);
	return feed;
}

void skh_feed_stop(skh_feed_t *feed)
{
	__atomic_store_n(&feed->stop, true, __ATOMIC_RELEASE);
	(void)pthread_join(feed->thread, NULL);
	skh_roster_builder_free(feed->builder);
	g_hash_table_unref(feed->gateways);
	g_hash_table_unref(feed->rank_notices);
	g_ptr_array_unref(feed->read_members);
	g_array_unref(feed->domain_news);
	g_ptr_array_unref(feed->cold_news);
	g_array_unref(feed->read_records);
	g_array_unref(feed->unwritten_records);
	g_mutex_clear(&feed->lock);
	g_free(feed);
}

int64_t skh_feed_fresh_as_of_us(const skh_feed_t *feed)
{
	return __atomic_load_n(&feed->fresh_as_of_us, __ATOMIC_ACQUIRE);
}

/* Called with the lock held. */
static GPtrArray *list_gateways(const skh_feed_t *feed)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;
	gpointer address;

	g_hash_table_iter_init(&iter, feed->gateways);
	while (g_hash_table_iter_next(&iter, &id, &address)) {
		if (!feed->options.own_id || strcmp(id, feed->options.own_id) != 0)
			g_ptr_array_add(list, g_strdup(address));
	}
	return list;
}

GPtrArray *skh_feed_get_gateways(skh_feed_t *feed, uint64_t *last_change)
{
	GPtrArray *list = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->gateway_changes != *last_change)
		list = list_gateways(feed);
	*last_change = feed->gateway_changes;
	g_mutex_unlock(&feed->lock);
	return list;
}

char *skh_feed_get_slow_ranks(skh_feed_t *feed, uint64_t *last_change)
{
	GString *lines = NULL;
	GHashTableIter iter;
	gpointer text;

	g_mutex_lock(&feed->lock);
	if (feed->notice_changes != *last_change) {
		lines = g_string_new(NULL);
		g_hash_table_iter_init(&iter, feed->rank_notices);
		while (g_hash_table_iter_next(&iter, NULL, &text)) {
			g_string_append(lines, text);
			/* A last line without an end must not run into the next notice. */
			g_string_append_c(lines, '\n');
		}
	}
	*last_change = feed->notice_changes;
	g_mutex_unlock(&feed->lock);
	return lines ? g_string_free(lines, FALSE) : NULL;
}

/* A full read returns the notices by name. */
static gint compare_revisions(gconstpointer left, gconstpointer right)
{
	const skh_feed_members_t *const *a = left;
	const skh_feed_members_t *const *b = right;

	return ((*a)->revision > (*b)->revision) - ((*a)->revision < (*b)->revision);
}

GPtrArray *skh_feed_take_members(skh_feed_t *feed)
{
	GPtrArray *members = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->read_members->len > 0) {
		members = feed->read_members;
		feed->read_members = g_ptr_array_new_with_free_func(free_members);
	}
	g_mutex_unlock(&feed->lock);
	if (members)
		g_ptr_array_sort(members, compare_revisions);
	return members;
}

GArray *skh_feed_take_crash_records(skh_feed_t *feed)
{
	GArray *records = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->read_records->len > 0) {
		records = feed->read_records;
		feed->read_records = g_array_new(FALSE, FALSE, sizeof(skh_crash_record_t));
	}
	g_mutex_unlock(&feed->lock);
	return records;
}

GArray *skh_feed_take_domain_news(skh_feed_t *feed)
{
	GArray *news = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->domain_news->len > 0) {
		news = feed->domain_news;
		feed->domain_news = g_array_new(FALSE, FALSE, sizeof(skh_domain_news_t));
	}
	g_mutex_unlock(&feed->lock);
	return news;
}

GPtrArray *skh_feed_take_cold_news(skh_feed_t *feed)
{
	GPtrArray *news = NULL;

	g_mutex_lock(&feed->lock);
	if (feed->cold_news->len > 0) {
		news = feed->cold_news;
		feed->cold_news = new_cold_news();
	}
	g_mutex_unlock(&feed->lock);
	return news;
}

void skh_feed_poll_at_once(skh_feed_t *feed)
{
	__atomic_store_n(&feed->polls_at_once, true, __ATOMIC_RELEASE);
}

void skh_feed_put_crash_records(skh_feed_t *feed, const skh_crash_record_t *records, uint32_t n)
{
	g_mutex_lock(&feed->lock);
	g_array_append_vals(feed->unwritten_records, records, n);
	g_mutex_unlock(&feed->lock);
}
