#include "http_message.h"

#include <string.h>

/* Most fields of a head and a trailer together: a field takes far more memory than its bytes. */
#define MAX_FIELDS 1024

static void clear_headers(GArray *headers)
{
	for (guint i = 0; i < headers->len; i++) {
		skh_header_t *header = &g_array_index(headers, skh_header_t, i);

		g_free(header->name);
		g_free(header->value);
	}
	g_array_set_size(headers, 0);
}

static void finish_header(skh_http_message_t *message)
{
	skh_header_t header;

	if (message->field_name->len == 0)
		return;
	header.name = g_strdup(message->field_name->str);
	header.value = g_strchomp(g_strdup(message->field_value->str));
	g_array_append_val(message->headers, header);
	g_string_truncate(message->field_name, 0);
	g_string_truncate(message->field_value, 0);
	message->is_value_started = false;
}

/* Returns nonzero, which stops the parser, once max_header_bytes is exceeded. */
static int count_header_bytes(skh_http_message_t *message, size_t len)
{
	message->header_bytes += len;
	if (message->max_header_bytes == 0 || message->header_bytes <= message->max_header_bytes)
		return 0;
	message->error_kind = SKH_HEADERS_TOO_LARGE;
	return 1;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	skh_http_message_t *message = parser->data;

	g_string_append_len(message->request_target, at, (gssize)len);
	return count_header_bytes(message, len);
}

static int on_header_field(http_parser *parser, const char *at, size_t len)
{
	skh_http_message_t *message = parser->data;

	if (message->is_value_started)
		finish_header(message);
	if (message->headers->len >= MAX_FIELDS) {
		message->error_kind = SKH_HEADERS_TOO_LARGE;
		return 1;
	}
	g_string_append_len(message->field_name, at, (gssize)len);
	return count_header_bytes(message, len);
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	skh_http_message_t *message = parser->data;

	message->is_value_started = true;
	g_string_append_len(message->field_value, at, (gssize)len);
	return count_header_bytes(message, len);
}

/*
 * http-parser accepts header names with spaces, as in "Content-Length : 5". Another
 * HTTP implementation on the path may honour such a field and place the end of the
 * message elsewhere (request smuggling).
 */
static bool has_valid_header_names(const skh_http_message_t *message)
{
	for (guint i = 0; i < message->headers->len; i++) {
		const char *name = g_array_index(message->headers, skh_header_t, i).name;

		for (; *name; name++) {
			if (!g_ascii_isalnum(*name) && !strchr("!#$%&'*+-.^_`|~", *name))
				return false;
		}
	}
	return true;
}

/* http-parser accepts any version and any status of up to three digits. */
static bool has_valid_status_line(const http_parser *parser)
{
	return parser->http_major == 1 && skh_http_status_is_valid(parser->status_code);
}

