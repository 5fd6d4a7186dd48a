#ifndef SKH_PEERS_H
#define SKH_PEERS_H

/**
 * DOC: Peers
 *
 * Table of the sidecars as one entry sees them: the platform's list of
 * instances, the last status of each sidecar, and the requests that the entry
 * has in flight there. Pure state without I/O: callers pass the current time in
 * microseconds. The owner serialises calls.
 */

#include "instances.h"
#include "wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_peer - one sidecar; the texts are owned by the table */
typedef struct skh_peer {
	char *id;
	char *link_address;
	char *failure_domain;
	char *service;
	char *group;
	char *admin_address;
	uint32_t rank;
	bool is_listed;
	bool is_listed_leaving;
	bool is_reachable; /* a status was received and no loss was detected since */
	skh_phase_t phase;
	uint64_t incarnation;
	int64_t config_revision; /* newest configuration revision in its frames */
	uint64_t map_version;
	int64_t reported_clock_us;   /* the sidecar's clock in its last status */
	int64_t last_received_us;    /* local clock when the last status arrived */
	int64_t next_hello_us;	     /* time at which the next hello is due */
	int64_t silence_deadline_us; /* when a silent sidecar with requests counts as lost */
	uint32_t running;
	uint32_t queued;
	uint32_t capacity;
	uint32_t own_in_flight;
	uint32_t own_in_flight_at_report; /* own_in_flight when @running was received */
	uint32_t consecutive_failures;
	int64_t avoid_until_us;
} skh_peer_t;

typedef struct skh_peers skh_peers_t;

skh_peers_t *skh_peers_new(void);
void skh_peers_free(skh_peers_t *peers);

size_t skh_peers_count(const skh_peers_t *peers);
skh_peer_t *skh_peers_at(const skh_peers_t *peers, size_t index);
/** skh_peers_find() - returns the sidecar called @id, or NULL */
skh_peer_t *skh_peers_find(const skh_peers_t *peers, const char *id);

/**
 * skh_peers_sync() - makes the table match the platform's list of instances
 * @instances: all instances; only sidecars are added
 *
 * A sidecar that is no longer listed is removed once nothing is in flight there.
 * Pointers to sidecars that stay remain valid.
 */
void skh_peers_sync(skh_peers_t *peers, const skh_instances_t *instances, int64_t now_us);

/**
 * skh_peers_record_frame() - records a frame received from @peer
 * @status: status carried by the frame, or NULL
 * @revision: newest configuration revision known to the sidecar
 * Return: true when a new process has replaced the one at @peer, so that all
 * requests in flight there are lost.
 */
bool skh_peers_record_frame(skh_peer_t *peer, const Skh__Status *status, int64_t revision,
			    int64_t now_us);

/**
 * skh_peers_schedule_hello() - when a hello is due, schedules the next one
 * Return: true when a hello must be sent to @peer now; false when none is due or when other frames
 * show that @peer is alive.
 */
bool skh_peers_schedule_hello(skh_peers_t *peers, skh_peer_t *peer, int64_t now_us);

/** skh_peers_estimate_load() - returns the estimated count of requests that @peer runs or queues */
uint32_t skh_peers_estimate_load(const skh_peer_t *peer);

/** skh_peers_is_lost() - true when @peer has requests in flight and its silence deadline passed */
bool skh_peers_is_lost(const skh_peer_t *peer, int64_t now_us);
/** skh_peers_set_lost() - marks @peer unreachable and schedules a hello now */
void skh_peers_set_lost(skh_peer_t *peer, int64_t now_us);

/** skh_peers_min_clock_us() - returns a lower bound of the current time on @peer's clock */
int64_t skh_peers_min_clock_us(const skh_peer_t *peer, int64_t now_us);

/** skh_peers_begin_request() - counts a request sent to @peer */
void skh_peers_begin_request(skh_peer_t *peer, int64_t now_us);
/**
 * skh_peers_end_request() - removes a request from the requests in flight at @peer
 * @succeeded: false makes selection avoid the sidecar for 1 s, doubled with each failure in a row
 */
void skh_peers_end_request(skh_peer_t *peer, bool succeeded, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
