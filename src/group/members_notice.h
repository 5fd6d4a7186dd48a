#ifndef SKH_MEMBERS_NOTICE_H
#define SKH_MEMBERS_NOTICE_H

/**
 * DOC: Members notice of a group
 *
 * Text that the coordinator of a group writes to the store so that gateways and the next
 * coordinator know which engine is which rank of the group. Its key is SKH_GROUP_MEMBERS_PREFIX
 * and the escaped service and group (group_id.h). A first line "epoch <epoch> ranks <n>" is
 * followed by one line "<address:port> <rank>" for each rank whose engine is known, in rank order.
 * A notice outlives its coordinator by up to ten minutes, so its members may have left the group.
 * Pure functions.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Largest group; bounds the memory that a corrupted notice can claim. */
#define SKH_MEMBERS_NOTICE_MAX_RANKS 16384

/** struct skh_member - engine that is a rank of the group */
typedef struct skh_member {
	char *address; /* "address:port" of the engine, numeric; owned by the notice */
	uint32_t rank;
} skh_member_t;

/** struct skh_members_notice - members of a group, in increasing order of their ranks */
typedef struct skh_members_notice {
	int64_t epoch;	  /* of the group, as its engines report it */
	uint32_t n_ranks; /* ranks of the group */
	uint32_t n_members;
	skh_member_t *members; /* [@n_members]; without ranks whose engine is unknown */
} skh_members_notice_t;

/**
 * skh_members_notice_write() - format a notice
 * @notice: borrowed; must satisfy what skh_members_notice_parse() checks
 * Return: the text; free with g_free().
 */
char *skh_members_notice_write(const skh_members_notice_t *notice);

/**
 * skh_members_notice_parse() - read a notice
 * @text: the value of the notice's key
 * Return: the notice, to be freed with skh_members_notice_free(); NULL if the text is malformed or
 *	truncated, or if ranks are not increasing and below the number of ranks, or if an address
 *	is not numeric or occurs twice.
 */
skh_members_notice_t *skh_members_notice_parse(const char *text);
void skh_members_notice_free(skh_members_notice_t *notice);

#ifdef __cplusplus
}
#endif
#endif
