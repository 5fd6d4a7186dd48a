#ifndef SKH_BOARD_H
#define SKH_BOARD_H

/**
 * DOC: Blackboard
 *
 * Typed sections that one controller writes and anyone reads. A section is
 * immutable once published. Readers take a reference under RCU and may keep it
 * as long as they like; a writer never waits for them.
 */

#include "manifest.h"
#include "instances.h"
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

/** struct skh_config - the configuration in force; written by the config controller */
typedef struct skh_config {
	int64_t revision;
	skh_manifest_t *manifest;
	char *author;
	char *reason;
} skh_config_t;

/** enum skh_lifecycle_state - what this process is doing; written by its main thread */
typedef enum skh_lifecycle_state {
	SKH_LIFECYCLE_STARTING,
	SKH_LIFECYCLE_SERVING,
	SKH_LIFECYCLE_LEAVING, /* still serving, but no longer ready for more */
	SKH_LIFECYCLE_STOPPING
} skh_lifecycle_state_t;

typedef struct skh_lifecycle {
	skh_lifecycle_state_t state;
	int64_t stop_deadline_us; /* deadline of a planned stop; 0 while serving */
} skh_lifecycle_t;

typedef struct skh_board skh_board_t;

skh_board_t *skh_board_new(void);

/** skh_board_free() - only after every reader has stopped */
void skh_board_free(skh_board_t *board);

/* Each publish takes ownership of what it is given. */
void skh_board_publish_config(skh_board_t *board, skh_config_t *config);
void skh_board_publish_instances(skh_board_t *board, skh_instances_t *members);
/* The routing table and the roster are given up by the caller and no longer changed. */
void skh_board_publish_routing(skh_board_t *board, skh_routing_t *routing);
void skh_board_publish_roster(skh_board_t *board, skh_roster_t *roster);
void skh_board_publish_lifecycle(skh_board_t *board, skh_lifecycle_t self);

/**
 * skh_board_acquire_config() - the configuration in force, or NULL before the first
 * Return: a reference to be given back with skh_board_release().
 */
const skh_config_t *skh_board_acquire_config(skh_board_t *board);
const skh_instances_t *skh_board_acquire_instances(skh_board_t *board);
/** skh_board_acquire_routing() - the routing table in force, or NULL before the first */
const skh_routing_t *skh_board_acquire_routing(skh_board_t *board);
/** skh_board_acquire_roster() - the backend servers known, or NULL before the first list */
const skh_roster_t *skh_board_acquire_roster(skh_board_t *board);
skh_lifecycle_t skh_board_get_lifecycle(skh_board_t *board);

/** skh_board_release() - give back a section; NULL is allowed */
void skh_board_release(const void *section);

/** skh_board_config_revision() - revision of the configuration in force, 0 for none */
int64_t skh_board_config_revision(skh_board_t *board);

#ifdef __cplusplus
}
#endif
#endif
