#include "sidecar.h"

#include "admin.h"
#include "attempt_runner.h"
#include "board.h"
#include "clock.h"
#include "config_watcher.h"
#include "group_member.h"
#include "log.h"
#include "process.h"
#include "sidecar_link.h"

#include <string.h>

#define PART	"sidecar"
#define TICK_US (50 * SKH_US_PER_MS)

typedef struct sidecar {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_store_t *store;
	skh_config_watcher_t *config_watcher;
	skh_sidecar_link_t *link;
	skh_backend_t *backend;
	skh_attempt_runner_t *runner;
	skh_engine_t *engine;	   /* NULL for a plain service */
	skh_group_member_t *group; /* NULL if the engine is in no group */
	int64_t next_tick_us;
	int64_t stop_deadline_us; /* deadline of a planned stop; 0 for none */
	gint drain_requested;	  /* atomic; written by the administration listener */
	/* Atomic copies that the administration listener's threads read. */
	gint admin_phase;
	gint admin_running;
	gint admin_queued;
	uint64_t admin_map_version;
} sidecar_t;

static bool is_marked_leaving(const sidecar_t *sidecar)
{
	const skh_instances_t *instances = skh_board_acquire_instances(sidecar->board);
	const skh_instance_t *self =
		instances ? skh_instances_find(instances, sidecar->settings->id) : NULL;
	bool leaving = self && self->is_leaving;

	skh_board_release(instances);
	return leaving;
}

static bool is_service_known(const sidecar_t *sidecar)
{
	const skh_config_t *config = skh_board_acquire_config(sidecar->board);
	bool known = config &&
		     skh_manifest_service(config->manifest, sidecar->settings->backend_service);

	skh_board_release(config);
	return known;
}

static void begin_stop_if_requested(sidecar_t *sidecar, int64_t now_us)
{
	if (skh_process_stop_requests() == 0 || sidecar->stop_deadline_us != 0)
		return;
	sidecar->stop_deadline_us = now_us + sidecar->settings->drain_ms * SKH_US_PER_MS;
	skh_log(SKH_LOG_INFO, PART, "Planned stop begins.", "attempts=%zu",
		skh_attempt_runner_attempt_count(sidecar->runner));
}

static void publish_admin_status(sidecar_t *sidecar)
{
	const skh_gate_t *gate = skh_attempt_runner_gate(sidecar->runner);

	g_atomic_int_set(&sidecar->admin_phase, (gint)skh_gate_phase(gate));
	g_atomic_int_set(&sidecar->admin_running, (gint)skh_gate_running(gate));
	g_atomic_int_set(&sidecar->admin_queued, (gint)skh_gate_queued(gate));
	if (sidecar->group)
		__atomic_store_n(&sidecar->admin_map_version,
				 skh_group_member_map_version(sidecar->group), __ATOMIC_RELAXED);
}

static void tick(sidecar_t *sidecar)
{
	int64_t now_us = skh_clock_now_us();
	bool leaving;

	if (now_us < sidecar->next_tick_us)
		return;
	sidecar->next_tick_us = now_us + TICK_US;
	begin_stop_if_requested(sidecar, now_us);
	leaving = sidecar->stop_deadline_us != 0 || g_atomic_int_get(&sidecar->drain_requested) ||
		  is_marked_leaving(sidecar);
	skh_attempt_runner_tick(sidecar->runner, is_service_known(sidecar), leaving, now_us);
	skh_config_watcher_hint_revision(sidecar->config_watcher,
					 skh_attempt_runner_newest_revision(sidecar->runner));
	if (sidecar->engine)
		skh_engine_tick(sidecar->engine, now_us);
	if (sidecar->group)
		skh_group_member_tick(sidecar->group, now_us);
	publish_admin_status(sidecar);
}

/*
 * Returns true once the process may exit. Attempts that still run at the stop
 * deadline are failed, so that entries resume them elsewhere.
 */
static bool finish_stop_if_due(sidecar_t *sidecar)
{
	if (sidecar->stop_deadline_us == 0)
		return false;
	if (skh_attempt_runner_attempt_count(sidecar->runner) == 0)
		return true;
	if (skh_clock_now_us() < sidecar->stop_deadline_us)
		return false;
	skh_attempt_runner_fail_all(sidecar->runner);
	return true;
}

static void handle_frame(sidecar_t *sidecar, const char *peer, Skh__Frame *frame)
{
	bool is_order_or_reply = frame->body_case == SKH__FRAME__BODY_ORDER ||
				 frame->body_case == SKH__FRAME__BODY_ORDER_REPLY;

	if (!is_order_or_reply) {
		skh_attempt_runner_on_frame(sidecar->runner, peer, frame);
		return;
	}
	if (sidecar->group)
		skh_group_member_on_frame(sidecar->group, peer, frame);
	skh_wire_free(frame);
}

static void run_event_loop(sidecar_t *sidecar)
{
	char peer[SKH_SIDECAR_LINK_PEER_BYTES];
	Skh__Frame *frame;

	while (!finish_stop_if_due(sidecar)) {
		tick(sidecar);
		/* ZeroMQ's descriptor is edge-triggered, so all pending frames are read. */
		while ((frame = skh_sidecar_link_receive(sidecar->link, peer)) != NULL)
			handle_frame(sidecar, peer, frame);
		skh_attempt_runner_poll(sidecar->runner, sidecar->next_tick_us);
	}
}

