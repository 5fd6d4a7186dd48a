// What goes on to a server, and what comes back to the caller.
#include "forward.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

skh_dialect_t names()
{
	skh_dialect_t dialect = {};

	dialect.headers[SKH_HEADER_DEADLINE] = "Left-Ms";
	dialect.headers[SKH_HEADER_LAST_EVENT] = "Last-Event-Id";
	dialect.headers[SKH_HEADER_CUSTOMER] = "Customer";
	dialect.headers[SKH_HEADER_EXPECTED_INSTANCE] = "Instance";
	dialect.headers[SKH_HEADER_PRIORITY] = "Priority";
	return dialect;
}

struct Message {
	skh_http_message_t message = {};

	Message(enum http_parser_type type, const std::string &text)
	{
		skh_error_t err = {};
		size_t used = 0;

		static const skh_http_message_ops_t ops = {};

		skh_http_message_reset(&message, type, &ops, nullptr);
		EXPECT_TRUE(skh_http_message_feed(
			&message, skh_chunk_make(text.data(), text.size()), &used, &err));
		EXPECT_TRUE(message.done);
	}
	~Message()
	{
		skh_http_message_free(&message);
	}
};

std::string forwarded(const std::string &text, int64_t last_event = -1,
		      const char *customer = "tembo")
{
	Message request(HTTP_REQUEST, text);
	skh_buffer_t out = SKH_BUFFER_INIT;
	skh_forwarded_request_t forward = {};
	const skh_dialect_t dialect = names();

	forward.dialect = &dialect;
	forward.request = &request.message;
	forward.server_id = "i-1";
	forward.customer = customer;
	forward.priority = 3;
	forward.remaining_ms = 1500;
	forward.last_event_id = last_event;
	skh_forward_write_request(&forward, &out);

	std::string written(reinterpret_cast<const char *>(out.data), out.len);

	skh_buffer_free(&out);
	return written;
}

bool has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

const char *kPost = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n"
		    "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nX-Yours: 2\r\n"
		    "Customer: sarana\r\nLeft-Ms: 9000\r\n"
		    "Last-Event-Id: 4\r\nContent-Length: 3\r\n\r\nxyz";

TEST(Forward, TheCallersKeyAndFieldsOfOneConnectionStayHere)
{
	std::string written = forwarded(kPost);

	EXPECT_FALSE(has(written, "secret"));
	EXPECT_FALSE(has(written, "X-Mine"));
	EXPECT_FALSE(has(written, "Connection"));
	EXPECT_TRUE(has(written, "POST /a/b?c HTTP/1.1\r\n"));
	EXPECT_TRUE(has(written, "X-Yours: 2\r\n"));
	EXPECT_TRUE(has(written, "\r\nContent-Length: 3\r\n"));
	EXPECT_EQ(written.substr(written.size() - 7), "\r\n\r\nxyz");
}

// A caller that writes another customer's name would be served on its account.
TEST(Forward, CustomerAndDeadlineAreOurs)
{
	std::string written = forwarded(kPost);

	EXPECT_FALSE(has(written, "sarana"));
	EXPECT_TRUE(has(written, "Customer: tembo\r\n"));
	EXPECT_FALSE(has(written, "9000"));
	EXPECT_TRUE(has(written, "Left-Ms: 1500\r\n"));
	EXPECT_TRUE(has(written, "Instance: i-1\r\n"));
	EXPECT_FALSE(has(forwarded(kPost, -1, nullptr), "Customer"));
}

// A stream that goes on elsewhere starts after what the caller has, not where it asked first.
TEST(Forward, AStreamGoesOnAfterTheCallersLastEvent)
{
	EXPECT_TRUE(has(forwarded(kPost), "Last-Event-Id: 4\r\n"));

	std::string again = forwarded(kPost, 17);

	EXPECT_TRUE(has(again, "Last-Event-Id: 17\r\n"));
	EXPECT_FALSE(has(again, "Last-Event-Id: 4\r\n"));
}

TEST(Forward, AnswersKeepTheirEndToEndFields)
{
	Message answer(HTTP_RESPONSE, "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
				      "Signature: s\r\n"
				      "Content-Length: 0\r\n\r\n");
	GString *out = g_string_new(nullptr);

	skh_forward_write_response_headers(&answer.message, out);
	EXPECT_STREQ(out->str, "Signature: s\r\n");
	(void)g_string_free(out, TRUE);
}

} // namespace
