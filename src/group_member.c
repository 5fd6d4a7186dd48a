#include "group_member.h"

#include "clock.h"
#include "fetch.h"
#include "leader.h"
#include "log.h"
#include "mapswitch.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define PART	  "group"
#define RESEND_US (200 * SKH_US_PER_MS)
#define HTTP_OK	  200

struct skh_group_member {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_sidecar_link_t *port;
	skh_backend_t *backend;
	skh_fetch_t *fetch;
	skh_leader_t *leader;
	skh_rank_t rank;
	bool rank_ready; /* the fence's floor is known */
	uint64_t orders; /* numbers the transfers to the engine */
	char *placement; /* of the order at the engine, or prepared before it */
	/* While this sidecar leads: */
	skh_mapswitch_t *mapswitch;
	uint64_t switch_fence;
	uint64_t done_version;	 /* brought about under @switch_fence */
	int64_t wanted_revision; /* of the configuration that the next three are from */
	uint64_t wanted_version; /* 0 when it does not name the group */
	size_t wanted_ranks;
	char *wanted_placement;
	int64_t resend_at_us;
	GHashTable *connected; /* addresses of other ranks */
};

static void on_engine_bytes(void *context, uint64_t id, int32_t status, const char *content_type,
			    skh_chunk_t bytes)
{
	(void)context;
	(void)id;
	(void)status;
	(void)content_type;
	(void)bytes;
}

static void on_engine_done(void *context, uint64_t id, int32_t status, const char *content_type,
			   const skh_error_t *err)
{
	skh_group_member_t *member = context;
	bool succeeded = !err && status == HTTP_OK;

	(void)id;
	(void)content_type;
	if (!succeeded)
		skh_log(SKH_LOG_WARNING, PART, "The engine did not carry out an order.",
			"status=%d reason=%s", status, err ? err->text : "");
	skh_rank_complete_order(&member->rank, succeeded);
}

static skh_order_outcome_t take_order(skh_group_member_t *member, const skh_order_t *order,
				      const char *placement)
{
	skh_order_outcome_t outcome = skh_rank_handle_order(&member->rank, order);

	if (outcome != SKH_ORDER_FORWARD)
		return outcome;
	if (order->step == SKH_STEP_PREPARE) {
		g_free(member->placement);
		member->placement = g_strdup(placement);
	}
	member->backend->ops->send_map_order(member->backend, member->fetch, ++member->orders,
					     order, member->placement ? member->placement : "",
					     skh_clock_now_us());
	return SKH_ORDER_BUSY;
}

static void on_order(skh_group_member_t *member, const char *peer, const Skh__Order *body)
{
	const skh_order_t order = { body->fence, (skh_order_step_t)body->step, body->version };
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__OrderReply reply = SKH__ORDER_REPLY__INIT;

	/* Without the floor, an order of a coordinator long replaced could pass. */
	if (!member->rank_ready || body->step >= SKH_STEP_COUNT ||
	    strcmp(body->group, member->settings->backend_group) != 0)
		return;
	reply.outcome = take_order(member, &order, body->placement);
	reply.group = body->group;
	reply.rank = (uint32_t)member->settings->backend_rank;
	reply.fence = order.fence;
	reply.step = body->step;
	reply.version = order.version;
	reply.fence_seen = member->rank.highest_fence;
	reply.in_place = skh_rank_is_running_version(&member->rank, order.version);
	frame.body_case = SKH__FRAME__BODY_ORDER_REPLY;
	frame.order_reply = &reply;
	(void)skh_sidecar_link_send(member->port, peer, &frame);
}

static void on_reply(skh_group_member_t *member, const Skh__OrderReply *body)
{
	const skh_order_t order = { body->fence, (skh_order_step_t)body->step, body->version };

	if (member->mapswitch && strcmp(body->group, member->settings->backend_group) == 0)
		skh_mapswitch_record_reply(member->mapswitch, body->rank, &order,
					   (skh_order_outcome_t)body->outcome, body->in_place);
}

void skh_group_member_on_frame(skh_group_member_t *member, const char *peer,
			       const Skh__Frame *frame)
{
	if (frame->body_case == SKH__FRAME__BODY_ORDER)
		on_order(member, peer, frame->order);
	else if (frame->body_case == SKH__FRAME__BODY_ORDER_REPLY)
		on_reply(member, frame->order_reply);
}

static void send_order(skh_group_member_t *member, const skh_leader_rank_t *rank,
		       const skh_order_t *order)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Order body = SKH__ORDER__INIT;

	if (!*rank->id)
		return;
	if (!g_hash_table_contains(member->connected, rank->link_address)) {
		skh_sidecar_link_connect(member->port, rank->link_address);
		g_hash_table_add(member->connected, g_strdup(rank->link_address));
	}
	body.group = (char *)member->settings->backend_group;
	body.fence = order->fence;
	body.step = order->step;
	body.version = order->version;
	if (order->step == SKH_STEP_PREPARE)
		body.placement = member->wanted_placement;
	frame.body_case = SKH__FRAME__BODY_ORDER;
	frame.order = &body;
	frame.revision = (uint64_t)skh_board_config_revision(member->board);
	(void)skh_sidecar_link_send(member->port, rank->id, &frame);
}

