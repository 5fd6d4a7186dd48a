#include "members_notice.h"

#include "address.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

char *skh_members_notice_write(const skh_members_notice_t *notice)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "epoch %" PRId64 " ranks %" PRIu32 "\n", notice->epoch,
			       notice->n_ranks);
	for (uint32_t i = 0; i < notice->n_members; i++)
		g_string_append_printf(text, "%s %" PRIu32 "\n", notice->members[i].address,
				       notice->members[i].rank);
	return g_string_free(text, FALSE);
}

static bool parse_number(const char *text, int64_t max, int64_t *value)
{
	return g_ascii_string_to_signed(text, 10, 0, max, value, NULL);
}

static bool parse_head(const char *line, skh_members_notice_t *notice)
{
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	int64_t n_ranks;

	if (g_strv_length(words) != 4 || strcmp(words[0], "epoch") != 0 ||
	    strcmp(words[2], "ranks") != 0 || !parse_number(words[1], INT64_MAX, &notice->epoch) ||
	    !parse_number(words[3], SKH_MEMBERS_NOTICE_MAX_RANKS, &n_ranks) || n_ranks == 0)
		return false;
	notice->n_ranks = (uint32_t)n_ranks;
	return true;
}

/* Appends the member in @line; its address is also added to @addresses. */
static bool parse_member(const char *line, skh_members_notice_t *notice, GHashTable *addresses)
{
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	const skh_member_t *last =
		notice->n_members > 0 ? &notice->members[notice->n_members - 1] : NULL;
	struct sockaddr_in address;
	int64_t rank;

	if (g_strv_length(words) != 2 || !skh_address_parse(words[0], &address) ||
	    !parse_number(words[1], (int64_t)notice->n_ranks - 1, &rank) ||
	    (last && rank <= last->rank))
		return false;
	notice->members[notice->n_members] = (skh_member_t){ g_strdup(words[0]), (uint32_t)rank };
	return g_hash_table_add(addresses, notice->members[notice->n_members++].address);
}

static bool parse_members(char *const *lines, skh_members_notice_t *notice)
{
	g_autoptr(GHashTable) addresses = g_hash_table_new(g_str_hash, g_str_equal);
	guint n_lines = g_strv_length((char **)lines);

	/* Each line ends with a newline; without the last one the text is truncated. */
	if (n_lines == 0 || *lines[n_lines - 1] || n_lines - 1 > notice->n_ranks)
		return false;
	notice->members = g_new0(skh_member_t, n_lines);
	for (guint i = 0; i < n_lines - 1; i++) {
		if (!parse_member(lines[i], notice, addresses))
			return false;
	}
	return true;
}

skh_members_notice_t *skh_members_notice_parse(const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	skh_members_notice_t *notice = g_new0(skh_members_notice_t, 1);

	if (lines[0] && parse_head(lines[0], notice) && parse_members(lines + 1, notice))
		return notice;
	skh_members_notice_free(notice);
	return NULL;
}

void skh_members_notice_free(skh_members_notice_t *notice)
{
	if (!notice)
		return;
	for (uint32_t i = 0; i < notice->n_members; i++)
		g_free(notice->members[i].address);
	g_free(notice->members);
	g_free(notice);
}
