#include "group_member.h"

#include "clock.h"
#include "fetch.h"
#include "leader.h"
#include "log.h"
#include "mapswitch.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define PART		 "group"
#define RESEND_PERIOD_US (200 * SKH_US_PER_MS)
#define HTTP_OK		 200

struct skh_group_member {
	const skh_settings_t *settings;
	skh_board_t *board;
	skh_sidecar_link_t *link;
	skh_backend_t *backend;
	skh_fetch_t *fetch;
	skh_leader_t *leader;
	skh_rank_t rank;
	bool is_rank_initialized;  /* @rank has received the fence floor */
	uint64_t last_transfer_id; /* id of the newest transfer to the engine */
	char *prepared_placement; /* JSON of the last prepare order; sent to the engine with each order */
	/* Used only while this sidecar leads the group, except for @next_resend_us: */
	skh_mapswitch_t *mapswitch; /* NULL while no switch is in progress */
	uint64_t switch_fence;	    /* fencing token of the lease under which orders are sent */
	uint64_t completed_version; /* map version switched to under @switch_fence; 0 for none */
	int64_t desired_revision;   /* revision of the configuration that defines the desired map */
	uint64_t desired_version;   /* 0 if the configuration has no such group */
	size_t desired_ranks;	    /* number of ranks in the configuration */
	char *desired_placement;    /* JSON */
	int64_t next_resend_us;	    /* when the leader view is next read and orders are sent */
	GHashTable *connected_links; /* link addresses of other ranks; a set */
};

static void on_engine_body(void *context, uint64_t id, int32_t status, const char *content_type,
			   skh_chunk_t bytes)
{
	(void)context;
	(void)id;
	(void)status;
	(void)content_type;
	(void)bytes;
}

static void on_engine_order_done(void *context, uint64_t id, int32_t status,
				 const char *content_type, const skh_error_t *err)
{
	skh_group_member_t *member = context;
	bool succeeded = !err && status == HTTP_OK;

	(void)id;
	(void)content_type;
	if (!succeeded)
		skh_log(SKH_LOG_WARNING, PART,
			"The engine failed to execute a map switch order; the leader will retry.",
			"status=%d reason=%s", status, err ? err->text : "");
	skh_rank_complete_order(&member->rank, succeeded);
}

static skh_mapswitch_order_outcome_t
handle_order(skh_group_member_t *member, const skh_mapswitch_order_t *order, const char *placement)
{
	skh_mapswitch_order_outcome_t outcome = skh_rank_handle_order(&member->rank, order);

	if (outcome != SKH_MAPSWITCH_ORDER_FORWARD)
		return outcome;
	if (order->step == SKH_STEP_PREPARE) {
		g_free(member->prepared_placement);
		member->prepared_placement = g_strdup(placement);
	}
	member->backend->ops->send_map_order(
		member->backend, member->fetch, ++member->last_transfer_id, order,
		member->prepared_placement ? member->prepared_placement : "", skh_clock_now_us());
	/* The leader resends the order and receives SKH_MAPSWITCH_ORDER_DONE once the engine has executed it. */
	return SKH_MAPSWITCH_ORDER_BUSY;
}

static void on_order_frame(skh_group_member_t *member, const char *peer, const Skh__Order *body)
{
	const skh_mapswitch_order_t order = { body->fence, (skh_mapswitch_order_step_t)body->step,
					      body->version };
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__OrderReply reply = SKH__ORDER_REPLY__INIT;

	/* Without the fence floor, an order of an earlier leader could be accepted. */
	if (!member->is_rank_initialized || body->step >= SKH_STEP_COUNT ||
	    strcmp(body->group, member->settings->backend_group) != 0)
		return;
	reply.outcome = handle_order(member, &order, body->placement);
	reply.group = body->group;
	reply.rank = (uint32_t)member->settings->backend_rank;
	reply.fence = order.fence;
	reply.step = body->step;
	reply.version = order.version;
	reply.fence_seen = member->rank.highest_fence;
	reply.in_place = skh_rank_is_running_version(&member->rank, order.version);
	frame.body_case = SKH__FRAME__BODY_ORDER_REPLY;
	frame.order_reply = &reply;
	(void)skh_sidecar_link_send(member->link, peer, &frame);
}

static void on_order_reply(skh_group_member_t *member, const Skh__OrderReply *body)
{
	const skh_mapswitch_order_t order = { body->fence, (skh_mapswitch_order_step_t)body->step,
					      body->version };

	if (member->mapswitch && strcmp(body->group, member->settings->backend_group) == 0)
		skh_mapswitch_record_response(member->mapswitch, body->rank, &order,
					      (skh_mapswitch_order_outcome_t)body->outcome,
					      body->in_place);
}

void skh_group_member_on_frame(skh_group_member_t *member, const char *peer,
			       const Skh__Frame *frame)
{
	if (frame->body_case == SKH__FRAME__BODY_ORDER)
		on_order_frame(member, peer, frame->order);
	else if (frame->body_case == SKH__FRAME__BODY_ORDER_REPLY)
		on_order_reply(member, frame->order_reply);
}

static void send_order(skh_group_member_t *member, const skh_leader_rank_t *rank,
		       const skh_mapswitch_order_t *order)
{
	Skh__Frame frame = SKH__FRAME__INIT;
	Skh__Order body = SKH__ORDER__INIT;

	if (!*rank->id)
		return;
	if (!g_hash_table_contains(member->connected_links, rank->link_address)) {
		skh_sidecar_link_connect(member->link, rank->link_address);
		g_hash_table_add(member->connected_links, g_strdup(rank->link_address));
	}
	body.group = (char *)member->settings->backend_group;
	body.fence = order->fence;
	body.step = order->step;
	body.version = order->version;
	if (order->step == SKH_STEP_PREPARE)
		body.placement = member->desired_placement;
	frame.body_case = SKH__FRAME__BODY_ORDER;
	frame.order = &body;
	frame.revision = (uint64_t)skh_board_config_revision(member->board);
	(void)skh_sidecar_link_send(member->link, rank->id, &frame);
}

