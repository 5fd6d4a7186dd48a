#include "routing.h"

#include <string.h>

static void free_regions(GPtrArray *regions)
{
	if (regions)
		g_ptr_array_unref(regions);
}

static void free_key_owner(gpointer data)
{
	skh_key_owner_t *owner = data;

	g_free(owner->customer);
	free_regions(owner->allowed_regions);
	g_free(owner);
}

static void free_route_list(gpointer data)
{
	(void)g_ptr_array_free(data, TRUE);
}

static bool is_listed(const GPtrArray *regions, const char *region)
{
	for (guint i = 0; region && i < regions->len; i++) {
		if (strcmp(g_ptr_array_index(regions, i), region) == 0)
			return true;
	}
	return false;
}

bool skh_homes_allow(const skh_homes_t *homes, const char *region)
{
	return !homes || ((!homes->route || is_listed(homes->route, region)) &&
			  (!homes->customer || is_listed(homes->customer, region)));
}

skh_routing_t *skh_routing_new(void)
{
	skh_routing_t *routing = g_new0(skh_routing_t, 1);

	routing->services = g_array_new(FALSE, TRUE, sizeof(skh_service_info_t));
	routing->routes = g_array_new(FALSE, TRUE, sizeof(skh_route_t));
	routing->warnings = g_ptr_array_new_with_free_func(g_free);
	routing->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_key_owner);
	routing->routes_by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_route_list);
	return routing;
}

void skh_routing_clear(skh_routing_t *routing)
{
	for (guint i = 0; i < routing->services->len; i++) {
		skh_service_info_t *service =
			&g_array_index(routing->services, skh_service_info_t, i);

		g_free(service->name);
		g_free(service->health_path);
	}
	for (guint i = 0; i < routing->routes->len; i++) {
		skh_route_t *route = &g_array_index(routing->routes, skh_route_t, i);

		g_free(route->name);
		g_free(route->host);
		g_free(route->path_prefix);
		free_regions(route->allowed_regions);
	}
	g_ptr_array_unref(routing->warnings);
	(void)g_array_free(routing->services, TRUE);
	(void)g_array_free(routing->routes, TRUE);
	if (routing->keys)
		g_hash_table_unref(routing->keys);
	g_hash_table_unref(routing->routes_by_host);
}

void skh_routing_free(skh_routing_t *routing)
{
	if (!routing)
		return;
	skh_routing_clear(routing);
	g_free(routing);
}

static gint compare_prefix_length_desc(gconstpointer left, gconstpointer right)
{
	const skh_route_t *const *a = left;
	const skh_route_t *const *b = right;

	return (gint)strlen((*b)->path_prefix) - (gint)strlen((*a)->path_prefix);
}

void skh_routing_seal(skh_routing_t *routing)
{
	GHashTableIter iter;
	gpointer routes;

	for (guint i = 0; i < routing->routes->len; i++) {
		skh_route_t *route = &g_array_index(routing->routes, skh_route_t, i);
		g_autofree char *host = g_ascii_strdown(route->host, -1);

		routes = g_hash_table_lookup(routing->routes_by_host, host);
		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(routing->routes_by_host, g_steal_pointer(&host),
					    routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, routing->routes_by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_length_desc);
}

int32_t skh_routing_find_service(const skh_routing_t *routing, const char *name)
{
	for (guint i = 0; i < routing->services->len; i++) {
		if (strcmp(skh_routing_get_service(routing, i)->name, name) == 0)
			return (int32_t)i;
	}
	return -1;
}

const skh_service_info_t *skh_routing_get_service(const skh_routing_t *routing, uint32_t index)
{
	return &g_array_index(routing->services, skh_service_info_t, index);
}

static bool has_path_prefix(const char *target, const char *prefix)
{
	size_t path_len = strcspn(target, "?#");
	size_t prefix_len = strlen(prefix);

	return path_len >= prefix_len && strncmp(target, prefix, prefix_len) == 0;
}

const skh_route_t *skh_routing_find_route(const skh_routing_t *routing, const char *host,
					  const char *request_target)
{
	g_autofree char *host_name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const GPtrArray *routes = g_hash_table_lookup(routing->routes_by_host, host_name);

	for (guint i = 0; routes && i < routes->len; i++) {
		const skh_route_t *route = g_ptr_array_index(routes, i);

		if (has_path_prefix(request_target, route->path_prefix))
			return route;
	}
	return NULL;
}

uint32_t skh_routing_select_service(const skh_route_t *route, double random_fraction)
{
	uint32_t total_weight = 0;
	double remaining;

	for (uint32_t i = 0; i < route->n_splits; i++)
		total_weight += route->splits[i].weight;
	remaining = random_fraction * (double)total_weight;
	for (uint32_t i = 0; i < route->n_splits; i++) {
		if (remaining < (double)route->splits[i].weight)
			return route->splits[i].service;
		remaining -= (double)route->splits[i].weight;
	}
	return route->splits[0].service;
}

const skh_key_owner_t *skh_routing_find_key_owner(const skh_routing_t *routing, const char *scheme,
						  const char *authorization)
{
	size_t offset = strlen(scheme);

	if (!authorization || g_ascii_strncasecmp(authorization, scheme, offset) != 0 ||
	    authorization[offset] != ' ')
		return NULL;
	while (authorization[offset] == ' ')
		offset++;
	return g_hash_table_lookup(routing->keys, authorization + offset);
}
