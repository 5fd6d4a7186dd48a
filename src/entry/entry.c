#include "entry.h"

#include "admin.h"
#include "caller_api.h"
#include "clock.h"
#include "log.h"
#include "process.h"

#include <unistd.h>

#define PART		   "entry"
#define POLL_INTERVAL_US   (50 * SKH_US_PER_MS)
#define NOT_READY_GRACE_US (1 * SKH_US_PER_S)

static bool is_ready(void *context)
{
	skh_entry_t *entry = context;

	return skh_board_get_lifecycle(entry->board).state == SKH_LIFECYCLE_SERVING &&
	       skh_board_config_revision(entry->board) > 0;
}

static void add_peer(const skh_peer_t *peer, void *context)
{
	static const char *const phases[] = { "starting", "ready", "leaving" };
	json_t *peers = context;

	json_array_append_new(
		peers,
		json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:i, s:I}", "id", peer->id,
			  "service", peer->service, "failure_domain", peer->failure_domain, "phase",
			  phases[peer->phase], "reachable", peer->is_reachable, "listed_leaving",
			  peer->is_listed_leaving, "running", (int)peer->running, "queued",
			  (int)peer->queued, "capacity", (int)peer->capacity, "own_in_flight",
			  (int)peer->own_in_flight, "revision", (json_int_t)peer->config_revision));
}

static json_t *build_status(void *context)
{
	skh_entry_t *entry = context;
	json_t *peers = json_array();
	const skh_config_t *config = skh_board_acquire_config(entry->board);
	json_t *json;

	skh_link_for_each_peer(entry->link, add_peer, peers);
	json = json_pack("{s:s, s:s, s:s, s:b, s:I, s:s, s:s, s:i, s:o}", "id", entry->settings->id,
			 "role", "entry", "failure_domain", entry->settings->failure_domain,
			 "ready", is_ready(entry), "revision",
			 (json_int_t)(config ? config->revision : 0), "by",
			 config ? config->author : "", "reason", config ? config->reason : "",
			 "in_flight", g_atomic_int_get(&entry->in_flight), "sidecars", peers);
	skh_board_release(config);
	return json;
}

static json_t *list_suspects(void *context)
{
	return skh_quarantine_list(((skh_entry_t *)context)->quarantine);
}

static bool clear_suspect(void *context, const char *content_hash)
{
	return skh_quarantine_clear(((skh_entry_t *)context)->quarantine,
				    g_ascii_strtoull(content_hash, NULL, 16));
}

static const skh_admin_ops_t admin_ops = {
	.is_ready = is_ready,
	.get_status = build_status,
	.list_suspects = list_suspects,
	.clear_suspect = clear_suspect,
};

static bool open_entry(skh_entry_t *entry, skh_error_t *err)
{
	entry->board = skh_board_new();
	entry->store = skh_settings_open_store(entry->settings);
	entry->admission = skh_admission_new();
	g_mutex_init(&entry->admission_lock);
	entry->config_watcher =
		skh_config_watcher_start(entry->store, entry->settings, entry->board);
	entry->quarantine = skh_quarantine_start(entry->store, entry->settings->store_prefix);
	entry->link = skh_link_start(entry->settings, entry->board, err);
	return entry->link != NULL;
}

static void close_entry(skh_entry_t *entry)
{
	if (entry->link)
		skh_link_stop(entry->link);
	skh_quarantine_stop(entry->quarantine);
	skh_config_watcher_stop(entry->config_watcher);
	entry->store->ops->close(entry->store);
	skh_admission_free(entry->admission);
	g_mutex_clear(&entry->admission_lock);
	skh_board_free(entry->board);
}

/*
 * Requests are accepted for NOT_READY_GRACE_US after readiness is withdrawn, because the
 * platform's balancer sends requests until it sees the change.
 */
static void drain(skh_entry_t *entry)
{
	int64_t now_us = skh_clock_now_us();
	int64_t grace_us = entry->settings->drain_ms * SKH_US_PER_MS;
	int64_t stop_deadline_us = now_us + grace_us;
	int64_t answer_by_us = skh_stop_answer_by_us(now_us, grace_us);
	int64_t reject_from_us = MIN(now_us + NOT_READY_GRACE_US, stop_deadline_us);

	skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "in_flight=%d",
		g_atomic_int_get(&entry->in_flight));
	skh_board_publish_lifecycle(
		entry->board,
		(skh_lifecycle_t){ SKH_LIFECYCLE_LEAVING, stop_deadline_us, answer_by_us });
	while (skh_clock_now_us() < reject_from_us)
		(void)usleep(POLL_INTERVAL_US);
	skh_board_publish_lifecycle(
		entry->board,
		(skh_lifecycle_t){ SKH_LIFECYCLE_STOPPING, stop_deadline_us, answer_by_us });
	while (g_atomic_int_get(&entry->in_flight) > 0 && skh_clock_now_us() < stop_deadline_us)
		(void)usleep(POLL_INTERVAL_US);
	skh_log(SKH_LOG_INFO, PART, "Planned stop ends.", "in_flight=%d",
		g_atomic_int_get(&entry->in_flight));
}

static int serve_until_stopped(skh_entry_t *entry)
{
	const skh_settings_t *settings = entry->settings;
	const skh_http_options_t options = { settings->http_listen, settings->http_threads,
					     settings->http_stack_kib, settings->max_body_bytes };
	const skh_config_admin_t config_admin = { settings, entry->store, entry->board };
	skh_error_t err;
	skh_admin_t *admin = skh_admin_start(settings->admin_listen, &admin_ops, entry,
					     entry->board, &config_admin, &err);
	skh_http_server_t *server = NULL;

	if (admin)
		server = skh_http_start(&options, skh_caller_api_handle, entry, &err);
	if (!server) {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
		if (admin)
			skh_admin_stop(admin);
		return 1;
	}
	skh_board_publish_lifecycle(entry->board, (skh_lifecycle_t){ SKH_LIFECYCLE_SERVING, 0, 0 });
	skh_log(SKH_LOG_INFO, PART, "Entry is listening.", "id=%s callers=%s admin=%s",
		settings->id, settings->http_listen, settings->admin_listen);
	while (skh_process_stop_requests() == 0) {
		(void)usleep(POLL_INTERVAL_US);
		skh_config_watcher_hint_revision(entry->config_watcher,
						 skh_link_newest_revision(entry->link));
	}
	drain(entry);
	skh_http_stop(server);
	skh_admin_stop(admin);
	return 0;
}

int skh_entry_main(const skh_settings_t *settings)
{
	skh_entry_t entry = { .settings = settings };
	skh_error_t err;
	int exit_status = 1;

	skh_process_setup(settings);
	if (open_entry(&entry, &err))
		exit_status = serve_until_stopped(&entry);
	else
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
	close_entry(&entry);
	return exit_status;
}
