#ifndef SKH_GROUPVIEW_H
#define SKH_GROUPVIEW_H

/**
 * DOC: Coordinator's view of its group
 *
 * Holds the last known state of each rank and the expert map in use, and checks whether the
 * state is complete and consistent. The process of a rank is the balancer (balancer.h) beside its
 * engine; the state comes from the reports that these processes send, and from polls of the engine
 * if a rank's process is silent. Owns the clients of engines and relays. All calls are made on the
 * event loop's thread; times are microseconds of the boot clock.
 */

#include "engine_client.h"
#include "mapchange.h"
#include "members_notice.h"
#include "report_filter.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest group size accepted from a datagram; bounds the memory that a wrong one can claim. */
#define SKH_GROUPVIEW_MAX_RANKS SKH_MEMBERS_NOTICE_MAX_RANKS

/** struct skh_groupview_rank - last known state of one rank */
typedef struct skh_groupview_rank {
	skh_engine_client_t *engine; /* NULL while the address is unknown */
	skh_engine_client_t *relay;  /* relay for orders in the rank's process, or NULL */
	bool has_report;
	int64_t last_received_us; /* time of the last report of the rank's process */
	int64_t state_updated_us; /* time of the last report or poll response */
	uint64_t sender_id;
	uint64_t sequence;
	skh_engine_report_t report;
	skh_report_filter_t poll_filter; /* of the responses to polls */
	bool has_map;			 /* the rank's part of the view's @map is known */
	/* @engine is not this rank any more, or a notice named it and it does not respond. */
	bool has_left;
	/* When the last poll was sent whose response named this group; 0 if none did. */
	int64_t confirmed_us;
	int64_t confirmed_epoch; /* epoch in that response */
	bool is_poll_pending;
	int64_t poll_started_us;
	int64_t next_poll_us;  /* earliest time of the next poll */
	int64_t held_since_us; /* since when the rank has reported a hold; 0 if it reports none */
	int64_t pass_began_us; /* when the rank last reported a new pass; 0 before */
} skh_groupview_rank_t;

/** struct skh_groupview_options - copied, but what it points to must outlive the view */
typedef struct skh_groupview_options {
	uv_loop_t *loop;
	const skh_dialect_t *dialect;
	const skh_upstream_pool_options_t *pool_options;
	const char *group; /* name of the group; copied; reports of other groups are ignored */
	uint32_t
		n_ranks; /* reports of another size are ignored; 0 takes the size from any report */
	/* Called after an update of @rank's state; @poll_started_us is 0 unless a poll caused it. */
	void (*on_rank_state)(void *context, uint32_t rank, int64_t poll_started_us,
			      int64_t now_us);
	/* Called after each poll of @rank, also one without a response; may be NULL. */
	void (*on_poll_done)(void *context, uint32_t rank, int64_t now_us);
	void *context;
} skh_groupview_options_t;

/**
 * struct skh_groupview - state of the group
 *
 * The coordinator reads all fields before the private ones and writes only @next_map,
 * @next_epoch, @next_version and @switch_pass.
 */
typedef struct skh_groupview {
	skh_groupview_options_t options;
	char group[SKH_GROUP_NAME_SIZE];
	skh_engine_spec_t engine_spec;
	skh_groupview_rank_t *ranks; /* [@n_ranks] */
	uint32_t n_ranks;
	uint32_t own_rank; /* the rank beside this process */
	bool has_own_rank;
	int64_t pass_duration_us; /* duration of a pass under the map in use; 0 when unknown */
	uint32_t *map;		  /* map in use, [sets][ranks][slots] */
	/* Written by the coordinator: a rank that reports @next_version has @next_map. */
	uint32_t *next_map;
	int64_t next_epoch;
	int64_t next_version;
	int64_t switch_pass; /* pass in which the group switched to @next_map */
	/*
	 * Written by the coordinator: a map change is in progress, in which the orders to a rank and
	 * the responses to them belong to one engine. No rank gets another engine or relay.
	 */
	bool is_pinned;
	/* Private: */
	int64_t last_pass; /* pass of @own_rank at @last_pass_us */
	int64_t last_pass_us;
	skh_engine_client_t *probe_client; /* engine probed for its rank, or NULL */
	int64_t probe_started_us;
	int64_t last_logged_us;
} skh_groupview_t;

