#include "sidecar.h"

#include "admin.h"
#include "board.h"
#include "clock.h"
#include "config_watcher.h"
#include "group_member.h"
#include "log.h"
#include "sidecar_link.h"
#include "process.h"
#include "attempt_runner.h"

#include <string.h>

#define PART	"sidecar"
#define TICK_US (50 * SKH_US_PER_MS)

typedef struct sidecar {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_store_t *store;
	skh_config_watcher_t *follower;
	skh_sidecar_link_t *port;
	skh_backend_t *backend;
	skh_attempt_runner_t *worker;
	skh_engine_t *engine;	   /* NULL beside a plain service */
	skh_group_member_t *group; /* NULL outside of groups */
	int64_t tick_at_us;
	int64_t stop_by_us; /* deadline of a planned stop; 0 for none */
	gint drain_asked;   /* set by the administration listener */
	gint phase_copy;    /* for the administration listener's threads */
	gint running_copy;
	gint queued_copy;
	uint64_t map_copy;
} sidecar_t;

static bool listed_leaving(const sidecar_t *sidecar)
{
	const skh_instances_t *members = skh_board_acquire_instances(sidecar->board);
	const skh_instance_t *self =
		members ? skh_instances_find(members, sidecar->settings->id) : NULL;
	bool leaving = self && self->leaving;

	skh_board_release(members);
	return leaving;
}

static bool service_is_known(const sidecar_t *sidecar)
{
	const skh_config_t *config = skh_board_acquire_config(sidecar->board);
	bool known = config &&
		     skh_manifest_service(config->manifest, sidecar->settings->backend_service);

	skh_board_release(config);
	return known;
}

static void note_stop(sidecar_t *sidecar, int64_t now_us)
{
	if (skh_process_stop_requests() == 0 || sidecar->stop_by_us != 0)
		return;
	sidecar->stop_by_us = now_us + sidecar->settings->drain_ms * SKH_US_PER_MS;
	skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "attempts=%zu",
		skh_attempt_runner_attempt_count(sidecar->worker));
}

static void copy_for_admin(sidecar_t *sidecar)
{
	const skh_gate_t *gate = skh_attempt_runner_gate(sidecar->worker);

	g_atomic_int_set(&sidecar->phase_copy, (gint)skh_gate_phase(gate));
	g_atomic_int_set(&sidecar->running_copy, (gint)skh_gate_running(gate));
	g_atomic_int_set(&sidecar->queued_copy, (gint)skh_gate_queued(gate));
	if (sidecar->group)
		__atomic_store_n(&sidecar->map_copy, skh_group_member_map_version(sidecar->group),
				 __ATOMIC_RELAXED);
}

static void tick(sidecar_t *sidecar)
{
	int64_t now_us = skh_clock_now_us();
	bool leaving;

	if (now_us < sidecar->tick_at_us)
		return;
	sidecar->tick_at_us = now_us + TICK_US;
	note_stop(sidecar, now_us);
	leaving = sidecar->stop_by_us != 0 || g_atomic_int_get(&sidecar->drain_asked) ||
		  listed_leaving(sidecar);
	skh_attempt_runner_tick(sidecar->worker, service_is_known(sidecar), leaving, now_us);
	skh_config_watcher_hint_revision(sidecar->follower,
					 skh_attempt_runner_newest_revision(sidecar->worker));
	if (sidecar->engine)
		skh_engine_tick(sidecar->engine, now_us);
	if (sidecar->group)
		skh_group_member_tick(sidecar->group, now_us);
	copy_for_admin(sidecar);
}

/* At the deadline of a planned stop, entries resume elsewhere what is left. */
static bool has_stopped(sidecar_t *sidecar)
{
	if (sidecar->stop_by_us == 0)
		return false;
	if (skh_attempt_runner_attempt_count(sidecar->worker) == 0)
		return true;
	if (skh_clock_now_us() < sidecar->stop_by_us)
		return false;
	skh_attempt_runner_fail_all(sidecar->worker);
	return true;
}

static void on_frame(sidecar_t *sidecar, const char *peer, Skh__Frame *frame)
{
	bool is_order = frame->body_case == SKH__FRAME__BODY_ORDER ||
			frame->body_case == SKH__FRAME__BODY_ORDER_REPLY;

	if (!is_order) {
		skh_attempt_runner_on_frame(sidecar->worker, peer, frame);
		return;
	}
	if (sidecar->group)
		skh_group_member_on_frame(sidecar->group, peer, frame);
	skh_wire_free(frame);
}

static void loop(sidecar_t *sidecar)
{
	char entry[SKH_SIDECAR_LINK_PEER_BYTES];
	Skh__Frame *frame;

	while (!has_stopped(sidecar)) {
		tick(sidecar);
		/* ZeroMQ's descriptor only signals changes, so the port is read until empty. */
		while ((frame = skh_sidecar_link_receive(sidecar->port, entry)) != NULL)
			on_frame(sidecar, entry, frame);
		skh_attempt_runner_poll(sidecar->worker, sidecar->tick_at_us);
	}
}

static bool is_ready(void *context)
{
	sidecar_t *sidecar = context;

	return g_atomic_int_get(&sidecar->phase_copy) == SKH_PHASE_READY;
}

