#include "forward.h"

#include <glib.h>
#include <inttypes.h>

/* Least urgent priority of the platform. */
#define MAX_PRIORITY 9U

static const char *header_name(const skh_forwarded_request_t *forwarded, skh_header_name_t name)
{
	return forwarded->dialect->headers[name];
}

/* True for a caller's header that the gateway replaces with its own, and for the caller's key. */
static bool is_omitted(const skh_forwarded_request_t *forwarded, const char *name)
{
	static const skh_header_name_t replaced_headers[] = { SKH_HEADER_DEADLINE,
							      SKH_HEADER_CUSTOMER,
							      SKH_HEADER_EXPECTED_INSTANCE,
							      SKH_HEADER_PRIORITY };

	for (size_t i = 0; i < G_N_ELEMENTS(replaced_headers); i++) {
		if (g_ascii_strcasecmp(name, header_name(forwarded, replaced_headers[i])) == 0)
			return true;
	}
	if (g_ascii_strcasecmp(name, header_name(forwarded, SKH_HEADER_LAST_EVENT)) == 0)
		return forwarded->last_event_id >= 0;
	return g_ascii_strcasecmp(name, "authorization") == 0;
}

/* A header that the Connection header lists is hop-by-hop (RFC 9110, section 7.6.1). */
static bool is_listed_in_connection(const char *connection, const char *name)
{
	g_auto(GStrv) tokens = connection ? g_strsplit(connection, ",", -1) : NULL;

	for (size_t i = 0; tokens && tokens[i]; i++) {
		if (g_ascii_strcasecmp(g_strstrip(tokens[i]), name) == 0)
			return true;
	}
	return false;
}

static void write_gateway_headers(const skh_forwarded_request_t *forwarded, skh_buffer_t *out)
{
	skh_buffer_printf(out, "%s: %" PRId64 "\r\n", header_name(forwarded, SKH_HEADER_DEADLINE),
			  MAX(forwarded->remaining_ms, 1));
	skh_buffer_printf(out, "%s: %s\r\n", header_name(forwarded, SKH_HEADER_EXPECTED_INSTANCE),
			  forwarded->server_id);
	skh_buffer_printf(out, "%s: %u\r\n", header_name(forwarded, SKH_HEADER_PRIORITY),
			  MIN(forwarded->priority, MAX_PRIORITY));
	if (forwarded->customer)
		skh_buffer_printf(out, "%s: %s\r\n", header_name(forwarded, SKH_HEADER_CUSTOMER),
				  forwarded->customer);
	if (forwarded->last_event_id >= 0)
		skh_buffer_printf(out, "%s: %" PRId64 "\r\n",
				  header_name(forwarded, SKH_HEADER_LAST_EVENT),
				  forwarded->last_event_id);
	if (forwarded->request->body.len > 0 || forwarded->request->parser.method == HTTP_POST ||
	    forwarded->request->parser.method == HTTP_PUT)
		skh_buffer_printf(out, "Content-Length: %zu\r\n", forwarded->request->body.len);
}

void skh_forward_write_request(const skh_forwarded_request_t *forwarded, skh_buffer_t *out)
{
	const skh_http_message_t *request = forwarded->request;
	const char *connection = skh_http_message_header(request, "Connection");

	skh_buffer_printf(out, "%s %s HTTP/1.1\r\n",
			  http_method_str((enum http_method)request->parser.method),
			  request->request_target->str);
	for (guint i = 0; i < request->headers->len; i++) {
		const skh_header_t *header = &g_array_index(request->headers, skh_header_t, i);

		if (!skh_header_is_hop_by_hop(header->name) &&
		    !is_omitted(forwarded, header->name) &&
		    !is_listed_in_connection(connection, header->name))
			skh_buffer_printf(out, "%s: %s\r\n", header->name, header->value);
	}
	write_gateway_headers(forwarded, out);
	skh_buffer_append_string(out, "\r\n");
	skh_buffer_append(out, skh_buffer_chunk(&request->body));
}

void skh_forward_write_response_headers(const skh_http_message_t *response, GString *out)
{
	const char *connection = skh_http_message_header(response, "Connection");

	for (guint i = 0; i < response->headers->len; i++) {
		const skh_header_t *header = &g_array_index(response->headers, skh_header_t, i);

		if (!skh_header_is_hop_by_hop(header->name) &&
		    !is_listed_in_connection(connection, header->name))
			g_string_append_printf(out, "%s: %s\r\n", header->name, header->value);
	}
}
