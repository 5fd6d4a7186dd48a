#include "settings.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "settings"
/*
 * A revocation counts from when a request is sent, and the age of the keys from the start of the read
 * that confirmed them, so only the drift of clocks and the interval of checks remain.
 */
#define KEY_TRUST_MARGIN_MS 100
#define MIN_KEY_TRUST_MS    100
/* Where neither the setting nor the platform's bound on revocations says how long. */
#define DEFAULT_KEY_TRUST_MS 4000
/*
 * Polls within the shortest time in which a change must take effect. Each poll of each gateway is a
 * call to the store; this many allow for two that fail and for the time to apply the change.
 */
#define POLLS_PER_BOUND	     5
#define MAX_POLL_INTERVAL_MS 2000
#define FIELD_OFFSET(member) offsetof(skh_settings_t, member)
#define MAX_TEXT_BYTES	     255
#define Z85_KEY_CHARS	     40
#define TEXT(key, member, required)                                                                \
	{                                                                                          \
		key, SKH_FIELD_TEXT, required, FIELD_OFFSET(member), 1, MAX_TEXT_BYTES, NULL,      \
			SKH_ROUNDING_NONE, 0                                                       \
	}
#define INTEGER(key, member, min, max)                                                             \
	{                                                                                          \
		key, SKH_FIELD_INTEGER, false, FIELD_OFFSET(member), min, max, NULL,               \
			SKH_ROUNDING_NONE, 0                                                       \
	}
#define BOUND(key, member, min, max, rounding, scale)                                              \
	{                                                                                          \
		key, SKH_FIELD_INTEGER, false, FIELD_OFFSET(member), min, max, NULL, rounding,     \
			scale                                                                      \
	}
#define CHOICE(key, member, required, choices)                                                     \
	{                                                                                          \
		key, SKH_FIELD_CHOICE, required, FIELD_OFFSET(member), 0, 0, choices,              \
			SKH_ROUNDING_NONE, 0                                                       \
	}

static const char *const backend_kind_choices[] = { "engine", "plain", NULL };
static const char *const log_level_choices[] = { "debug", "info", "warning", "error", NULL };
static const char *const log_output_choices[] = { "stderr", "stdout", NULL };
static const char *const log_format_choices[] = { "text", "json", NULL };

static const skh_field_t instance_fields[] = {
	TEXT("id", id, true),
	TEXT("failure_domain", failure_domain, true),
	TEXT("region", region, false),
};
static const skh_field_t http_fields[] = {
	TEXT("listen", http_listen, true),
	INTEGER("threads", http_threads, 2, 4096),
	INTEGER("stack_kib", http_stack_kib, 64, 8192),
	INTEGER("max_body_bytes", max_body_bytes, 1024, 64 << 20),
};
static const skh_field_t admin_fields[] = {
	TEXT("listen", admin_listen, true),
};
static const skh_field_t link_fields[] = {
	TEXT("listen", link_listen, true),
	INTEGER("window_bytes", window_bytes, 4096, 16 << 20),
};
static const skh_field_t security_fields[] = {
	{ "link_public_key", SKH_FIELD_TEXT, true, FIELD_OFFSET(link_public_key), Z85_KEY_CHARS,
	  Z85_KEY_CHARS, NULL, SKH_ROUNDING_NONE, 0 },
	{ "link_secret_key", SKH_FIELD_TEXT, true, FIELD_OFFSET(link_secret_key), Z85_KEY_CHARS,
	  Z85_KEY_CHARS, NULL, SKH_ROUNDING_NONE, 0 },
};
static const skh_field_t store_fields[] = {
	{ "endpoints", SKH_FIELD_TEXT_ARRAY, true, FIELD_OFFSET(store_endpoints), 0, 0, NULL,
	  SKH_ROUNDING_NONE, 0 },
	TEXT("prefix", store_prefix, false),
	TEXT("instances_prefix", instances_prefix, false),
	INTEGER("timeout_ms", store_timeout_ms, 50, 60000),
};
static const skh_field_t backend_fields[] = {
	CHOICE("kind", backend_kind, true, backend_kind_choices),
	TEXT("url", backend_url, true),
	TEXT("service", backend_service, true),
	TEXT("group", backend_group, false),
	INTEGER("rank", backend_rank, 0, 1023),
	INTEGER("capacity", backend_capacity, 1, 65536),
	INTEGER("queue", backend_queue, 1, 65536),
};
static const skh_field_t gateway_fields[] = {
	TEXT("dialect", dialect, true),
	TEXT("gossip_listen", gossip_listen, true),
	TEXT("peers_prefix", gateways_prefix, false),
	INTEGER("poll_pace_ms", poll_interval_ms, 10, 60000),
	INTEGER("poll_wait_ms", poll_timeout_ms, 10, 30000),
	INTEGER("key_trust_ms", key_trust_ms, 100, 86400000),
	INTEGER("retry_percent", retry_percent, 0, 1000),
	INTEGER("retry_least", min_retries, 0, 1000000),
	INTEGER("retry_window_ms", retry_window_ms, 1000, 600000),
};
static const skh_field_t balancer_fields[] = {
	TEXT("dialect", dialect, true),
	TEXT("listen", gossip_listen, true),
	TEXT("engine", engine_address, true),
	TEXT("service", backend_service, true),
	INTEGER("skew_weight", skew_weight, 0, 1000),
	INTEGER("cost_weight", cost_weight, 0, 1000),
};
static const skh_field_t stop_fields[] = {
	INTEGER("drain_ms", drain_ms, 0, 3600000),
};
/*
 * Limits that the platform states, as whole numbers or fractions. Each is rounded to the side on
 * which the promise behind it still holds: budgets and grace times down, the window of a budget up.
 */