static json_t *engine_status(sidecar_t *sidecar)
{
	skh_engine_view_t view;

	if (!sidecar->engine)
		return json_null();
	skh_engine_get_view(sidecar->engine, &view);
	return json_pack("{s:b, s:i, s:i, s:i, s:I, s:I, s:I}", "reported",
			 view.reported_at_us != 0, "running", (int)view.running, "queued",
			 (int)view.queued, "cached_prefixes", (int)view.cached_prefixes,
			 "events_missed", (json_int_t)view.events_missed, "orders_done",
			 (json_int_t)view.orders_done, "orders_failed",
			 (json_int_t)view.orders_failed);
}

static json_t *status(void *context)
{
	static const char *const phases[] = { "starting", "ready", "leaving" };
	sidecar_t *sidecar = context;
	const skh_settings_t *settings = sidecar->settings;

	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:I, s:i, s:i, s:i, s:s, s:I, s:o}", "id",
			 settings->id, "role", "sidecar", "failure_domain",
			 settings->failure_domain, "service", settings->backend_service, "ready",
			 is_ready(sidecar), "phase", phases[g_atomic_int_get(&sidecar->phase_copy)],
			 "revision", (json_int_t)skh_board_config_revision(sidecar->board),
			 "running", g_atomic_int_get(&sidecar->running_copy), "queued",
			 g_atomic_int_get(&sidecar->queued_copy), "capacity",
			 (int)settings->backend_capacity, "group", settings->backend_group,
			 "map_version",
			 (json_int_t)__atomic_load_n(&sidecar->map_copy, __ATOMIC_RELAXED),
			 "engine", engine_status(sidecar));
}

/* An order's fence is the revision in force, so an engine can refuse an older one. */
static bool order(void *context, const json_t *body, skh_error_t *err)
{
	static const char *const kinds[] = { "load_model", "load_adapter", "set_role" };
	sidecar_t *sidecar = context;
	const char *kind = json_string_value(json_object_get(body, "order"));
	const char *name = json_string_value(json_object_get(body, "name"));
	const char *version = json_string_value(json_object_get(body, "version"));
	skh_backend_order_t wanted = { .fence = (uint64_t)skh_board_config_revision(
					       sidecar->board) };

	if (!sidecar->engine)
		return skh_error_set(err, SKH_NOT_FOUND, "a plain service takes no orders");
	if (!kind || !name || strlen(name) >= SKH_BACKEND_ORDER_NAME_BYTES ||
	    (version && strlen(version) >= SKH_BACKEND_ORDER_NAME_BYTES))
		return skh_error_set(err, SKH_BAD_REQUEST, "\"order\" and \"name\" are needed");
	(void)g_strlcpy(wanted.name, name, sizeof(wanted.name));
	(void)g_strlcpy(wanted.version, version ? version : "", sizeof(wanted.version));
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i], kind) != 0)
			continue;
		wanted.kind = (skh_backend_order_kind_t)i;
		skh_engine_enqueue_order(sidecar->engine, &wanted);
		return true;
	}
	return skh_error_set(err, SKH_BAD_REQUEST, "no order is called \"%.32s\"", kind);
}

static void drain(void *context, bool drain)
{
	g_atomic_int_set(&((sidecar_t *)context)->drain_asked, drain);
}

static const skh_admin_ops_t admin_ops = {
	.is_ready = is_ready, .get_status = status, .set_draining = drain, .enqueue_order = order
};

static bool open_sidecar(sidecar_t *sidecar, skh_error_t *err)
{
	const skh_settings_t *settings = sidecar->settings;

	sidecar->board = skh_board_new();
	sidecar->store = skh_settings_open_store(settings);
	sidecar->follower = skh_config_watcher_start(sidecar->store, settings, sidecar->board);
	sidecar->port = skh_sidecar_link_open(settings, err);
	if (!sidecar->port)
		return false;
	sidecar->backend = settings->backend_kind == SKH_BACKEND_ENGINE
				   ? skh_backend_new_engine(settings->backend_url)
				   : skh_backend_new_plain(settings->backend_url);
	sidecar->engine = skh_engine_new(sidecar->backend);
	sidecar->worker = skh_attempt_runner_new(settings, sidecar->board, sidecar->store,
						 sidecar->port, sidecar->backend, sidecar->engine);
	if (*settings->backend_group && sidecar->backend->ops->send_map_order)
		sidecar->group = skh_group_member_new(settings, sidecar->board, sidecar->store,
						      sidecar->port, sidecar->backend);
	return true;
}

static void close_sidecar(sidecar_t *sidecar)
{
	if (sidecar->port) {
		skh_group_member_free(sidecar->group);
		skh_attempt_runner_free(sidecar->worker);
		skh_engine_free(sidecar->engine);
		skh_backend_free(sidecar->backend);
		skh_sidecar_link_close(sidecar->port);
	}
	skh_config_watcher_stop(sidecar->follower);
	sidecar->store->ops->close(sidecar->store);
	skh_board_free(sidecar->board);
}

int skh_sidecar_main(const skh_settings_t *settings)
{
	sidecar_t sidecar = { .settings = settings };
	skh_admin_t *admin = NULL;
	skh_error_t err;

	skh_process_setup(settings);
	if (open_sidecar(&sidecar, &err))
		admin = skh_admin_start(settings->admin_listen, &admin_ops, &sidecar, sidecar.board,
					NULL, &err);
	if (admin) {
		skh_log(SKH_LOG_INFO, PART, "Sidecar is listening.", "id=%s link=%s admin=%s",
			settings->id, settings->link_listen, settings->admin_listen);
		loop(&sidecar);
		skh_log(SKH_LOG_INFO, PART, "Sidecar has stopped.", "id=%s", settings->id);
		skh_admin_stop(admin);
	} else {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
	}
	close_sidecar(&sidecar);
	return admin ? 0 : 1;
}
