#include "access.h"

#include "manifest_diff.h"

#include <glib.h>
#include <string.h>

#define BEARER_PREFIX "Bearer "

static const skh_access_level_t access_level_of_role[] = {
	[SKH_OPERATOR_READER] = SKH_ACCESS_LEVEL_READER,
	[SKH_OPERATOR_TEAM] = SKH_ACCESS_LEVEL_TEAM,
	[SKH_OPERATOR_FULL] = SKH_ACCESS_LEVEL_OPERATOR,
};

bool skh_access_check(const skh_manifest_t *manifest, const char *header,
		      skh_access_level_t required_level, const skh_operator_t **principal,
		      skh_error_t *err)
{
	*principal = NULL;
	if (required_level == SKH_ACCESS_LEVEL_NONE || !manifest ||
	    skh_manifest_count_operators(manifest) == 0)
		return true;
	if (!header || !g_str_has_prefix(header, BEARER_PREFIX))
		return skh_error_set(err, SKH_UNAUTHORIZED,
				     "the Authorization header holds no API key; an operator's "
				     "key is required");
	*principal = skh_manifest_operator_by_key(manifest, header + strlen(BEARER_PREFIX));
	if (!*principal)
		return skh_error_set(err, SKH_UNAUTHORIZED, "the API key belongs to no operator");
	if (access_level_of_role[(*principal)->role] < required_level)
		return skh_error_set(err, SKH_FORBIDDEN,
				     "the role of operator \"%s\" does not allow the action",
				     (*principal)->name);
	return true;
}

typedef struct change_check {
	const skh_operator_t *principal;
	bool is_allowed;
	skh_error_t *err;
} change_check_t;

static bool team_owns_item(const skh_operator_t *principal, const skh_manifest_diff_item_t *item)
{
	bool owned_before = strcmp(item->owner_before, principal->team) == 0;
	bool owned_after = strcmp(item->owner_after, principal->team) == 0;

	if (strcmp(item->change, "added") == 0)
		return owned_after;
	if (strcmp(item->change, "removed") == 0)
		return owned_before;
	return owned_before && owned_after;
}

static void check_item_owner(void *context, const skh_manifest_diff_item_t *item)
{
	change_check_t *check = context;

	if (!check->is_allowed || team_owns_item(check->principal, item))
		return;
	check->is_allowed =
		skh_error_set(check->err, SKH_FORBIDDEN, "%s \"%s\" does not belong to team \"%s\"",
			      item->kind, item->name, check->principal->team);
}

bool skh_access_check_change(const skh_operator_t *principal, const skh_manifest_t *before,
			     const skh_manifest_t *after, skh_error_t *err)
{
	change_check_t check = { principal, true, err };

	if (!principal)
		return true;
	if (strcmp(skh_manifest_author(after), principal->name) != 0)
		return skh_error_set(
			err, SKH_FORBIDDEN,
			"the change names \"%s\" as its author, but the key belongs to \"%s\"",
			skh_manifest_author(after), principal->name);
	if (principal->role == SKH_OPERATOR_TEAM)
		skh_manifest_diff_for_each(before ? skh_manifest_tree(before) : NULL,
					   skh_manifest_tree(after), check_item_owner, &check);
	return check.is_allowed;
}