/**
 * skh_groupview_init() - start with an empty view
 * @engine_spec: sets, experts and slots of the group's engines; copied
 */
void skh_groupview_init(skh_groupview_t *view, const skh_groupview_options_t *options,
			const skh_engine_spec_t *engine_spec);
void skh_groupview_clear(skh_groupview_t *view);

/**
 * skh_groupview_record_report() - record the state and map in a rank's report
 * @message: borrowed
 * @is_own_rank: the report is from the rank beside this process
 *
 * Within an epoch a rank has one engine and an engine one rank. A report that contradicts this is
 * rejected. If an engine names two ranks, neither is known until its next report.
 * Return: false if the report is invalid, of another group, contradicts another engine's or is not
 * newer than the last one of its sender.
 */
bool skh_groupview_record_report(skh_groupview_t *view, const Skh__RankReport *message,
				 bool is_own_rank, int64_t now_us);

/** skh_groupview_has_unknown_ranks() - whether the engine address of some rank is unknown */
bool skh_groupview_has_unknown_ranks(const skh_groupview_t *view);

/** skh_groupview_probe_engine() - see skh_coordinator_probe_engine() */
bool skh_groupview_probe_engine(skh_groupview_t *view, const char *address, int64_t now_us);

/**
 * skh_groupview_is_confirmed() - whether an order may be sent to the engine of @rank directly
 *
 * Without a relay, nobody beside the engine checks that it is still in the group.
 *
 * Return: true if a response of the engine that is at most 300 ms old names this group and @epoch.
 */
bool skh_groupview_is_confirmed(const skh_groupview_t *view, uint32_t rank, int64_t epoch,
				int64_t now_us);

/**
 * skh_groupview_format_members() - members notice of the group (members_notice.h)
 * Return: free with g_free(); "" before the rank beside this process has reported.
 */
char *skh_groupview_format_members(const skh_groupview_t *view);

/**
 * skh_groupview_adopt_members() - poll the engines that an earlier coordinator has named
 * @notice: borrowed; ignored if it is of a group with another number of ranks
 *
 * Ranks whose engine is known already are left as they are. An engine that is not the named rank of
 * the group any more says so in its response.
 */
void skh_groupview_adopt_members(skh_groupview_t *view, const skh_members_notice_t *notice,
				 int64_t now_us);

/** skh_groupview_poll_silent_ranks() - poll engines of ranks that have not reported lately */
void skh_groupview_poll_silent_ranks(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_poll_rank() - poll the engine of @rank unless a poll is pending */
void skh_groupview_poll_rank(skh_groupview_t *view, uint32_t rank, int64_t now_us);

/**
 * skh_groupview_adopt_next_map() - make @next_map the map in use of all ranks
 * @pass: pass in which all ranks have switched
 */
void skh_groupview_adopt_next_map(skh_groupview_t *view, int64_t pass, int64_t now_us);

/**
 * skh_groupview_is_complete() - whether a map change may be decided
 * Return: true if the group is open and the state of all ranks is known, recent, and of one epoch
 * and map version.
 */
bool skh_groupview_is_complete(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_is_held_too_long() - whether a rank is held for longer than a change needs */
bool skh_groupview_is_held_too_long(const skh_groupview_t *view, int64_t now_us);

/**
 * skh_groupview_forget_maps() - wait for new reports of all ranks' maps
 *
 * For maps that can't be right together: each rank's part is sound by itself, but an expert is at
 * no rank.
 */
void skh_groupview_forget_maps(skh_groupview_t *view);

/** skh_groupview_map_size() - number of slots in a complete map */
size_t skh_groupview_map_size(const skh_groupview_t *view);

#ifdef __cplusplus
}
#endif
#endif
