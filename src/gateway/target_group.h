#ifndef SKH_TARGET_GROUP_H
#define SKH_TARGET_GROUP_H

/**
 * DOC: Lock-step group of a service as a gateway sees it
 *
 * Holds a group's circuit breaker, its members by the coordinator's notice, and when it may be
 * probed while other groups of the service take the requests. Load pattern: one of two or three
 * groups is down or held for seconds, while the others have capacity. A probe then costs retry
 * budget and may cost a request its objective, so probes are rare and stay with requests that
 * can afford them.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include "concurrency_limit.h"
#include "group_breaker.h"
#include "members_notice.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_group_member - one server that a members notice names */
typedef struct skh_group_member {
	uint32_t rank;
	uint64_t named_since; /* arrival number of the first notice that names it without a gap */
} skh_group_member_t;

/** struct skh_target_group - state of one group */
typedef struct skh_target_group {
	char *name;
	skh_group_breaker_t breaker;
	bool has_failed;	       /* an attempt was lost there since the last response */
	bool was_silent;	       /* requests had to leave it since the last response */
	int64_t next_spare_probe_us;   /* earliest probe while another group is ready */
	bool is_reported_down;	       /* the log says that the group is down */
	uint32_t max_running;	       /* limit of this gateway's requests there; 0 for none */
	skh_concurrency_limit_t limit; /* of all gateways' requests; see pool_load.h */
	double own_limit;	       /* this gateway's part of it; 0 for none */
	double own_limit_per_rank;
	double own_slots;	 /* this gateway's part of the group's slots */
	bool was_ready;		 /* at the last skh_pool_load_update() or response */
	GHashTable *members;	 /* address -> skh_group_member_t, by the last notice */
	int64_t epoch;		 /* of the last notice */
	uint64_t arrival;	 /* arrival number of the last notice; 0 before */
	int64_t notice_revision; /* store revision of the last notice; 0 before */
	uint64_t probes;	 /* requests sent while the group was not ready */
	uint64_t moved;		 /* requests moved to other groups because of silence */
} skh_target_group_t;

/** skh_target_group_new() - group without members; @name is copied */
skh_target_group_t *skh_target_group_new(const char *name);
void skh_target_group_free(skh_target_group_t *group);

/**
 * skh_target_group_set_members() - replace the members by those of a notice
 * @arrival: number of the notice, in the order in which notices of the service arrived
 *
 * A notice of a later epoch also makes a probe due: the group may have formed again.
 */
void skh_target_group_set_members(skh_target_group_t *group, const skh_members_notice_t *notice,
				  uint64_t arrival, int64_t now_us);

/** skh_target_group_find_member() - the member at "address:port", or NULL; borrowed */
const skh_group_member_t *skh_target_group_find_member(const skh_target_group_t *group,
						       const char *address);

/** skh_target_group_record_send() - record that a request was sent to a member */
void skh_target_group_record_send(skh_target_group_t *group, int64_t now_us);

/** skh_target_group_record_response() - record a response or an event of a member */
void skh_target_group_record_response(skh_target_group_t *group);

/**
 * skh_target_group_record_silence() - record that requests leave the group because it is silent
 *
 * It counts as silent until it responds, also when nothing runs there any more.
 */
void skh_target_group_record_silence(skh_target_group_t *group);

/** skh_target_group_record_rejection() - record that a member rejected a request */
void skh_target_group_record_rejection(skh_target_group_t *group, int64_t now_us);

/**
 * skh_target_group_record_failure() - record that an attempt failed
 * @is_lost: the member was unreachable or its response was lost
 */
void skh_target_group_record_failure(skh_target_group_t *group, bool is_lost, int64_t now_us);

/** struct skh_group_activity - what this gateway has in a group now */
typedef struct skh_group_activity {
	uint32_t running;	  /* requests */
	uint32_t streams;	  /* requests among @running whose response has begun */
	int64_t last_received_us; /* last bytes of any response */
} skh_group_activity_t;

/** skh_target_group_is_silent() - whether an event is awaited and none arrives */
bool skh_target_group_is_silent(const skh_target_group_t *group,
				const skh_group_activity_t *activity, int64_t now_us);

/**
 * skh_target_group_is_ready() - whether the group answers, as far as is known
 *
 * A group whose streams go on is ready when a member has just rejected a request as full, although
 * its breaker allows no request until the next event.
 *
 * Return: false if members reject requests, if the group is silent, or if an attempt was lost since
 * the last response.
 */
bool skh_target_group_is_ready(const skh_target_group_t *group,
			       const skh_group_activity_t *activity, int64_t now_us);

/** skh_target_group_is_spare_probe_due() - whether to probe while another group is ready */
bool skh_target_group_is_spare_probe_due(const skh_target_group_t *group,
					 const skh_group_activity_t *activity, int64_t now_us);

/** struct skh_group_silence_input - one request of a group that sends no events */
typedef struct skh_group_silence_input {
	bool is_streaming;	  /* the request's response has begun */
	bool is_probe;		  /* the request was sent as a probe */
	bool has_streams;	  /* the group has streams of this gateway */
	int64_t sent_us;	  /* start of the request's attempt */
	int64_t last_received_us; /* last bytes of any response from the group */
	int64_t now_us;
} skh_group_silence_input_t;

/**
 * skh_target_group_is_silent_too_long() - whether a request should continue in another group
 *
 * To be used only while another group is ready and has a free slot.
 */
bool skh_target_group_is_silent_too_long(const skh_group_silence_input_t *view);

#ifdef __cplusplus
}
#endif
#endif
