#include "config_admin.h"

#include "apply.h"
#include "config_watcher.h"
#include "fleet.h"
#include "manifest_diff.h"

#include <glib.h>

json_t *skh_config_admin_get_config(const skh_config_t *config)
{
	g_autofree char *text = skh_doc_node_to_json(skh_manifest_tree(config->manifest));

	return json_pack("{s:I, s:s, s:s, s:o}", "revision", (json_int_t)config->revision, "by",
			 config->author, "reason", config->reason, "manifest",
			 json_loads(text, 0, NULL));
}

static void append_difference(void *context, const skh_manifest_diff_item_t *item)
{
	json_array_append_new(context, json_pack("{s:s, s:s, s:s}", "kind", item->kind, "name",
						 item->name, "change", item->change));
}

static json_t *differences_to_json(const skh_config_t *config, const skh_manifest_t *manifest)
{
	json_t *list = json_array();

	skh_manifest_diff_for_each(config ? skh_manifest_tree(config->manifest) : NULL,
				   skh_manifest_tree(manifest), append_difference, list);
	return list;
}

static skh_manifest_t *parse_manifest(skh_chunk_t text, skh_error_t *err)
{
	skh_validation_errors_t *errors = skh_validation_errors_new();
	skh_manifest_t *manifest = skh_manifest_from_toml(text, errors);

	if (!manifest) {
		const skh_validation_error_t *first_error = skh_validation_errors_at(errors, 0);

		(void)skh_error_set(err, SKH_CONFIG_INVALID,
				    "the manifest has %zu validation errors; line %u: %s: %s",
				    skh_validation_errors_count(errors), first_error->line,
				    first_error->key, first_error->reason);
	}
	skh_validation_errors_free(errors);
	return manifest;
}

static json_t *apply_manifest(const skh_config_admin_t *admin, const skh_manifest_t *manifest,
			      int64_t base_revision, skh_error_t *err)
{
	skh_apply_result_t result;
	json_t *response = NULL;

	if (skh_apply_manifest(admin->store, admin->settings->store_prefix, manifest, base_revision,
			       skh_board_config_revision(admin->board), &result, err))
		response = json_pack("{s:b, s:I, s:b}", "accepted", 1, "revision",
				     (json_int_t)result.revision, "unchanged", result.is_unchanged);
	skh_apply_result_clear(&result);
	return response;
}

json_t *skh_config_admin_apply(const skh_config_admin_t *admin, const skh_config_t *config,
			       const skh_operator_t *principal, skh_chunk_t text,
			       int64_t base_revision, bool dry_run, skh_error_t *err)
{
	skh_manifest_t *manifest = parse_manifest(text, err);
	json_t *response = NULL;

	if (!manifest)
		return NULL;
	if (skh_access_check_change(principal, config ? config->manifest : NULL, manifest, err))
		response = dry_run ? json_pack("{s:b}", "accepted", 0)
				   : apply_manifest(admin, manifest, base_revision, err);
	if (response)
		json_object_set_new(response, "differences", differences_to_json(config, manifest));
	skh_manifest_unref(manifest);
	return response;
}

static json_t *history_entry_to_json(const skh_config_head_t *head)
{
	return json_pack("{s:I, s:I, s:s, s:s, s:s}", "revision", (json_int_t)head->revision,
			 "unix_ms", (json_int_t)head->accepted_unix_ms, "by", head->author,
			 "reason", head->reason, "attempt", head->apply_id);
}

json_t *skh_config_admin_list_history(const skh_config_admin_t *admin, skh_error_t *err)
{
	g_autofree char *prefix =
		g_strconcat(admin->settings->store_prefix, SKH_CONFIG_HISTORY_PREFIX, NULL);
	json_t *list;
	skh_kv_pairs_t pairs;

	if (!admin->store->ops->range(admin->store, prefix, true, &pairs, err))
		return NULL;
	list = json_array();
	for (size_t i = 0; i < pairs.count; i++) {
		skh_error_t parse_err;
		skh_config_head_t *head = skh_config_head_parse(pairs.list[i].value, &parse_err);

		if (head)
			json_array_append_new(list, history_entry_to_json(head));
		skh_config_head_free(head);
	}
	skh_kv_pairs_clear(&pairs);
	return list;
}

json_t *skh_config_admin_get_rollout(const skh_config_admin_t *admin, skh_error_t *err)
{
	skh_instances_t *instances =
		skh_fleet_read_instances(admin->store, admin->settings->instances_prefix, err);
	json_t **statuses;
	json_t *list;

	if (!instances)
		return NULL;
	list = json_array();
	statuses = skh_fleet_get_statuses(instances);
	for (size_t i = 0; i < instances->count; i++)
		json_array_append_new(list, json_pack("{s:s, s:O?}", "id", instances->list[i].id,
						      "revision",
						      json_object_get(statuses[i], "revision")));
	skh_fleet_free_statuses(statuses, instances->count);
	skh_instances_free(instances);
	return json_pack("{s:I, s:o}", "revision",
			 (json_int_t)skh_board_config_revision(admin->board), "instances", list);
}