/* Handles an order to this sidecar's own rank without using the network. */
static void send_order_to_self(skh_group_member_t *member, size_t rank,
			       const skh_mapswitch_order_t *order)
{
	skh_mapswitch_order_outcome_t outcome =
		handle_order(member, order, member->desired_placement);

	skh_mapswitch_record_response(member->mapswitch, rank, order, outcome,
				      skh_rank_is_running_version(&member->rank, order->version));
}

static void send_orders(skh_group_member_t *member, const skh_leader_view_t *view)
{
	for (size_t i = 0; i < view->n_ranks; i++) {
		skh_mapswitch_order_t order;

		if (!skh_mapswitch_next_order(member->mapswitch, i, &order))
			continue;
		if ((int64_t)i == member->settings->backend_rank)
			send_order_to_self(member, i, &order);
		else
			send_order(member, &view->ranks[i], &order);
	}
}

static void end_switch(skh_group_member_t *member)
{
	skh_mapswitch_free(member->mapswitch);
	member->mapswitch = NULL;
}

/*
 * The version is a hash of the placement, so that every leader gives the same map the same
 * version. The lowest bit is set because 0 stands for no map.
 */
static void load_desired_map(skh_group_member_t *member, const skh_config_t *config)
{
	const skh_group_t *group =
		skh_manifest_group(config->manifest, member->settings->backend_group);

	member->desired_revision = config->revision;
	member->desired_version = 0;
	if (!group)
		return;
	g_free(member->desired_placement);
	member->desired_placement = skh_doc_node_to_json(group->placement);
	member->desired_version =
		skh_chunk_hash(skh_chunk_from_string(member->desired_placement), 0) >> 1 | 1;
	member->desired_ranks = (size_t)group->ranks;
}

static void refresh_desired_map(skh_group_member_t *member)
{
	const skh_config_t *config = skh_board_acquire_config(member->board);

	if (config && config->revision != member->desired_revision)
		load_desired_map(member, config);
	skh_board_release(config);
}

static void end_switch_if_finished(skh_group_member_t *member)
{
	if (skh_mapswitch_is_done(member->mapswitch)) {
		member->completed_version = skh_mapswitch_version(member->mapswitch);
		skh_log(SKH_LOG_INFO, PART, "Every rank of the group runs on the same map.",
			"group=%s version=%" PRIu64 " fence=%" PRIu64,
			member->settings->backend_group, member->completed_version,
			member->switch_fence);
		end_switch(member);
	} else if (skh_mapswitch_is_fenced(member->mapswitch)) {
		end_switch(member);
	}
}

static void drive_switch(skh_group_member_t *member, const skh_leader_view_t *view)
{
	refresh_desired_map(member);
	if (member->desired_version == 0 || view->n_ranks != member->desired_ranks)
		return;
	if (view->fence != member->switch_fence) {
		end_switch(member);
		member->switch_fence = view->fence;
		member->completed_version = 0;
	}
	if (!member->mapswitch && member->desired_version != member->completed_version)
		member->mapswitch = skh_mapswitch_new(member->desired_ranks, view->fence,
						      member->desired_version);
	if (!member->mapswitch)
		return;
	send_orders(member, view);
	end_switch_if_finished(member);
}

static void apply_leader_view(skh_group_member_t *member, int64_t now_us)
{
	skh_leader_view_t view;

	skh_leader_get_view(member->leader, &view);
	if (view.has_fence_floor && !member->is_rank_initialized) {
		skh_rank_init(&member->rank, view.fence_floor);
		member->is_rank_initialized = true;
	}
	if (view.fence != 0 && now_us < view.lease_deadline_us && member->is_rank_initialized)
		drive_switch(member, &view);
	else
		end_switch(member);
	g_free(view.ranks);
}

void skh_group_member_tick(skh_group_member_t *member, int64_t now_us)
{
	skh_fetch_poll(member->fetch, now_us);
	if (now_us < member->next_resend_us)
		return;
	member->next_resend_us = now_us + RESEND_PERIOD_US;
	apply_leader_view(member, now_us);
}

uint64_t skh_group_member_map_version(const skh_group_member_t *member)
{
	return member->rank.version;
}

static const skh_fetch_ops_t engine_fetch_ops = { .on_body = on_engine_body,
						  .on_done = on_engine_order_done };

skh_group_member_t *skh_group_member_new(const skh_settings_t *settings, skh_board_t *board,
					 skh_store_t *store, skh_sidecar_link_t *link,
					 skh_backend_t *backend)
{
	skh_group_member_t *member = g_new0(skh_group_member_t, 1);

	member->settings = settings;
	member->board = board;
	member->link = link;
	member->backend = backend;
	member->fetch = skh_fetch_new(&engine_fetch_ops, member);
	member->leader = skh_leader_start(store, settings);
	member->connected_links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return member;
}

void skh_group_member_free(skh_group_member_t *member)
{
	if (!member)
		return;
	skh_leader_stop(member->leader);
	skh_mapswitch_free(member->mapswitch);
	skh_fetch_free(member->fetch);
	g_hash_table_unref(member->connected_links);
	g_free(member->desired_placement);
	g_free(member->prepared_placement);
	g_free(member);
}
