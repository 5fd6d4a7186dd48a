#include "peers.h"

#include "clock.h"

#include <glib.h>
#include <string.h>

#define HELLO_UNREACHABLE_INTERVAL_US (200 * SKH_US_PER_MS)
#define HELLO_BUSY_INTERVAL_US	      (500 * SKH_US_PER_MS)
#define HELLO_IDLE_MIN_INTERVAL_US    (2 * SKH_US_PER_S)
#define SILENCE_TIMEOUT_US	      (2500 * SKH_US_PER_MS)
#define HELLO_EXCHANGE_BYTES	      250
#define HELLO_BYTES_PER_S	      1000
#define AVOID_BASE_US		      (1 * SKH_US_PER_S)
#define AVOID_MAX_DOUBLINGS	      5

struct skh_peers {
	GPtrArray *list;
	GHashTable *by_id;
};

static void free_peer(gpointer item)
{
	skh_peer_t *peer = item;

	g_free(peer->id);
	g_free(peer->link_address);
	g_free(peer->failure_domain);
	g_free(peer->service);
	g_free(peer->group);
	g_free(peer->admin_address);
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

static void replace_text(char **field, const char *text)
{
	if (*field && strcmp(*field, text) == 0)
		return;
	g_free(*field);
	*field = g_strdup(text);
}

static skh_peer_t *add_peer(skh_peers_t *peers, const skh_instance_t *instance, int64_t now_us)
{
	skh_peer_t *peer = g_new0(skh_peer_t, 1);

	peer->id = g_strdup(instance->id);
	peer->service = g_strdup("");
	peer->group = g_strdup("");
	peer->next_hello_us = now_us;
	g_ptr_array_add(peers->list, peer);
	g_hash_table_insert(peers->by_id, peer->id, peer);
	return peer;
}

static void remove_unlisted(skh_peers_t *peers)
{
	for (size_t i = peers->list->len; i-- > 0;) {
		skh_peer_t *peer = skh_peers_at(peers, i);

		if (peer->is_listed || peer->own_in_flight > 0)
			continue;
		g_hash_table_remove(peers->by_id, peer->id);
		g_ptr_array_remove_index_fast(peers->list, (guint)i);
	}
}

void skh_peers_sync(skh_peers_t *peers, const skh_instances_t *instances, int64_t now_us)
{
	for (size_t i = 0; i < peers->list->len; i++)
		skh_peers_at(peers, i)->is_listed = false;
	for (size_t i = 0; i < instances->count; i++) {
		const skh_instance_t *instance = &instances->list[i];
		skh_peer_t *peer;

		if (strcmp(instance->role, "sidecar") != 0)
			continue;
		peer = skh_peers_find(peers, instance->id);
		if (!peer)
			peer = add_peer(peers, instance, now_us);
		peer->is_listed = true;
		peer->is_listed_leaving = instance->is_leaving;
		replace_text(&peer->link_address, instance->link_address);
		replace_text(&peer->admin_address, instance->admin_address);
		replace_text(&peer->failure_domain, instance->failure_domain);
	}
	remove_unlisted(peers);
}

static void apply_status(skh_peer_t *peer, const Skh__Status *status)
{
	peer->incarnation = status->incarnation;
	peer->phase = (skh_phase_t)status->phase;
	peer->reported_clock_us = status->clock_us;
	peer->running = status->running;
	peer->queued = status->queued;
	peer->capacity = status->capacity;
	peer->rank = status->rank;
	peer->map_version = status->map_version;
	replace_text(&peer->service, status->service);
	replace_text(&peer->group, status->group);
}

bool skh_peers_record_frame(skh_peer_t *peer, const Skh__Status *status, int64_t revision,
			    int64_t now_us)
{
	bool replaced = false;

	peer->silence_deadline_us = now_us + SILENCE_TIMEOUT_US;
	peer->config_revision = MAX(peer->config_revision, revision);
	if (!status)
		return false;
	replaced = peer->incarnation != 0 && peer->incarnation != status->incarnation;
	if (replaced)
		peer->config_revision = revision;
	peer->is_reachable = true;
	peer->last_received_us = now_us;
	peer->own_in_flight_at_report = peer->own_in_flight;
	apply_status(peer, status);
	return replaced;
}

/* Hellos to idle sidecars share a byte rate, so the interval grows with the count of sidecars. */
static int64_t idle_interval_us(const skh_peers_t *peers)
{
	int64_t exchange_all_us =
		(int64_t)peers->list->len * HELLO_EXCHANGE_BYTES * SKH_US_PER_S / HELLO_BYTES_PER_S;

	return MAX(exchange_all_us, HELLO_IDLE_MIN_INTERVAL_US);
}

bool skh_peers_schedule_hello(skh_peers_t *peers, skh_peer_t *peer, int64_t now_us)
{
	/* No frame has arrived for longer than HELLO_BUSY_INTERVAL_US. */
	bool is_silent = now_us + HELLO_BUSY_INTERVAL_US > peer->silence_deadline_us -
								   SILENCE_TIMEOUT_US +
								   2 * HELLO_BUSY_INTERVAL_US;

	if (now_us < peer->next_hello_us)
		return false;
	if (!peer->is_reachable)
		peer->next_hello_us = now_us + HELLO_UNREACHABLE_INTERVAL_US;
	else if (peer->own_in_flight > 0)
		peer->next_hello_us = now_us + HELLO_BUSY_INTERVAL_US;
	else
		peer->next_hello_us = now_us + idle_interval_us(peers);
	/* A reachable sidecar with requests sends frames anyway; it gets a hello only when silent. */
	return !peer->is_reachable || peer->own_in_flight == 0 || is_silent;
}

/* Adds the change of the entry's own requests since the last status to the reported load. */
uint32_t skh_peers_estimate_load(const skh_peer_t *peer)
{
	int64_t reported_load = (int64_t)peer->running + peer->queued;
	int64_t change_since_report = (int64_t)peer->own_in_flight - peer->own_in_flight_at_report;

	return (uint32_t)MAX(reported_load + change_since_report, (int64_t)peer->own_in_flight);
}

bool skh_peers_is_lost(const skh_peer_t *peer, int64_t now_us)
{
	return peer->is_reachable && peer->own_in_flight > 0 && now_us >= peer->silence_deadline_us;
}

void skh_peers_set_lost(skh_peer_t *peer, int64_t now_us)
{
	peer->is_reachable = false;
	peer->next_hello_us = now_us;
}

int64_t skh_peers_min_clock_us(const skh_peer_t *peer, int64_t now_us)
{
	return peer->reported_clock_us + (now_us - peer->last_received_us);
}

void skh_peers_begin_request(skh_peer_t *peer, int64_t now_us)
{
	/* Silence of an idle sidecar is no failure: its deadline starts with the first request. */
	if (peer->own_in_flight == 0) {
		peer->silence_deadline_us = now_us + SILENCE_TIMEOUT_US;
		peer->next_hello_us = MIN(peer->next_hello_us, now_us + HELLO_BUSY_INTERVAL_US);
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
		now_us + (AVOID_BASE_US << MIN(peer->consecutive_failures, AVOID_MAX_DOUBLINGS));
	peer->consecutive_failures++;
}
