#include "access.h"

#include "manifest_diff.h"

#include <glib.h>
#include <string.h>

#define BEARER "Bearer "

static const skh_access_level_t reach_of_role[] = {
	[SKH_OPERATOR_READER] = SKH_ACCESS_LEVEL_READER,
	[SKH_OPERATOR_TEAM] = SKH_ACCESS_LEVEL_TEAM,
	[SKH_OPERATOR_FULL] = SKH_ACCESS_LEVEL_OPERATOR,
};

bool skh_access_check(const skh_manifest_t *manifest, const char *header, skh_access_level_t need,
		      const skh_operator_t **who, skh_error_t *err)
{
	*who = NULL;
	if (need == SKH_ACCESS_LEVEL_NONE || !manifest ||
	    skh_manifest_count_operators(manifest) == 0)
		return true;
	if (!header || !g_str_has_prefix(header, BEARER))
		return skh_error_set(err, SKH_UNAUTHORIZED, "an operator's bearer key is needed");
	*who = skh_manifest_operator_by_key(manifest, header + strlen(BEARER));
	if (!*who)
		return skh_error_set(err, SKH_UNAUTHORIZED, "the bearer key is no operator's");
	if (reach_of_role[(*who)->role] < need)
		return skh_error_set(err, SKH_FORBIDDEN, "\"%s\" may not do this", (*who)->name);
	return true;
}

typedef struct judging {
	const skh_operator_t *who;
	bool allowed;
	skh_error_t *err;
} judging_t;

static bool owns(const skh_operator_t *who, const skh_manifest_diff_item_t *difference)
{
	bool before = strcmp(difference->owner_before, who->team) == 0;
	bool after = strcmp(difference->owner_after, who->team) == 0;

	if (strcmp(difference->change, "added") == 0)
		return after;
	if (strcmp(difference->change, "removed") == 0)
		return before;
	return before && after;
}

static void judge(void *context, const skh_manifest_diff_item_t *difference)
{
	judging_t *judging = context;

	if (!judging->allowed || owns(judging->who, difference))
		return;
	judging->allowed = skh_error_set(judging->err, SKH_FORBIDDEN,
					 "%s \"%s\" does not belong to team \"%s\"",
					 difference->kind, difference->name, judging->who->team);
}

bool skh_access_check_change(const skh_operator_t *who, const skh_manifest_t *before,
			     const skh_manifest_t *after, skh_error_t *err)
{
	judging_t judging = { who, true, err };

	if (!who)
		return true;
	if (strcmp(skh_manifest_author(after), who->name) != 0)
		return skh_error_set(err, SKH_FORBIDDEN,
				     "the change names \"%s\" as its author, the key is of \"%s\"",
				     skh_manifest_author(after), who->name);
	if (who->role == SKH_OPERATOR_TEAM)
		skh_manifest_diff_for_each(before ? skh_manifest_tree(before) : NULL,
					   skh_manifest_tree(after), judge, &judging);
	return judging.allowed;
}
