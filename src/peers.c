#include "peers.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

#define HELLO_CONNECTING_US  (200 * SKH_US_PER_MS)
#define HELLO_BUSY_US	     (500 * SKH_US_PER_MS)
#define HELLO_IDLE_MIN_US    (2 * SKH_US_PER_S)
#define SILENCE_US	     (2500 * SKH_US_PER_MS)
#define HELLO_EXCHANGE_BYTES 250
#define HELLO_BYTES_PER_S    1000
#define AVOID_FIRST_US	     (1 * SKH_US_PER_S)
#define AVOID_MAX_SHIFT	     5

struct skh_peers {
	GPtrArray *list;
	GHashTable *by_id;
};

static void free_peer(gpointer item)
{
	skh_peer_t *peer = item;

	g_free(peer->id);
	g_free(peer->link);
	g_free(peer->failure_domain);
	g_free(peer->service);
	g_free(peer->group);
	g_free(peer->admin);
	g_free(peer);
}

skh_peers_t *skh_peers_new(void)
{
	skh_peers_t *peers = g_new0(skh_peers_t, 1);

	peers->list = g_ptr_array_new_with_free_func(free_peer);
	peers->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return peers;
}

void skh_peers_free(skh_peers_t *peers)
{
	g_hash_table_unref(peers->by_id);
	g_ptr_array_unref(peers->list);
	g_free(peers);
}

size_t skh_peers_count(const skh_peers_t *peers)
{
	return peers->list->len;
}

skh_peer_t *skh_peers_at(const skh_peers_t *peers, size_t index)
{
	return g_ptr_array_index(peers->list, index);
}

skh_peer_t *skh_peers_find(const skh_peers_t *peers, const char *id)
{
	return g_hash_table_lookup(peers->by_id, id);
}

static void set_text(char **target, const char *text)
{
	if (*target && strcmp(*target, text) == 0)
		return;
	g_free(*target);
	*target = g_strdup(text);
}

static skh_peer_t *add_peer(skh_peers_t *peers, const skh_instance_t *member, int64_t now_us)
{
	skh_peer_t *peer = g_new0(skh_peer_t, 1);

	peer->id = g_strdup(member->id);
	peer->service = g_strdup("");
	peer->group = g_strdup("");
	peer->next_hello_us = now_us;
	g_ptr_array_add(peers->list, peer);
	g_hash_table_insert(peers->by_id, peer->id, peer);
	return peer;
}

static void drop_unlisted(skh_peers_t *peers)
{
	for (size_t i = peers->list->len; i-- > 0;) {
		skh_peer_t *peer = skh_peers_at(peers, i);

		if (peer->listed || peer->own_in_flight > 0)
			continue;
		g_hash_table_remove(peers->by_id, peer->id);
		g_ptr_array_remove_index_fast(peers->list, (guint)i);
	}
}

void skh_peers_sync(skh_peers_t *peers, const skh_instances_t *members, int64_t now_us)
{
	for (size_t i = 0; i < peers->list->len; i++)
		skh_peers_at(peers, i)->listed = false;
	for (size_t i = 0; i < members->count; i++) {
		const skh_instance_t *member = &members->list[i];
		skh_peer_t *peer;

		if (strcmp(member->role, "sidecar") != 0)
			continue;
		peer = skh_peers_find(peers, member->id);
		if (!peer)
			peer = add_peer(peers, member, now_us);
		peer->listed = true;
		peer->listed_leaving = member->leaving;
		set_text(&peer->link, member->link_address);
		set_text(&peer->admin, member->admin_address);
		set_text(&peer->failure_domain, member->failure_domain);
	}
	drop_unlisted(peers);
}

