#include "group_id.h"

#include <glib.h>
#include <string.h>

static bool is_plain(char c)
{
	return g_ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

static void append_escaped(GString *key, const char *name)
{
	for (const char *c = name; *c; c++) {
		if (is_plain(*c))
			g_string_append_c(key, *c);
		else
			g_string_append_printf(key, "%%%02X", (unsigned int)(unsigned char)*c);
	}
}

char *skh_group_id_escape(const char *name)
{
	GString *text = g_string_new(NULL);

	append_escaped(text, name);
	return g_string_free(text, FALSE);
}

char *skh_group_id_key(const char *prefix, const char *service, const char *group,
		       const char *suffix)
{
	GString *key = g_string_new(prefix);

	append_escaped(key, service);
	g_string_append_c(key, '/');
	append_escaped(key, group);
	g_string_append(key, suffix);
	return g_string_free(key, FALSE);
}

/* Returns NULL unless the @len bytes at @text are a non-empty name in its only escaped form. */
static char *unescape(const char *text, size_t len)
{
	g_autofree char *escaped = g_strndup(text, len);
	g_autofree char *name = g_uri_unescape_string(escaped, NULL);
	g_autoptr(GString) check = g_string_new(NULL);

	if (!name || !*name)
		return NULL;
	append_escaped(check, name);
	return strcmp(check->str, escaped) == 0 ? g_steal_pointer(&name) : NULL;
}

bool skh_group_id_parse(const char *text, char **service, char **group)
{
	const char *slash = strchr(text, '/');
	g_autofree char *service_name = slash ? unescape(text, (size_t)(slash - text)) : NULL;
	g_autofree char *group_name = slash ? unescape(slash + 1, strlen(slash + 1)) : NULL;

	if (!service_name || !group_name)
		return false;
	*service = g_steal_pointer(&service_name);
	*group = g_steal_pointer(&group_name);
	return true;
}