static bool is_ready(void *context)
{
	sidecar_t *sidecar = context;

	return g_atomic_int_get(&sidecar->admin_phase) == SKH_PHASE_READY;
}

static json_t *engine_status(sidecar_t *sidecar)
{
	skh_engine_view_t view;

	if (!sidecar->engine)
		return json_null();
	skh_engine_get_view(sidecar->engine, &view);
	return json_pack("{s:b, s:i, s:i, s:i, s:I, s:I, s:I}", "reported", view.reported_us != 0,
			 "running", (int)view.running, "queued", (int)view.queued,
			 "cached_prefixes", (int)view.cached_prefixes, "events_missed",
			 (json_int_t)view.events_missed, "orders_done",
			 (json_int_t)view.orders_done, "orders_failed",
			 (json_int_t)view.orders_failed);
}

static json_t *get_status(void *context)
{
	static const char *const phases[] = { "starting", "ready", "leaving" };
	sidecar_t *sidecar = context;
	const skh_settings_t *settings = sidecar->settings;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:s, s:I, s:i, s:i, s:i, s:s, s:I, s:o}", "id",
		settings->id, "role", "sidecar", "failure_domain", settings->failure_domain,
		"service", settings->backend_service, "ready", is_ready(sidecar), "phase",
		phases[g_atomic_int_get(&sidecar->admin_phase)], "revision",
		(json_int_t)skh_board_config_revision(sidecar->board), "running",
		g_atomic_int_get(&sidecar->admin_running), "queued",
		g_atomic_int_get(&sidecar->admin_queued), "capacity",
		(int)settings->backend_capacity, "group", settings->backend_group, "map_version",
		(json_int_t)__atomic_load_n(&sidecar->admin_map_version, __ATOMIC_RELAXED),
		"engine", engine_status(sidecar));
}

/*
 * The fencing token is the revision of the configuration in force, so an engine
 * can reject older orders.
 */
static bool enqueue_order(void *context, const json_t *body, skh_error_t *err)
{
	static const char *const kinds[] = { "load_model", "load_adapter", "set_role" };
	sidecar_t *sidecar = context;
	const char *kind = json_string_value(json_object_get(body, "order"));
	const char *name = json_string_value(json_object_get(body, "name"));
	const char *version = json_string_value(json_object_get(body, "version"));
	skh_backend_order_t order = { .fence =
					      (uint64_t)skh_board_config_revision(sidecar->board) };

	if (!sidecar->engine)
		return skh_error_set(err, SKH_NOT_FOUND, "a plain service takes no orders");
	if (!kind || !name || strlen(name) >= SKH_BACKEND_ORDER_NAME_BYTES ||
	    (version && strlen(version) >= SKH_BACKEND_ORDER_NAME_BYTES))
		return skh_error_set(err, SKH_BAD_REQUEST, "\"order\" and \"name\" are needed");
	(void)g_strlcpy(order.name, name, sizeof(order.name));
	(void)g_strlcpy(order.version, version ? version : "", sizeof(order.version));
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i], kind) != 0)
			continue;
		order.kind = (skh_backend_order_kind_t)i;
		skh_engine_enqueue_order(sidecar->engine, &order);
		return true;
	}
	return skh_error_set(err, SKH_BAD_REQUEST, "no order is called \"%.32s\"", kind);
}

static void set_draining(void *context, bool draining)
{
	g_atomic_int_set(&((sidecar_t *)context)->drain_requested, draining);
}

static const skh_admin_ops_t admin_ops = { .is_ready = is_ready,
					   .get_status = get_status,
					   .set_draining = set_draining,
					   .enqueue_order = enqueue_order };

static bool open_sidecar(sidecar_t *sidecar, skh_error_t *err)
{
	const skh_settings_t *settings = sidecar->settings;

	sidecar->board = skh_board_new();
	sidecar->store = skh_settings_open_store(settings);
	sidecar->config_watcher =
		skh_config_watcher_start(sidecar->store, settings, sidecar->board);
	sidecar->link = skh_sidecar_link_open(settings, err);
	if (!sidecar->link)
		return false;
	sidecar->backend = settings->backend_kind == SKH_BACKEND_ENGINE
				   ? skh_backend_new_engine(settings->backend_url)
				   : skh_backend_new_plain(settings->backend_url);
	sidecar->engine = skh_engine_new(sidecar->backend);
	sidecar->runner = skh_attempt_runner_new(settings, sidecar->board, sidecar->store,
						 sidecar->link, sidecar->backend, sidecar->engine);
	if (*settings->backend_group && sidecar->backend->ops->send_map_order)
		sidecar->group = skh_group_member_new(settings, sidecar->board, sidecar->store,
						      sidecar->link, sidecar->backend);
	return true;
}

static void close_sidecar(sidecar_t *sidecar)
{
	if (sidecar->link) {
		skh_group_member_free(sidecar->group);
		skh_attempt_runner_free(sidecar->runner);
		skh_engine_free(sidecar->engine);
		skh_backend_free(sidecar->backend);
		skh_sidecar_link_close(sidecar->link);
	}
	skh_config_watcher_stop(sidecar->config_watcher);
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
		run_event_loop(&sidecar);
		skh_log(SKH_LOG_INFO, PART, "Sidecar has stopped.", "id=%s", settings->id);
		skh_admin_stop(admin);
	} else {
		skh_log(SKH_LOG_ERROR, PART, "Start failed.", "reason=%s", err.text);
	}
	close_sidecar(&sidecar);
	return admin ? 0 : 1;
}