static const skh_field_t bounds_fields[] = {
	BOUND("retry_budget_ratio", retry_percent, 0, 1000, SKH_ROUNDING_DOWN, 100),
	BOUND("retry_budget_minimum", min_retries, 0, 1000000, SKH_ROUNDING_DOWN, 1),
	BOUND("retry_budget_window_s", retry_window_ms, 100, 600000, SKH_ROUNDING_UP, 1000),
	BOUND("config_apply_ms", config_apply_ms, 0, 86400000, SKH_ROUNDING_DOWN, 1),
	BOUND("drain_notice_ms", drain_notice_ms, 0, 86400000, SKH_ROUNDING_DOWN, 1),
	BOUND("revocation_ms", revocation_ms, 0, 86400000, SKH_ROUNDING_DOWN, 1),
	BOUND("domain_out_ms", domain_out_ms, 0, 86400000, SKH_ROUNDING_DOWN, 1),
	BOUND("cold_overage", cold_overage_percent, 100, 10000, SKH_ROUNDING_DOWN, 100),
	BOUND("cold_slack", cold_slack, 0, 1000000, SKH_ROUNDING_DOWN, 1),
	BOUND("stop_grace_s", drain_ms, 0, 3600000, SKH_ROUNDING_DOWN, 1000),
};
/* Less than 16 MB is taken for a mistake: it would not hold the program and a few connections. */
static const skh_field_t limits_fields[] = {
	BOUND("memory_mb", memory_mb, 16, 1 << 24, SKH_ROUNDING_DOWN, 1),
};
static const skh_field_t log_fields[] = {
	CHOICE("level", log_level, false, log_level_choices),
	CHOICE("format", log_format, false, log_format_choices),
	CHOICE("output", log_output, false, log_output_choices),
};

/* Section with the region of each failure domain, by the domain's name. */
#define REGIONS_SECTION "regions"

#define ROLE_BIT(role) (1U << (uint32_t)(role))
#define LINKED_ROLES   (ROLE_BIT(SKH_ROLE_ENTRY) | ROLE_BIT(SKH_ROLE_SIDECAR))
#define ALL_ROLES      (LINKED_ROLES | ROLE_BIT(SKH_ROLE_GATEWAY) | ROLE_BIT(SKH_ROLE_BALANCER))

typedef struct section {
	const char *name;
	const skh_field_t *fields;
	size_t n_fields;
	uint32_t role_bits;
	bool is_optional; /* required keys are only required when the section is present */
} section_t;

static const section_t sections[] = {
	{ "instance", instance_fields, G_N_ELEMENTS(instance_fields), ALL_ROLES, false },
	{ "http", http_fields, G_N_ELEMENTS(http_fields),
	  ROLE_BIT(SKH_ROLE_ENTRY) | ROLE_BIT(SKH_ROLE_GATEWAY), false },
	{ "admin", admin_fields, G_N_ELEMENTS(admin_fields), ALL_ROLES, false },
	{ "gateway", gateway_fields, G_N_ELEMENTS(gateway_fields), ROLE_BIT(SKH_ROLE_GATEWAY),
	  false },
	{ "balancer", balancer_fields, G_N_ELEMENTS(balancer_fields), ROLE_BIT(SKH_ROLE_BALANCER),
	  false },
	{ "link", link_fields, G_N_ELEMENTS(link_fields), ROLE_BIT(SKH_ROLE_SIDECAR), false },
	{ "security", security_fields, G_N_ELEMENTS(security_fields), LINKED_ROLES, true },
	{ "store", store_fields, G_N_ELEMENTS(store_fields), ALL_ROLES, false },
	{ "backend", backend_fields, G_N_ELEMENTS(backend_fields), ROLE_BIT(SKH_ROLE_SIDECAR),
	  false },
	{ "stop", stop_fields, G_N_ELEMENTS(stop_fields), ALL_ROLES, false },
	{ "log", log_fields, G_N_ELEMENTS(log_fields), ALL_ROLES, false },
};