static int on_headers_complete(http_parser *parser)
{
	skh_http_message_t *message = parser->data;

	finish_header(message);
	message->is_head_complete = true;
	if ((parser->type == HTTP_RESPONSE && !has_valid_status_line(parser)) ||
	    !has_valid_header_names(message)) {
		message->error_kind = SKH_BAD_REQUEST;
		return -1;
	}
	if (message->max_body_bytes > 0 && !(parser->flags & F_CHUNKED) &&
	    parser->content_length != UINT64_MAX &&
	    parser->content_length > message->max_body_bytes) {
		message->error_kind = SKH_TOO_LARGE;
		return -1;
	}
	if (message->ops->on_head && !message->ops->on_head(message->context, message)) {
		if (message->error_kind == SKH_OK)
			message->error_kind = SKH_BAD_REQUEST;
		return -1;
	}
	return message->skip_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	skh_http_message_t *message = parser->data;

	if (message->ops->on_body) {
		message->ops->on_body(message->context, skh_chunk_make(at, len));
		return 0;
	}
	if (message->max_body_bytes > 0 && message->body.len + len > message->max_body_bytes) {
		message->error_kind = SKH_TOO_LARGE;
		return 1;
	}
	skh_buffer_append(&message->body, skh_chunk_make(at, len));
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	skh_http_message_t *message = parser->data;

	finish_header(message); /* last trailer field of a chunked body */
	message->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void skh_http_message_reset(skh_http_message_t *message, enum http_parser_type type,
			    const skh_http_message_ops_t *ops, void *context)
{
	if (!message->headers) {
		message->headers = g_array_new(FALSE, FALSE, sizeof(skh_header_t));
		message->request_target = g_string_new(NULL);
		message->field_name = g_string_new(NULL);
		message->field_value = g_string_new(NULL);
	}
	clear_headers(message->headers);
	g_string_truncate(message->request_target, 0);
	g_string_truncate(message->field_name, 0);
	g_string_truncate(message->field_value, 0);
	skh_buffer_free(&message->body);
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	message->ops = ops;
	message->context = context;
	message->header_bytes = 0;
	message->is_value_started = false;
	message->skip_body = false;
	message->is_head_complete = false;
	message->is_complete = false;
	message->error_kind = SKH_OK;
}

bool skh_http_message_is_framed(const skh_http_message_t *message)
{
	return (message->parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
}

void skh_http_message_free(skh_http_message_t *message)
{
	if (!message->headers)
		return;
	clear_headers(message->headers);
	(void)g_array_free(message->headers, TRUE);
	(void)g_string_free(message->request_target, TRUE);
	(void)g_string_free(message->field_name, TRUE);
	(void)g_string_free(message->field_value, TRUE);
	skh_buffer_free(&message->body);
	*message = (skh_http_message_t){ 0 };
}

bool skh_http_message_feed(skh_http_message_t *message, skh_chunk_t bytes, size_t *consumed,
			   skh_error_t *err)
{
	enum http_errno parser_error;

	*consumed = 0;
	if (message->is_complete)
		return true;
	*consumed = http_parser_execute(&message->parser, &parser_settings,
					(const char *)bytes.data, bytes.len);
	parser_error = HTTP_PARSER_ERRNO(&message->parser);
	if (message->is_complete && (parser_error == HPE_PAUSED || parser_error == HPE_OK)) {
		if (message->ops->on_end)
			message->ops->on_end(message->context, message);
		return true;
	}
	if (parser_error != HPE_OK)
		return skh_error_set(
			err, message->error_kind == SKH_OK ? SKH_BAD_REQUEST : message->error_kind,
			"%s", http_errno_description(parser_error));
	if (message->parser.upgrade)
		return skh_error_set(err, SKH_BAD_REQUEST, "protocol upgrade is not supported");
	return true;
}

bool skh_http_message_feed_eof(skh_http_message_t *message)
{
	if (message->is_complete || !message->is_head_complete)
		return message->is_complete;
	(void)http_parser_execute(&message->parser, &parser_settings, NULL, 0);
	if (message->is_complete && message->ops->on_end)
		message->ops->on_end(message->context, message);
	return message->is_complete;
}

const char *skh_http_message_header(const skh_http_message_t *message, const char *name)
{
	for (guint i = 0; i < message->headers->len; i++) {
		const skh_header_t *header = &g_array_index(message->headers, skh_header_t, i);

		if (g_ascii_strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

bool skh_http_message_can_keep_alive(const skh_http_message_t *message)
{
	return message->is_complete && http_should_keep_alive(&message->parser) != 0;
}

bool skh_header_is_hop_by_hop(const char *name)
{
	/*
	 * Content-Length and Expect are end-to-end, but the gateway writes its own Content-Length and
	 * responds to Expect itself.
	 */
	static const char *const hop_by_hop_names[] = { "connection",
							"keep-alive",
							"proxy-authenticate",
							"proxy-authorization",
							"proxy-connection",
							"te",
							"trailer",
							"transfer-encoding",
							"upgrade",
							"content-length",
							"expect" };

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++) {
		if (g_ascii_strcasecmp(name, hop_by_hop_names[i]) == 0)
			return true;
	}
	return false;
}
