#ifndef SKH_PEERS_H
#define SKH_PEERS_H

/**
 * DOC: Peers
 *
 * The sidecars as one entry sees them: what the platform lists, what each said
 * of itself last, and what this entry has in flight there. Pure state: every
 * function is given the time. The owner serialises calls.
 */

#include "instances.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_peer - one sidecar; texts owned by the table */
typedef struct skh_peer {
	char *id;
	char *link;
	char *failure_domain;
	char *service;
	char *group;
	char *admin;
	uint32_t rank;
	bool listed;
	bool listed_leaving;
	bool reachable; /* heard from, and not lost since */
	skh_phase_t phase;
	uint64_t incarnation;
	int64_t config_revision; /* newest configuration it has named */
	uint64_t map_version;
	int64_t reported_clock_us;   /* its clock when it last spoke ... */
	int64_t last_received_us;    /* ... and ours when that arrived */
	int64_t next_hello_us;	     /* when the next hello is due */
	int64_t silence_deadline_us; /* silent with work in flight past this: lost */
	uint32_t running;
	uint32_t queued;
	uint32_t capacity;
	uint32_t own_in_flight;
	uint32_t own_in_flight_at_report; /* own_in_flight when @running was heard */
	uint32_t consecutive_failures;	  /* in a row */
	int64_t avoid_until_us;
} skh_peer_t;

typedef struct skh_peers skh_peers_t;

skh_peers_t *skh_peers_new(void);
void skh_peers_free(skh_peers_t *peers);

size_t skh_peers_count(const skh_peers_t *peers);
skh_peer_t *skh_peers_at(const skh_peers_t *peers, size_t index);
skh_peer_t *skh_peers_find(const skh_peers_t *peers, const char *id);

/** skh_peers_sync() - follow the platform's list; unlisted idle peers are dropped */
void skh_peers_sync(skh_peers_t *peers, const skh_instances_t *members, int64_t now_us);

/** skh_peers_record_frame() - @peer sent a frame; @status may be NULL
 * Return: true when the process at @peer is another than before, so that what
 * was in flight there is certainly lost.
 */
bool skh_peers_record_frame(skh_peer_t *peer, const Skh__Status *status, int64_t revision,
			    int64_t now_us);

/** skh_peers_schedule_hello() - whether to send @peer a hello now; plans the next one */
bool skh_peers_schedule_hello(skh_peers_t *peers, skh_peer_t *peer, int64_t now_us);

/** skh_peers_estimate_load() - what is estimated to run and wait at @peer */
uint32_t skh_peers_estimate_load(const skh_peer_t *peer);

/** skh_peers_is_lost() - whether @peer has work in flight and has gone silent */
bool skh_peers_is_lost(const skh_peer_t *peer, int64_t now_us);
void skh_peers_set_lost(skh_peer_t *peer, int64_t now_us);

/** skh_peers_min_clock_us() - lower bound of what @peer's clock shows now */
int64_t skh_peers_min_clock_us(const skh_peer_t *peer, int64_t now_us);

void skh_peers_begin_request(skh_peer_t *peer, int64_t now_us);
void skh_peers_end_request(skh_peer_t *peer, bool succeeded, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