/* Sections that the platform fills in; their errors are warnings. */
static const section_t platform_sections[] = {
	{ "bounds", bounds_fields, G_N_ELEMENTS(bounds_fields), ROLE_BIT(SKH_ROLE_GATEWAY), true },
	{ "limits", limits_fields, G_N_ELEMENTS(limits_fields), ROLE_BIT(SKH_ROLE_GATEWAY), true },
};

static void set_defaults(skh_settings_t *settings)
{
	settings->http_threads = 640;
	settings->http_stack_kib = 128;
	settings->max_body_bytes = 1 << 20;
	settings->window_bytes = 256 << 10;
	settings->store_prefix = "/skylarkhead/";
	settings->instances_prefix = "/platform/instances/";
	settings->store_timeout_ms = 2000;
	settings->backend_group = "";
	settings->backend_capacity = 64;
	settings->backend_queue = 64;
	settings->gateways_prefix = "skylarkhead/gateways/";
	settings->poll_interval_ms = 400;
	settings->poll_timeout_ms = 1000;
	settings->retry_percent = 20;
	settings->min_retries = 40;
	settings->retry_window_ms = 10000;
	settings->skew_weight = 1;
	settings->cost_weight = 1;
	settings->cold_overage_percent = 150;
	settings->cold_slack = 5;
	settings->drain_ms = 120000;
	settings->log_level = 1;
}

static void reject_unknown_sections(const skh_doc_node_t *document, skh_role_t role,
				    skh_validation_errors_t *errors)
{
	for (size_t i = 0; i < skh_doc_node_count(document); i++) {
		const skh_doc_node_t *child = skh_doc_node_at(document, i);
		bool known = false;

		for (size_t s = 0; s < G_N_ELEMENTS(platform_sections); s++) {
			if (strcmp(platform_sections[s].name, skh_doc_node_key(child)) == 0)
				known = platform_sections[s].role_bits & ROLE_BIT(role);
		}
		for (size_t s = 0; s < G_N_ELEMENTS(sections); s++) {
			if (strcmp(sections[s].name, skh_doc_node_key(child)) == 0)
				known = sections[s].role_bits & ROLE_BIT(role);
		}
		if (strcmp(REGIONS_SECTION, skh_doc_node_key(child)) == 0)
			known = role == SKH_ROLE_GATEWAY;
		if (!known)
			skh_validation_errors_add(errors, skh_doc_node_line(child),
						  skh_doc_node_key(child),
						  "unknown section for this role");
	}
}

static size_t count_regions(const skh_settings_t *settings)
{
	return settings->regions ? skh_doc_node_count(settings->regions) : 0;
}

static void read_regions(skh_settings_t *settings)
{
	settings->regions = skh_doc_node_find(settings->document, REGIONS_SECTION);
	for (size_t i = 0; i < count_regions(settings); i++) {
		const skh_doc_node_t *region = skh_doc_node_at(settings->regions, i);
		g_autofree char *key =
			g_strdup_printf(REGIONS_SECTION ".%s", skh_doc_node_key(region));

		if (skh_doc_node_type(region) != SKH_DOC_NODE_TEXT)
			skh_validation_errors_add(settings->warnings, skh_doc_node_line(region),
						  key, "expected the name of a region");
	}
}

