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
#include "members.h"
#include "roster.h"
#include "routing.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum skh_section_id {
	SKH_SECTION_CONFIG,
	SKH_SECTION_MEMBERS,
	SKH_SECTION_SELF,
	SKH_SECTION_ROUTING,
	SKH_SECTION_ROSTER,
	SKH_SECTION_COUNT
} skh_section_id_t;

/** struct skh_config - the configuration in force; written by the config controller */
typedef struct skh_config {
	int64_t revision;
	skh_manifest_t *manifest;
	char *by;
	char *reason;
} skh_config_t;

/** enum skh_life - what this process is doing; written by its main thread */
typedef enum skh_life {
	SKH_LIFE_STARTING,
	SKH_LIFE_SERVING,
	SKH_LIFE_LEAVING, /* still serving, but no longer ready for more */
	SKH_LIFE_STOPPING
} skh_life_t;

typedef struct skh_self {
	skh_life_t life;
	int64_t stop_by_us; /* deadline of a planned stop; 0 while serving */
} skh_self_t;

typedef struct skh_board skh_board_t;

skh_board_t *skh_board_new(void);

/** skh_board_free() - only after every reader has stopped */
void skh_board_free(skh_board_t *board);

/* Each publish takes ownership of what it is given. */
void skh_board_publish_config(skh_board_t *board, skh_config_t *config);
void skh_board_publish_members(skh_board_t *board, skh_members_t *members);
/* The routing table and the roster are given up by the caller and no longer changed. */
void skh_board_publish_routing(skh_board_t *board, skh_routing_t *routing);
void skh_board_publish_roster(skh_board_t *board, skh_roster_t *roster);
void skh_board_publish_self(skh_board_t *board, skh_self_t self);

/**
 * skh_board_config() - the configuration in force, or NULL before the first
 * Return: a reference to be given back with skh_board_release().
 */
const skh_config_t *skh_board_config(skh_board_t *board);
const skh_members_t *skh_board_members(skh_board_t *board);
/** skh_board_routing() - the routing table in force, or NULL before the first */
const skh_routing_t *skh_board_routing(skh_board_t *board);
/** skh_board_roster() - the backend servers known, or NULL before the first list */
const skh_roster_t *skh_board_roster(skh_board_t *board);
skh_self_t skh_board_self(skh_board_t *board);

/** skh_board_release() - give back a section; NULL is allowed */
void skh_board_release(const void *section);

/** skh_board_revision() - revision of the configuration in force, 0 for none */
int64_t skh_board_revision(skh_board_t *board);

#ifdef __cplusplus
}
#endif
#endif
