#ifndef SKH_GROUP_ID_H
#define SKH_GROUP_ID_H

/**
 * DOC: Identity of a lock-step group
 *
 * A group is identified by the service and by the group name that its engines report. Names are
 * free text, so in store keys all bytes other than letters, digits, '.', '_' and '-' are written
 * as %XX. Pure functions.
 */

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Prefix of the keys of each group's election. */
#define SKH_GROUP_ELECTION_PREFIX "skylarkhead/groups/"
/* Prefix of the keys of members notices (members_notice.h). */
#define SKH_GROUP_MEMBERS_PREFIX "skylarkhead/members/"

/** skh_group_id_escape() - name as it is written in store keys and log lines; free with g_free() */
char *skh_group_id_escape(const char *name);

/**
 * skh_group_id_key() - compose a store key of a group
 * @prefix: ends with a slash
 * @suffix: appended unescaped; "" for none
 * Return: prefix, escaped service, slash, escaped group and suffix; free with g_free().
 */
char *skh_group_id_key(const char *prefix, const char *service, const char *group,
		       const char *suffix);

/**
 * skh_group_id_parse() - split the part of a store key after the prefix
 * @text: "<service>/<group>", both escaped
 * @service: set to the unescaped name, to be freed with g_free(); unchanged on failure
 * @group: as @service
 * Return: false if a name is empty or the text is not as skh_group_id_key() writes it.
 */
bool skh_group_id_parse(const char *text, char **service, char **group);

#ifdef __cplusplus
}
#endif
#endif
