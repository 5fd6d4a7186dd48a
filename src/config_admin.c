#include "config_admin.h"

#include "apply.h"
#include "config_watcher.h"
#include "manifest_diff.h"
#include "fleet.h"

#include <glib.h>

json_t *skh_config_admin_get_config(const skh_config_t *config)
{
	g_autofree char *text = skh_doc_node_to_json(skh_manifest_tree(config->manifest));

	return json_pack("{s:I, s:s, s:s, s:o}", "revision", (json_int_t)config->revision, "by",
			 config->author, "reason", config->reason, "manifest",
			 json_loads(text, 0, NULL));
}

static void list_difference(void *context, const skh_manifest_diff_item_t *difference)
{
	json_array_append_new(context,
			      json_pack("{s:s, s:s, s:s}", "kind", difference->kind, "name",
					difference->name, "change", difference->change));
}

static json_t *list_differences(const skh_config_t *config, const skh_manifest_t *manifest)
{
	json_t *list = json_array();

	skh_manifest_diff_for_each(config ? skh_manifest_tree(config->manifest) : NULL,
				   skh_manifest_tree(manifest), list_difference, list);
	return list;
}

static skh_manifest_t *read_manifest(skh_chunk_t text, skh_error_t *err)
{
	skh_validation_errors_t *faults = skh_validation_errors_new();
	skh_manifest_t *manifest = skh_manifest_from_toml(text, faults);

	if (!manifest) {
		const skh_validation_error_t *first = skh_validation_errors_at(faults, 0);

		(void)skh_error_set(err, SKH_CONFIG_INVALID, "%zu faults; line %u: %s: %s",
				    skh_validation_errors_count(faults), first->line, first->key,
				    first->reason);
	}
	skh_validation_errors_free(faults);
	return manifest;
}

static json_t *have_accepted(const skh_config_admin_t *control, const skh_manifest_t *manifest,
			     int64_t base, skh_error_t *err)
{
	skh_apply_result_t result;
	json_t *answer = NULL;

	if (skh_apply_manifest(control->store, control->settings->store_prefix, manifest, base,
			       skh_board_config_revision(control->board), &result, err))
		answer = json_pack("{s:b, s:I, s:b}", "accepted", 1, "revision",
				   (json_int_t)result.revision, "unchanged", result.unchanged);
	skh_apply_result_clear(&result);
	return answer;
}

json_t *skh_config_admin_apply(const skh_config_admin_t *control, const skh_config_t *config,
			       const skh_operator_t *who, skh_chunk_t text, int64_t base,
			       bool dry_run, skh_error_t *err)
{
	skh_manifest_t *manifest = read_manifest(text, err);
	json_t *answer = NULL;

	if (!manifest)
		return NULL;
	if (skh_access_check_change(who, config ? config->manifest : NULL, manifest, err))
		answer = dry_run ? json_pack("{s:b}", "accepted", 0)
				 : have_accepted(control, manifest, base, err);
	if (answer)
		json_object_set_new(answer, "differences", list_differences(config, manifest));
	skh_manifest_unref(manifest);
	return answer;
}

static json_t *describe(const skh_config_head_t *head)
{
	return json_pack("{s:I, s:I, s:s, s:s, s:s}", "revision", (json_int_t)head->revision,
			 "unix_ms", (json_int_t)head->accepted_unix_ms, "by", head->author,
			 "reason", head->reason, "attempt", head->attempt);
}

json_t *skh_config_admin_list_history(const skh_config_admin_t *control, skh_error_t *err)
{
	g_autofree char *prefix =
		g_strconcat(control->settings->store_prefix, SKH_CONFIG_HISTORY_PREFIX, NULL);
	json_t *list;
	skh_kv_pairs_t pairs;

	if (!control->store->ops->range(control->store, prefix, true, &pairs, err))
		return NULL;
	list = json_array();
	for (size_t i = 0; i < pairs.count; i++) {
		skh_error_t unreadable;
		skh_config_head_t *head = skh_config_head_parse(pairs.list[i].value, &unreadable);

		if (head)
			json_array_append_new(list, describe(head));
		skh_config_head_free(head);
	}
	skh_kv_pairs_clear(&pairs);
	return list;
}

json_t *skh_config_admin_get_rollout(const skh_config_admin_t *control, skh_error_t *err)
{
	skh_instances_t *members =
		skh_fleet_read_members(control->store, control->settings->instances_prefix, err);
	json_t **statuses;
	json_t *list;

	if (!members)
		return NULL;
	list = json_array();
	statuses = skh_fleet_get_statuses(members);
	for (size_t i = 0; i < members->count; i++)
		json_array_append_new(list, json_pack("{s:s, s:O?}", "id", members->list[i].id,
						      "revision",
						      json_object_get(statuses[i], "revision")));
	skh_fleet_free_statuses(statuses, members->count);
	skh_instances_free(members);
	return json_pack("{s:I, s:o}", "revision",
			 (json_int_t)skh_board_config_revision(control->board), "instances", list);
}
