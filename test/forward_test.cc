// Tests of the headers that are forwarded to a backend server and back to the caller.
#include "forward.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

skh_dialect_t make_dialect()
{
	skh_dialect_t dialect = {};

	dialect.headers[SKH_HEADER_DEADLINE] = "Left-Ms";
	dialect.headers[SKH_HEADER_LAST_EVENT] = "Last-Event-Id";
	dialect.headers[SKH_HEADER_CUSTOMER] = "Customer";
	dialect.headers[SKH_HEADER_EXPECTED_INSTANCE] = "Instance";
	dialect.headers[SKH_HEADER_PRIORITY] = "Priority";
	return dialect;
}

struct ParsedMessage {
	skh_http_message_t message = {};

	ParsedMessage(enum http_parser_type type, const std::string &text)
	{
		skh_error_t err = {};
		size_t consumed = 0;

		static const skh_http_message_ops_t ops = {};

		skh_http_message_reset(&message, type, &ops, nullptr);
		EXPECT_TRUE(skh_http_message_feed(
			&message, skh_chunk_make(text.data(), text.size()), &consumed, &err));
		EXPECT_TRUE(message.is_complete);
	}
	~ParsedMessage()
	{
		skh_http_message_free(&message);
	}
};

std::string write_request(const std::string &text, int64_t last_event_id = -1,
			  const char *customer = "tembo")
{
	ParsedMessage request(HTTP_REQUEST, text);
	skh_buffer_t out = SKH_BUFFER_INIT;
	skh_forwarded_request_t forwarded = {};
	const skh_dialect_t dialect = make_dialect();

	forwarded.dialect = &dialect;
	forwarded.request = &request.message;
	forwarded.server_id = "i-1";
	forwarded.customer = customer;
	forwarded.priority = 3;
	forwarded.remaining_ms = 1500;
	forwarded.last_event_id = last_event_id;
	skh_forward_write_request(&forwarded, &out);

	std::string written(reinterpret_cast<const char *>(out.data), out.len);

	skh_buffer_free(&out);
	return written;
}

bool contains(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

const char *kPostRequest = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"
			   "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nX-Yours: 2\r\n"
			   "Customer: sarana\r\nLeft-Ms: 9000\r\n"
			   "Last-Event-Id: 4\r\nContent-Length: 3\r\n\r\nxyz";

TEST(Forward, RequestOmitsCallersKeyAndHopByHopHeaders)
{
	std::string written = write_request(kPostRequest);

	EXPECT_FALSE(contains(written, "secret"));
	EXPECT_FALSE(contains(written, "X-Mine"));
	EXPECT_FALSE(contains(written, "Connection"));
	EXPECT_TRUE(contains(written, "POST /a/b?c HTTP/1.1\r\n"));
	EXPECT_TRUE(contains(written, "X-Yours: 2\r\n"));
	EXPECT_TRUE(contains(written, "\r\nContent-Length: 3\r\n"));
	EXPECT_EQ(written.substr(written.size() - 7), "\r\n\r\nxyz");
}

// Guards against a caller that sends another customer's name to be served on that customer's
// account.
TEST(Forward, RequestHasGatewaysCustomerAndDeadline)
{
	std::string written = write_request(kPostRequest);

	EXPECT_FALSE(contains(written, "sarana"));
	EXPECT_TRUE(contains(written, "Customer: tembo\r\n"));
	EXPECT_FALSE(contains(written, "9000"));
	EXPECT_TRUE(contains(written, "Left-Ms: 1500\r\n"));
	EXPECT_TRUE(contains(written, "Instance: i-1\r\n"));
	EXPECT_FALSE(contains(write_request(kPostRequest, -1, nullptr), "Customer"));
}

// Guards against resuming a stream after the Last-Event-Id of the caller's own request, which
// would repeat events that the caller has received since.
TEST(Forward, StreamResumesAfterCallersLastEvent)
{
	EXPECT_TRUE(contains(write_request(kPostRequest), "Last-Event-Id: 4\r\n"));

	std::string resumed = write_request(kPostRequest, 17);

	EXPECT_TRUE(contains(resumed, "Last-Event-Id: 17\r\n"));
	EXPECT_FALSE(contains(resumed, "Last-Event-Id: 4\r\n"));
}

TEST(Forward, ResponseKeepsEndToEndHeaders)
{
	ParsedMessage response(HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
					      "Signature: s\r\n"
					      "Content-Length: 0\r\n\r\n");
	GString *out = g_string_new(nullptr);

	skh_forward_write_response_headers(&response.message, out);
	EXPECT_STREQ(out->str, "Signature: s\r\n");
	(void)g_string_free(out, TRUE);
}

} // namespace
