#ifndef SKH_BOARD_H
#define SKH_BOARD_H

/**
 * DOC: Blackboard
 *
 * Shared state of one process as typed sections. Each section has one writer,
 * which publishes a new immutable version to replace the previous one. Any
 * thread can read: readers take a reference under RCU and can keep it for any
 * length of time, and writers never wait for readers.
 */

#include "instances.h"
#include "manifest.h"
#include "roster.h"
#include "routing.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_board_section {
	SKH_BOARD_SECTION_CONFIG,
	SKH_BOARD_SECTION_INSTANCES,
	SKH_BOARD_SECTION_LIFECYCLE,
	SKH_BOARD_SECTION_ROUTING,
	SKH_BOARD_SECTION_ROSTER,
	SKH_BOARD_SECTION_COUNT
} skh_board_section_t;

/** struct skh_config - configuration in force, published by the configuration watcher */
typedef struct skh_config {
	int64_t revision;
	skh_manifest_t *manifest;
	char *author;
	char *reason;
} skh_config_t;

/** enum skh_lifecycle_state - state of this process, published by its main thread */
typedef enum skh_lifecycle_state {
	SKH_LIFECYCLE_STARTING,
	SKH_LIFECYCLE_SERVING,
	SKH_LIFECYCLE_LEAVING, /* readiness checks fail; requests are accepted for a grace period */
	SKH_LIFECYCLE_STOPPING
} skh_lifecycle_state_t;

typedef struct skh_lifecycle {
	skh_lifecycle_state_t state;
	int64_t stop_deadline_us; /* deadline of a planned stop; 0 while serving */
	int64_t answer_by_us;	  /* see skh_stop_answer_by_us(); 0 while serving */
} skh_lifecycle_t;

/*
 * Requests that are unfinished are answered so long before the end of a planned stop's grace, or this
 * part of it if that is less: the answers have to reach their callers, and the process may be killed
 * at its end.
 */
#define SKH_STOP_ANSWER_MARGIN_US  ((int64_t)500000)
#define SKH_STOP_ANSWER_MARGIN_DIV 8

/** skh_stop_answer_by_us() - time by which a planned stop answers what is unfinished */
static inline int64_t skh_stop_answer_by_us(int64_t started_us, int64_t grace_us)
{
	int64_t part_us = grace_us / SKH_STOP_ANSWER_MARGIN_DIV;

	return started_us + grace_us -
	       (part_us < SKH_STOP_ANSWER_MARGIN_US ? part_us : SKH_STOP_ANSWER_MARGIN_US);
}

typedef struct skh_board skh_board_t;

/**
 * skh_board_new() - create a board without any published section
 * Return: a board to be freed with skh_board_free().
 */
skh_board_t *skh_board_new(void);

/** skh_board_free() - free the board; every reader must have stopped before the call */
void skh_board_free(skh_board_t *board);

/**
 * skh_board_publish_config() - replace the configuration in force
 * @board: the board
 * @config: allocated with g_new(); the board takes ownership of it and its contents
 */
void skh_board_publish_config(skh_board_t *board, skh_config_t *config);

/**
 * skh_board_publish_instances() - replace the list of instances
 * @board: the board
 * @instances: allocated with g_new(); the board takes ownership of it and its contents
 */
void skh_board_publish_instances(skh_board_t *board, skh_instances_t *instances);

/**
 * skh_board_publish_routing() - replace the routing table
 * @board: the board
 * @routing: allocated with g_new(); the board takes ownership of it and its contents
 */
void skh_board_publish_routing(skh_board_t *board, skh_routing_t *routing);

/**
 * skh_board_publish_roster() - replace the roster: the listed backend servers
 * @board: the board
 * @roster: allocated with g_new(); the board takes ownership of it and its contents
 */
void skh_board_publish_roster(skh_board_t *board, skh_roster_t *roster);

/** skh_board_publish_lifecycle() - replace the state of this process with a copy of @lifecycle */
void skh_board_publish_lifecycle(skh_board_t *board, skh_lifecycle_t lifecycle);

/**
 * skh_board_acquire_config() - get the configuration in force
 * Return: a reference to be released with skh_board_release(); NULL before the first publication.
 */
const skh_config_t *skh_board_acquire_config(skh_board_t *board);

/**
 * skh_board_acquire_instances() - get the list of instances
 * Return: a reference to be released with skh_board_release(); NULL before the first publication.
 */
const skh_instances_t *skh_board_acquire_instances(skh_board_t *board);

/**
 * skh_board_acquire_routing() - get the routing table in force
 * Return: a reference to be released with skh_board_release(); NULL before the first publication.
 */
const skh_routing_t *skh_board_acquire_routing(skh_board_t *board);

/**
 * skh_board_acquire_roster() - get the roster: the listed backend servers
 * Return: a reference to be released with skh_board_release(); NULL before the first publication.
 */
const skh_roster_t *skh_board_acquire_roster(skh_board_t *board);

/**
 * skh_board_get_lifecycle() - get the state of this process
 * Return: a copy; SKH_LIFECYCLE_STARTING before the first publication.
 */
skh_lifecycle_t skh_board_get_lifecycle(skh_board_t *board);

/** skh_board_release() - release a reference taken by an acquire function; NULL is allowed */
void skh_board_release(const void *section);

/** skh_board_config_revision() - revision of the configuration in force; 0 for none */
int64_t skh_board_config_revision(skh_board_t *board);

#ifdef __cplusplus
}
#endif
#endif