skh_settings_t *skh_settings_parse(skh_chunk_t text, skh_role_t role,
				   skh_validation_errors_t *errors)
{
	skh_settings_t *settings = g_new0(skh_settings_t, 1);
	skh_error_t err;
	uint32_t line = 0;

	settings->role = role;
	settings->warnings = skh_validation_errors_new();
	set_defaults(settings);
	settings->document = skh_doc_node_from_toml(text, &line, &err);
	if (!settings->document) {
		skh_validation_errors_add(errors, line, "", "%s", err.text);
		return settings;
	}
	for (size_t s = 0; s < G_N_ELEMENTS(sections); s++) {
		const skh_doc_node_t *table =
			skh_doc_node_find(settings->document, sections[s].name);

		if (!(sections[s].role_bits & ROLE_BIT(role)) ||
		    (!table && sections[s].is_optional))
			continue;
		skh_schema_read(table, sections[s].name, 1, sections[s].fields,
				sections[s].n_fields, settings, errors);
	}
	for (size_t s = 0; s < G_N_ELEMENTS(platform_sections); s++) {
		const section_t *section = &platform_sections[s];

		if (section->role_bits & ROLE_BIT(role))
			skh_schema_read(skh_doc_node_find(settings->document, section->name),
					section->name, 1, section->fields, section->n_fields,
					settings, settings->warnings);
	}
	if (role == SKH_ROLE_GATEWAY)
		read_regions(settings);
	if (settings->store_endpoints && skh_doc_node_count(settings->store_endpoints) == 0)
		skh_validation_errors_add(errors, skh_doc_node_line(settings->store_endpoints),
					  "store.endpoints", "at least one address is needed");
	reject_unknown_sections(settings->document, role, errors);
	return settings;
}

skh_settings_t *skh_settings_load(const char *path, skh_role_t role,
				  skh_validation_errors_t *errors)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	skh_settings_t *settings;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		skh_validation_errors_add(errors, 0, path, "%s", error->message);
		return NULL;
	}
	settings = skh_settings_parse(skh_chunk_make(text, len), role, errors);
	settings->path = g_strdup(path);
	return settings;
}

void skh_settings_free(skh_settings_t *settings)
{
	if (!settings)
		return;
	skh_doc_node_free(settings->document);
	skh_validation_errors_free(settings->warnings);
	g_free(settings->path);
	g_free(settings);
}

int64_t skh_settings_key_trust_ms(const skh_settings_t *settings)
{
	int64_t limit_ms = MAX(settings->revocation_ms - KEY_TRUST_MARGIN_MS, MIN_KEY_TRUST_MS);

	if (settings->revocation_ms == 0)
		return settings->key_trust_ms > 0 ? settings->key_trust_ms : DEFAULT_KEY_TRUST_MS;
	return settings->key_trust_ms > 0 ? MIN(settings->key_trust_ms, limit_ms) : limit_ms;
}

/* A bound of 0 is not stated. */
static int64_t least_bound_ms(int64_t a_ms, int64_t b_ms)
{
	return a_ms == 0 || (b_ms > 0 && b_ms < a_ms) ? b_ms : a_ms;
}

int64_t skh_settings_poll_interval_ms(const skh_settings_t *settings)
{
	int64_t bound_ms =
		least_bound_ms(least_bound_ms(settings->config_apply_ms, settings->drain_notice_ms),
			       settings->domain_out_ms);

	return bound_ms == 0 ? settings->poll_interval_ms
			     : CLAMP(bound_ms / POLLS_PER_BOUND, 1, MAX_POLL_INTERVAL_MS);
}

GHashTable *skh_settings_new_regions(const skh_settings_t *settings)
{
	GHashTable *regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const char *first = settings->region ? settings->region : "";
	bool has_several = false;

	for (size_t i = 0; i < count_regions(settings); i++) {
		const skh_doc_node_t *node = skh_doc_node_at(settings->regions, i);
		const char *region = skh_doc_node_text(node);

		if (*region == '\0')
			continue;
		if (*first == '\0')
			first = region;
		has_several = has_several || strcmp(first, region) != 0;
		(void)g_hash_table_replace(regions, g_strdup(skh_doc_node_key(node)),
					   g_strdup(region));
	}
	if (!has_several)
		g_hash_table_remove_all(regions);
	return regions;
}

void skh_settings_log_warnings(const skh_settings_t *settings)
{
	for (size_t i = 0; i < skh_validation_errors_count(settings->warnings); i++) {
		const skh_validation_error_t *warning =
			skh_validation_errors_at(settings->warnings, i);

		skh_log(SKH_LOG_WARNING, PART, "Setting cannot be used; the default is in force.",
			"key=%s line=%u reason=%s", warning->key, warning->line, warning->reason);
	}
}

const char *skh_settings_store_endpoint(const skh_settings_t *settings, size_t index)
{
	size_t n = skh_doc_node_count(settings->store_endpoints);

	return skh_doc_node_text(skh_doc_node_at(settings->store_endpoints, index % n));
}