static void take_status(skh_peer_t *peer, const Skh__Status *status)
{
	peer->incarnation = status->incarnation;
	peer->phase = (skh_phase_t)status->phase;
	peer->reported_clock_us = status->clock_us;
	peer->running = status->running;
	peer->queued = status->queued;
	peer->capacity = status->capacity;
	peer->rank = status->rank;
	peer->map_version = status->map_version;
	set_text(&peer->service, status->service);
	set_text(&peer->group, status->group);
}

bool skh_peers_record_frame(skh_peer_t *peer, const Skh__Status *status, int64_t revision,
			    int64_t now_us)
{
	bool replaced = false;

	peer->silence_deadline_us = now_us + SILENCE_US;
	peer->config_revision = MAX(peer->config_revision, revision);
	if (!status)
		return false;
	replaced = peer->incarnation != 0 && peer->incarnation != status->incarnation;
	if (replaced)
		peer->config_revision = revision;
	peer->reachable = true;
	peer->last_received_us = now_us;
	peer->own_in_flight_at_report = peer->own_in_flight;
	take_status(peer, status);
	return replaced;
}

/* Idle hellos share a fixed byte rate, so the interval grows with the fleet. */
static int64_t idle_interval_us(const skh_peers_t *peers)
{
	int64_t sweep_us =
		(int64_t)peers->list->len * HELLO_EXCHANGE_BYTES * SKH_US_PER_S / HELLO_BYTES_PER_S;

	return MAX(sweep_us, HELLO_IDLE_MIN_US);
}

bool skh_peers_schedule_hello(skh_peers_t *peers, skh_peer_t *peer, int64_t now_us)
{
	bool silent =
		now_us + HELLO_BUSY_US > peer->silence_deadline_us - SILENCE_US + 2 * HELLO_BUSY_US;

	if (now_us < peer->next_hello_us)
		return false;
	if (!peer->reachable)
		peer->next_hello_us = now_us + HELLO_CONNECTING_US;
	else if (peer->own_in_flight > 0)
		peer->next_hello_us = now_us + HELLO_BUSY_US;
	else
		peer->next_hello_us = now_us + idle_interval_us(peers);
	/* Frames of running work prove life; only a silent busy peer is asked. */
	return !peer->reachable || peer->own_in_flight == 0 || silent;
}

/* What this entry has sent and had back since the report is not in it. */
uint32_t skh_peers_estimate_load(const skh_peer_t *peer)
{
	int64_t reported = (int64_t)peer->running + peer->queued;
	int64_t since = (int64_t)peer->own_in_flight - peer->own_in_flight_at_report;

	return (uint32_t)MAX(reported + since, (int64_t)peer->own_in_flight);
}

bool skh_peers_is_lost(const skh_peer_t *peer, int64_t now_us)
{
	return peer->reachable && peer->own_in_flight > 0 && now_us >= peer->silence_deadline_us;
}

void skh_peers_set_lost(skh_peer_t *peer, int64_t now_us)
{
	peer->reachable = false;
	peer->next_hello_us = now_us;
}

int64_t skh_peers_min_clock_us(const skh_peer_t *peer, int64_t now_us)
{
	return peer->reported_clock_us + (now_us - peer->last_received_us);
}

void skh_peers_begin_request(skh_peer_t *peer, int64_t now_us)
{
	/* The silence of an idle peer says nothing; start watching it now. */
	if (peer->own_in_flight == 0) {
		peer->silence_deadline_us = now_us + SILENCE_US;
		peer->next_hello_us = MIN(peer->next_hello_us, now_us + HELLO_BUSY_US);
	}
	peer->own_in_flight++;
}

void skh_peers_end_request(skh_peer_t *peer, bool succeeded, int64_t now_us)
{
	if (peer->own_in_flight > 0)
		peer->own_in_flight--;
	if (succeeded) {
		peer->consecutive_failures = 0;
		return;
	}
	peer->avoid_until_us =
		now_us + (AVOID_FIRST_US << MIN(peer->consecutive_failures, AVOID_MAX_SHIFT));
	peer->consecutive_failures++;
}