/* Its own rank gets its orders without the network. */
static void order_self(skh_group_member_t *member, size_t rank, const skh_order_t *order)
{
	skh_order_outcome_t outcome = take_order(member, order, member->wanted_placement);

	skh_mapswitch_record_reply(member->mapswitch, rank, order, outcome,
				   skh_rank_is_running_version(&member->rank, order->version));
}

static void send_orders(skh_group_member_t *member, const skh_leader_view_t *view)
{
	for (size_t i = 0; i < view->n_ranks; i++) {
		skh_order_t order;

		if (!skh_mapswitch_next_order(member->mapswitch, i, &order))
			continue;
		if ((int64_t)i == member->settings->backend_rank)
			order_self(member, i, &order);
		else
			send_order(member, &view->ranks[i], &order);
	}
}

static void end_switch(skh_group_member_t *member)
{
	skh_mapswitch_free(member->mapswitch);
	member->mapswitch = NULL;
}

/* Version by content, so that every leader names a map alike. */
static void take_wanted(skh_group_member_t *member, const skh_config_t *config)
{
	const skh_group_t *group =
		skh_manifest_group(config->manifest, member->settings->backend_group);

	member->wanted_revision = config->revision;
	member->wanted_version = 0;
	if (!group)
		return;
	g_free(member->wanted_placement);
	member->wanted_placement = skh_doc_node_to_json(group->placement);
	member->wanted_version =
		skh_chunk_hash(skh_chunk_from_string(member->wanted_placement), 0) >> 1 | 1;
	member->wanted_ranks = (size_t)group->ranks;
}

static void look_at_wanted(skh_group_member_t *member)
{
	const skh_config_t *config = skh_board_acquire_config(member->board);

	if (config && config->revision != member->wanted_revision)
		take_wanted(member, config);
	skh_board_release(config);
}

static void note_end(skh_group_member_t *member)
{
	if (skh_mapswitch_is_done(member->mapswitch)) {
		member->done_version = skh_mapswitch_version(member->mapswitch);
		skh_log(SKH_LOG_INFO, PART, "The group runs on its map.",
			"group=%s version=%" PRIu64 " fence=%" PRIu64,
			member->settings->backend_group, member->done_version,
			member->switch_fence);
		end_switch(member);
	} else if (skh_mapswitch_is_fenced(member->mapswitch)) {
		end_switch(member);
	}
}

static void drive(skh_group_member_t *member, const skh_leader_view_t *view)
{
	look_at_wanted(member);
	if (member->wanted_version == 0 || view->n_ranks != member->wanted_ranks)
		return;
	if (view->fence != member->switch_fence) {
		end_switch(member);
		member->switch_fence = view->fence;
		member->done_version = 0;
	}
	if (!member->mapswitch && member->wanted_version != member->done_version)
		member->mapswitch = skh_mapswitch_new(member->wanted_ranks, view->fence,
						      member->wanted_version);
	if (!member->mapswitch)
		return;
	send_orders(member, view);
	note_end(member);
}

static void look(skh_group_member_t *member, int64_t now_us)
{
	skh_leader_view_t view;

	skh_leader_get_view(member->leader, &view);
	if (view.has_fence_floor && !member->rank_ready) {
		skh_rank_init(&member->rank, view.fence_floor);
		member->rank_ready = true;
	}
	if (view.fence != 0 && now_us < view.lease_deadline_us && member->rank_ready)
		drive(member, &view);
	else
		end_switch(member);
	g_free(view.ranks);
}

void skh_group_member_tick(skh_group_member_t *member, int64_t now_us)
{
	skh_fetch_poll(member->fetch, now_us);
	if (now_us < member->resend_at_us)
		return;
	member->resend_at_us = now_us + RESEND_US;
	look(member, now_us);
}

uint64_t skh_group_member_map_version(const skh_group_member_t *member)
{
	return member->rank.version;
}

static const skh_fetch_ops_t engine_events = { .on_body = on_engine_bytes,
					       .on_done = on_engine_done };

skh_group_member_t *skh_group_member_new(const skh_settings_t *settings, skh_board_t *board,
					 skh_store_t *store, skh_sidecar_link_t *port,
					 skh_backend_t *backend)
{
	skh_group_member_t *member = g_new0(skh_group_member_t, 1);

	member->settings = settings;
	member->board = board;
	member->port = port;
	member->backend = backend;
	member->fetch = skh_fetch_new(&engine_events, member);
	member->leader = skh_leader_start(store, settings);
	member->connected = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return member;
}

void skh_group_member_free(skh_group_member_t *member)
{
	if (!member)
		return;
	skh_leader_stop(member->leader);
	skh_mapswitch_free(member->mapswitch);
	skh_fetch_free(member->fetch);
	g_hash_table_unref(member->connected);
	g_free(member->wanted_placement);
	g_free(member->placement);
	g_free(member);
}
