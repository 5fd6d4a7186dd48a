// Address parsing. Texts come from settings, the store and other processes, so
// malformed ones must be rejected.
#include "address.h"

#include <gtest/gtest.h>

#include <glib.h>
#include <string>

TEST(Address, SplitsAndParses)
{
	struct sockaddr_in address;
	char *host = nullptr;
	uint16_t port = 0;

	ASSERT_TRUE(skh_address_split("10.1.2.3:8080", &host, &port));
	EXPECT_STREQ(host, "10.1.2.3");
	EXPECT_EQ(port, 8080);
	g_free(host);
	ASSERT_TRUE(skh_address_parse("127.0.0.1:1", &address));
	EXPECT_EQ(address.sin_family, AF_INET);
	EXPECT_EQ(ntohl(address.sin_addr.s_addr), INADDR_LOOPBACK);
	EXPECT_EQ(ntohs(address.sin_port), 1);
	EXPECT_TRUE(skh_address_parse("127.0.0.1:0", &address));
	EXPECT_TRUE(skh_address_parse("127.0.0.1:65535", &address));
}

TEST(Address, RejectsMalformedAddresses)
{
	static const char *const malformed[] = {
		nullptr,
		"",
		":",
		"10.1.2.3",
		"10.1.2.3:",
		"10.1.2.3:x",
		"10.1.2.3:65536",
		"10.1.2.3:-1",
		"10.1.2.3: 1",
		"10.1.2.3:80x",
		"nowhere:80",
		"10.1.2:80",
		"10.1.2.256:80",
		"::1:80",
		"10.1.2.3:80:",
		"10.1.2.3 :8080",
		" 10.1.2.3:8080",
		"10.1.2.3:99999999999999999999",
	};
	struct sockaddr_in address;

	for (const char *text : malformed)
		EXPECT_FALSE(skh_address_parse(text, &address)) << (text ? text : "NULL");
}
