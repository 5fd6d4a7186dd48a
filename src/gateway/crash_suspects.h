#ifndef SKH_CRASH_SUSPECTS_H
#define SKH_CRASH_SUSPECTS_H

/**
 * DOC: Crash suspects of a gateway
 *
 * Finds what crashes servers: one request that its callers send again, or a prompt part that many
 * requests share while nothing else about them is alike. A request has traits, its content and its
 * shared prompt parts. Each server instance that crashed under a request becomes one crash record
 * for each of its traits. Records of all gateways are merged: a record is identified by trait and
 * instance, and its finding only rises, so the order of arrival and repetitions do not
 * matter.
 *
 * Load pattern: a part that crashes each server that begins to answer it arrives at all gateways
 * within sound traffic. The sound requests that were running at the same server share its caller
 * and its other parts. What tells them apart is that their traits survive elsewhere: a request
 * that outlives the first SKH_CRASH_SUSPECTS_SURVIVAL_US of its response clears the records of its
 * traits. A whole domain of servers that crash at once takes many common parts along, so a part is
 * rejected only if other requests survive meanwhile or its crashes are spread over time, or if a
 * gateway has confirmed that: one that has just started gets all records at once.
 *
 * Owns its records and does no I/O. The owner serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include "prompt_parts.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Number of crashes from which a gateway no longer retries a request. */
#define SKH_CRASH_SUSPECTS_NO_RETRY_CRASHES 2
/* Number of crashes from which requests with a content are rejected. */
#define SKH_CRASH_SUSPECTS_REJECT_CRASHES 3
/* The same for a part while other requests survive. */
#define SKH_CRASH_SUSPECTS_PART_CRASHES 3
/* The same for a common part; also the number that rules out further tests. */
#define SKH_CRASH_SUSPECTS_CERTAIN_CRASHES 5
/* Number of requests at all gateways that have survived since a first crash when others are sound. */
#define SKH_CRASH_SUSPECTS_CONTRAST_SURVIVALS 8
/* A part is common if it has survived lately or if it is in more than one of so many requests. */
#define SKH_CRASH_SUSPECTS_COMMON_DIVISOR 4
/* Number of requests from which that is judged. */
#define SKH_CRASH_SUSPECTS_COMMON_MIN_REQUESTS 24
/* Time for which crashes are kept after the last one, because callers retry for minutes. */
#define SKH_CRASH_SUSPECTS_EXPIRY_US ((int64_t)600 * 1000000)
/*
 * Maximum time between the loss of a request and the detection of the server's crash: three missed
 * heartbeats and the store's delay.
 */
#define SKH_CRASH_SUSPECTS_LOSS_WINDOW_US ((int64_t)10 * 1000000)
/* A server that still responds this long after the first byte has survived the request. */
#define SKH_CRASH_SUSPECTS_SURVIVAL_US ((int64_t)500000)
/* Time for which a part that survived counts as known to be sound. */
#define SKH_CRASH_SUSPECTS_SOUND_US ((int64_t)60 * 1000000)
/* Crashes that become known within this time of each other are one episode. */
#define SKH_CRASH_SUSPECTS_EPISODE_US ((int64_t)2 * 1000000)
/* Shortest time before a rejected part is tested by one request of a gateway. */
#define SKH_CRASH_SUSPECTS_RETEST_US ((int64_t)60 * 1000000)

/** struct skh_request_traits - what identifies the requests that crash a server; borrowed */
typedef struct skh_request_traits {
	uint64_t content; /* hash of target, customer and body */
	const skh_prompt_parts_t *parts;
} skh_request_traits_t;

/** enum skh_crash_finding - what is known of a crash record; it only rises */
typedef enum skh_crash_finding {
	SKH_CRASH_FINDING_SUSPECTED,
	SKH_CRASH_FINDING_CONFIRMED, /* a gateway rejects the trait */
	SKH_CRASH_FINDING_CLEARED    /* the trait was not the cause */
} skh_crash_finding_t;

/** struct skh_crash_record - one crash of one server instance under requests with @trait */
typedef struct skh_crash_record {
	uint64_t trait;
	uint64_t crash; /* hash of the instance, see skh_server_instance_hash() */
	skh_crash_finding_t finding;
} skh_crash_record_t;

typedef struct skh_crash_suspects skh_crash_suspects_t;

/**
 * skh_crash_suspects_new() - allocate an empty table; free it with skh_crash_suspects_free()
 * @seed: random; spreads the tests of different gateways over time
 */
