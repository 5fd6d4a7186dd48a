#ifndef SKH_STANDIN_H
#define SKH_STANDIN_H

/**
 * DOC: Stand-ins
 *
 * HTTP server library for the small servers that replace outside services in tests. Not part
 * of the product. A stand-in prints "ready" when it listens and runs until it is killed.
 * Handlers run on several threads at once and lock their own state.
 */

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * standin_serve() - serve HTTP until the process is killed
 * @listen: addresses with ports, separated by commas
 * @handler: called for every request
 *
 * Return: 1 if @listen can't be opened; else does not return.
 */
int standin_serve(const char *listen, mg_request_handler handler);

/** standin_read_body() - read the request body as text; free with g_free() */
char *standin_read_body(struct mg_connection *connection);

/** standin_read_json() - read the request body as JSON; an empty object if it is not JSON */
json_t *standin_read_json(struct mg_connection *connection);

/**
 * standin_respond() - send a JSON response
 * @connection: connection of the request
 * @status: HTTP status code
 * @json: response body; ownership passes to the call
 *
 * Return: @status, as the result of the handler.
 */
int standin_respond(struct mg_connection *connection, int status, json_t *json);

/**
 * standin_set_header() - add a header to all later responses
 */
void standin_set_header(const char *name, int64_t value);

/**
 * standin_close_connection() - close the connection without a response
 * @connection: connection of the request
 *
 * Return: the value that the handler must return at once.
 */
int standin_close_connection(struct mg_connection *connection);

#endif
