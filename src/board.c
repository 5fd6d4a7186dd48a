#include "board.h"

#include <urcu-bp.h>

#include <glib.h>
#include <string.h>

/* A section is stored behind this header; readers see only the payload. */
typedef struct header {
	struct rcu_head rcu;
	gint references;
	void (*destroy)(void *payload);
} header_t;

struct skh_board {
	header_t *sections[SKH_BOARD_SECTION_COUNT];
};

static void *payload_of(header_t *header)
{
	return header + 1;
}

static header_t *header_of(const void *payload)
{
	return (header_t *)payload - 1;
}

static header_t *new_section(size_t payload_bytes, void (*destroy)(void *payload))
{
	header_t *header = g_malloc0(sizeof(*header) + payload_bytes);

	header->references = 1;
	header->destroy = destroy;
	return header;
}

static void drop(header_t *header)
{
	if (!g_atomic_int_dec_and_test(&header->references))
		return;
	header->destroy(payload_of(header));
	g_free(header);
}

static void drop_after_grace(struct rcu_head *rcu)
{
	drop(caa_container_of(rcu, header_t, rcu));
}

static void publish(skh_board_t *board, skh_board_section_t id, header_t *fresh)
{
	header_t *old = rcu_xchg_pointer(&board->sections[id], fresh);

	if (old)
		call_rcu(&old->rcu, drop_after_grace);
}

/* The grace period keeps the count above zero until the lock is released. */
static void *take(skh_board_t *board, skh_board_section_t id)
{
	header_t *header;

	rcu_read_lock();
	header = rcu_dereference(board->sections[id]);
	if (header)
		g_atomic_int_inc(&header->references);
	rcu_read_unlock();
	return header ? payload_of(header) : NULL;
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

static void destroy_members(void *payload)
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

static void destroy_nothing(void *payload)
{
	(void)payload;
}

/* The section takes over what @content holds; the struct itself is given up. */
static void publish_content(skh_board_t *board, skh_board_section_t id, void *content, size_t size,
			    void (*destroy)(void *payload))
{
	header_t *header = new_section(size, destroy);

	memcpy(payload_of(header), content, size);
	g_free(content);
	publish(board, id, header);
}

void skh_board_publish_config(skh_board_t *board, skh_config_t *config)
{
	publish_content(board, SKH_BOARD_SECTION_CONFIG, config, sizeof(*config), destroy_config);
}

void skh_board_publish_instances(skh_board_t *board, skh_instances_t *members)
{
	publish_content(board, SKH_BOARD_SECTION_INSTANCES, members, sizeof(*members),
			destroy_members);
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
	return take(board, SKH_BOARD_SECTION_ROUTING);
}

const skh_roster_t *skh_board_acquire_roster(skh_board_t *board)
{
	return take(board, SKH_BOARD_SECTION_ROSTER);
}

void skh_board_publish_lifecycle(skh_board_t *board, skh_lifecycle_t self)
{
	header_t *header = new_section(sizeof(self), destroy_nothing);

	*(skh_lifecycle_t *)payload_of(header) = self;
	publish(board, SKH_BOARD_SECTION_LIFECYCLE, header);
}

const skh_config_t *skh_board_acquire_config(skh_board_t *board)
{
	return take(board, SKH_BOARD_SECTION_CONFIG);
}

const skh_instances_t *skh_board_acquire_instances(skh_board_t *board)
{
	return take(board, SKH_BOARD_SECTION_INSTANCES);
}

skh_lifecycle_t skh_board_get_lifecycle(skh_board_t *board)
{
	skh_lifecycle_t *section = take(board, SKH_BOARD_SECTION_LIFECYCLE);
	skh_lifecycle_t self = section ? *section : (skh_lifecycle_t){ SKH_LIFECYCLE_STARTING, 0 };

	skh_board_release(section);
	return self;
}

void skh_board_release(const void *section)
{
	if (section)
		drop(header_of(section));
}

int64_t skh_board_config_revision(skh_board_t *board)
{
	const skh_config_t *config = skh_board_acquire_config(board);
	int64_t revision = config ? config->revision : 0;

	skh_board_release(config);
	return revision;
}