skh_crash_suspects_t *skh_crash_suspects_new(uint64_t seed);
void skh_crash_suspects_free(skh_crash_suspects_t *suspects);

/**
 * skh_crash_suspects_record_loss() - record that a request was lost at a server
 * @instance: server instance that may have crashed
 */
void skh_crash_suspects_record_loss(skh_crash_suspects_t *suspects,
				    const skh_request_traits_t *traits, uint64_t instance,
				    int64_t now_us);

/**
 * skh_crash_suspects_record_crash() - count a crash of @instance for the requests lost there
 * Return: number of new records.
 */
uint32_t skh_crash_suspects_record_crash(skh_crash_suspects_t *suspects, uint64_t instance,
					 int64_t now_us);

/**
 * skh_crash_suspects_record_alive() - record a response of @instance
 *
 * Its recent losses, and records of a crash a while ago, were not due to a crash.
 */
void skh_crash_suspects_record_alive(skh_crash_suspects_t *suspects, uint64_t instance,
				     int64_t now_us);

/** skh_crash_suspects_record_survival() - clear the traits of a request that a server survived */
void skh_crash_suspects_record_survival(skh_crash_suspects_t *suspects,
					const skh_request_traits_t *traits, int64_t now_us);

/** skh_crash_suspects_merge() - add a record of another gateway */
void skh_crash_suspects_merge(skh_crash_suspects_t *suspects, const skh_crash_record_t *record,
			      int64_t now_us);

/** skh_crash_suspects_merge_stored() - add a record that the store holds */
void skh_crash_suspects_merge_stored(skh_crash_suspects_t *suspects,
				     const skh_crash_record_t *stored, int64_t now_us);

/** skh_crash_suspects_is_retry_blocked() - whether the request must not be retried */
bool skh_crash_suspects_is_retry_blocked(const skh_crash_suspects_t *suspects,
					 const skh_request_traits_t *traits, int64_t now_us);

/** enum skh_crash_verdict - whether a request may be sent to a server */
typedef enum skh_crash_verdict {
	SKH_CRASH_VERDICT_ALLOWED,
	SKH_CRASH_VERDICT_TEST, /* the one request that tests a rejected part again */
	SKH_CRASH_VERDICT_REJECTED
} skh_crash_verdict_t;

/**
 * skh_crash_suspects_judge() - decide whether a request may be sent to a server
 *
 * Parts that are rejected are tested again from time to time, until it is certain that they crash
 * servers. The caller has to send a request with the verdict TEST.
 */
skh_crash_verdict_t skh_crash_suspects_judge(skh_crash_suspects_t *suspects,
					     const skh_request_traits_t *traits, int64_t now_us);

/**
 * skh_crash_suspects_update() - confirm the records of parts that are to be rejected by now
 * Return: whether there are records that the next report has to carry.
 */
bool skh_crash_suspects_update(skh_crash_suspects_t *suspects, int64_t now_us);

/** skh_crash_suspects_own_survivals() - number of requests with parts that survived here so far */
uint64_t skh_crash_suspects_own_survivals(const skh_crash_suspects_t *suspects);

/** skh_crash_suspects_add_survivals() - count @n requests that survived at another gateway */
void skh_crash_suspects_add_survivals(skh_crash_suspects_t *suspects, uint64_t n);

/**
 * skh_crash_suspects_take_news() - records for the next report to the other gateways
 *
 * New records are returned several times, as reports may be lost; then those of rejected traits in
 * turn, for gateways that have started since.
 * Return: number of records written to @records, at most @max.
 */
uint32_t skh_crash_suspects_take_news(skh_crash_suspects_t *suspects, skh_crash_record_t *records,
				      uint32_t max, int64_t now_us);

/**
 * skh_crash_suspects_take_unstored() - records of this gateway that the store should keep
 *
 * Those of uncommon parts and of contents with several crashes, so that they outlive a restart of
 * all gateways. A record is
 * returned once; skh_crash_suspects_store_again() returns it again.
 */
uint32_t skh_crash_suspects_take_unstored(skh_crash_suspects_t *suspects,
					  skh_crash_record_t *records, uint32_t max,
					  int64_t now_us);

/** skh_crash_suspects_store_again() - the store may have lost the records */
void skh_crash_suspects_store_again(skh_crash_suspects_t *suspects);

#ifdef __cplusplus
}
#endif
#endif
