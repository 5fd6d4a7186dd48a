#include "forward.h"

#include <glib.h>
#include <inttypes.h>

/* The least urgent of the platform's priorities. */
#define LEAST_URGENT 9U

static const char *header_name(const skh_forwarded_request_t *forward, skh_header_name_t name)
{
	return forward->dialect->headers[name];
}

static bool is_replaced(const skh_forwarded_request_t *forward, const char *name)
{
	static const skh_header_name_t replaced[] = { SKH_HEADER_DEADLINE, SKH_HEADER_CUSTOMER,
						      SKH_HEADER_EXPECTED_INSTANCE,
						      SKH_HEADER_PRIORITY };

	for (size_t i = 0; i < G_N_ELEMENTS(replaced); i++) {
		if (g_ascii_strcasecmp(name, header_name(forward, replaced[i])) == 0)
			return true;
	}
	if (g_ascii_strcasecmp(name, header_name(forward, SKH_HEADER_LAST_EVENT)) == 0)
		return forward->last_event_id >= 0;
	return g_ascii_strcasecmp(name, "authorization") == 0;
}

/* A field that the sender names in "Connection" is for that connection only. */
static bool is_named_by(const char *connection, const char *name)
{
	g_auto(GStrv) tokens = connection ? g_strsplit(connection, ",", -1) : NULL;

	for (size_t i = 0; tokens && tokens[i]; i++) {
		if (g_ascii_strcasecmp(g_strstrip(tokens[i]), name) == 0)
			return true;
	}
	return false;
}

static void write_own_headers(const skh_forwarded_request_t *forward, skh_buffer_t *out)
{
	skh_buffer_printf(out, "%s: %" PRId64 "\r\n", header_name(forward, SKH_HEADER_DEADLINE),
			  MAX(forward->remaining_ms, 1));
	skh_buffer_printf(out, "%s: %s\r\n", header_name(forward, SKH_HEADER_EXPECTED_INSTANCE),
			  forward->server_id);
	skh_buffer_printf(out, "%s: %u\r\n", header_name(forward, SKH_HEADER_PRIORITY),
			  MIN(forward->priority, LEAST_URGENT));
	if (forward->customer)
		skh_buffer_printf(out, "%s: %s\r\n", header_name(forward, SKH_HEADER_CUSTOMER),
				  forward->customer);
	if (forward->last_event_id >= 0)
		skh_buffer_printf(out, "%s: %" PRId64 "\r\n",
				  header_name(forward, SKH_HEADER_LAST_EVENT),
				  forward->last_event_id);
	if (forward->request->body.len > 0 || forward->request->parser.method == HTTP_POST ||
	    forward->request->parser.method == HTTP_PUT)
		skh_buffer_printf(out, "Content-Length: %zu\r\n", forward->request->body.len);
}

void skh_forward_write_request(const skh_forwarded_request_t *forward, skh_buffer_t *out)
{
	const skh_http_message_t *request = forward->request;
	const char *connection = skh_http_message_header(request, "Connection");

	skh_buffer_printf(out, "%s %s HTTP/1.1\r\n",
			  http_method_str((enum http_method)request->parser.method),
			  request->request_target->str);
	for (guint i = 0; i < request->headers->len; i++) {
		const skh_header_t *header = &g_array_index(request->headers, skh_header_t, i);

		if (!skh_header_is_hop_by_hop(header->name) &&
		    !is_replaced(forward, header->name) && !is_named_by(connection, header->name))
			skh_buffer_printf(out, "%s: %s\r\n", header->name, header->value);
	}
	write_own_headers(forward, out);
	skh_buffer_append_string(out, "\r\n");
	skh_buffer_append(out, skh_buffer_chunk(&request->body));
}

void skh_forward_write_response_headers(const skh_http_message_t *answer, GString *out)
{
	const char *connection = skh_http_message_header(answer, "Connection");

	for (guint i = 0; i < answer->headers->len; i++) {
		const skh_header_t *header = &g_array_index(answer->headers, skh_header_t, i);

		if (!skh_header_is_hop_by_hop(header->name) &&
		    !is_named_by(connection, header->name))
			g_string_append_printf(out, "%s: %s\r\n", header->name, header->value);
	}
}
