#include "board.h"

#include <urcu-bp.h>

#include <glib.h>
#include <string.h>

/* Precedes the payload of each section in memory; readers see only the payload. */
typedef struct section_header {
	struct rcu_head rcu;
	gint refcount;
	void (*destroy)(void *payload);
} section_header_t;

struct skh_board {
	section_header_t *sections[SKH_BOARD_SECTION_COUNT];
};

static void *get_payload(section_header_t *header)
{
	return header + 1;
}

static section_header_t *get_header(const void *payload)
{
	return (section_header_t *)payload - 1;
}

static section_header_t *new_section(size_t payload_bytes, void (*destroy)(void *payload))
{
	section_header_t *header = g_malloc0(sizeof(*header) + payload_bytes);

	header->refcount = 1;
	header->destroy = destroy;
	return header;
}

static void unref_section(section_header_t *header)
{
	if (!g_atomic_int_dec_and_test(&header->refcount))
		return;
	header->destroy(get_payload(header));
	g_free(header);
}

static void unref_after_grace_period(struct rcu_head *rcu)
{
	unref_section(caa_container_of(rcu, section_header_t, rcu));
}

static void publish(skh_board_t *board, skh_board_section_t id, section_header_t *replacement)
{
	section_header_t *old = rcu_xchg_pointer(&board->sections[id], replacement);

	if (old)
		call_rcu(&old->rcu, unref_after_grace_period);
}

/*
 * publish() drops the board's reference only after a grace period, so the count
 * cannot reach zero between the load of the pointer and the increment.
 */
static void *acquire_section(skh_board_t *board, skh_board_section_t id)
{
	section_header_t *header;

	rcu_read_lock();
	header = rcu_dereference(board->sections[id]);
	if (header)
		g_atomic_int_inc(&header->refcount);
	rcu_read_unlock();
	return header ? get_payload(header) : NULL;
}

skh_board_t *skh_board_new(void)
{
	return g_new0(skh_board_t, 1);
}

void skh_board_free(skh_board_t *board)
{
	for (int32_t i = 0; i < SKH_BOARD_SECTION_COUNT; i++)
		publish(board, (skh_board_section_t)i, NULL);
	rcu_barrier();
	g_free(board);
}

static void destroy_config(void *payload)
{
	skh_config_t *config = payload;

	skh_manifest_unref(config->manifest);
	g_free(config->author);
	g_free(config->reason);
}

static void destroy_instances(void *payload)
{
	skh_instances_clear(payload);
}

static void destroy_routing(void *payload)
{
	skh_routing_clear(payload);
}

static void destroy_roster(void *payload)
{
	skh_roster_clear(payload);
}

static void destroy_noop(void *payload)
{
	(void)payload;
}

/* Moves @content into a new section, which owns everything @content refers to, and frees @content. */
static void publish_content(skh_board_t *board, skh_board_section_t id, void *content, size_t size,
			    void (*destroy)(void *payload))
{
	section_header_t *header = new_section(size, destroy);

	memcpy(get_payload(header), content, size);
	g_free(content);
	publish(board, id, header);
}

void skh_board_publish_config(skh_board_t *board, skh_config_t *config)
{
	publish_content(board, SKH_BOARD_SECTION_CONFIG, config, sizeof(*config), destroy_config);
}

void skh_board_publish_instances(skh_board_t *board, skh_instances_t *instances)
{
	publish_content(board, SKH_BOARD_SECTION_INSTANCES, instances, sizeof(*instances),
			destroy_instances);
}

void skh_board_publish_routing(skh_board_t *board, skh_routing_t *routing)
{
	publish_content(board, SKH_BOARD_SECTION_ROUTING, routing, sizeof(*routing),
			destroy_routing);
}

void skh_board_publish_roster(skh_board_t *board, skh_roster_t *roster)
{
	publish_content(board, SKH_BOARD_SECTION_ROSTER, roster, sizeof(*roster), destroy_roster);
}

const skh_routing_t *skh_board_acquire_routing(skh_board_t *board)
{
	return acquire_section(board, SKH_BOARD_SECTION_ROUTING);
}

const skh_roster_t *skh_board_acquire_roster(skh_board_t *board)
{
	return acquire_section(board, SKH_BOARD_SECTION_ROSTER);
}

void skh_board_publish_lifecycle(skh_board_t *board, skh_lifecycle_t lifecycle)
{
	section_header_t *header = new_section(sizeof(lifecycle), destroy_noop);

	*(skh_lifecycle_t *)get_payload(header) = lifecycle;
	publish(board, SKH_BOARD_SECTION_LIFECYCLE, header);
}

const skh_config_t *skh_board_acquire_config(skh_board_t *board)
{
	return acquire_section(board, SKH_BOARD_SECTION_CONFIG);
}

const skh_instances_t *skh_board_acquire_instances(skh_board_t *board)
{
	return acquire_section(board, SKH_BOARD_SECTION_INSTANCES);
}

skh_lifecycle_t skh_board_get_lifecycle(skh_board_t *board)
{
	skh_lifecycle_t *section = acquire_section(board, SKH_BOARD_SECTION_LIFECYCLE);
	skh_lifecycle_t lifecycle =
		section ? *section : (skh_lifecycle_t){ SKH_LIFECYCLE_STARTING, 0, 0 };

	skh_board_release(section);
	return lifecycle;
}

void skh_board_release(const void *section)
{
	if (section)
		unref_section(get_header(section));
}

int64_t skh_board_config_revision(skh_board_t *board)
{
	const skh_config_t *config = skh_board_acquire_config(board);
	int64_t revision = config ? config->revision : 0;

	skh_board_release(config);
	return revision;
}
