// The context field of log lines. Guards against lines of a balancer that do not say which group
// they are about, and against lines that say it twice.
#include "log.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>

namespace
{

std::string log_line(const char *fields)
{
	testing::internal::CaptureStderr();
	skh_log(SKH_LOG_ERROR, "part", "Sentence.", "%s", fields);
	return testing::internal::GetCapturedStderr();
}

struct Log : testing::Test {
	Log()
	{
		// GLib takes a writer once in a process.
		static const bool is_set_up = (skh_log_setup(SKH_LOG_DEBUG, false), true);

		(void)is_set_up;
	}
	~Log() override
	{
		skh_log_set_context("");
	}
};

} // namespace

TEST_F(Log, ContextIsAFieldOfEachLineOfTheThread)
{
	skh_log_set_context("group=g0");
	EXPECT_NE(log_line("rank=1 reason=two words").find("group=g0 rank=1 reason=two words"),
		  std::string::npos);
	EXPECT_NE(log_line("").find("group=g0"), std::string::npos);
	std::thread([] { EXPECT_EQ(log_line("rank=1").find("group="), std::string::npos); }).join();
	skh_log_set_context("");
	EXPECT_EQ(log_line("rank=1").find("group="), std::string::npos);
}

TEST_F(Log, LinesWithTheFieldKeepTheirOwn)
{
	skh_log_set_context("group=g0");
	EXPECT_EQ(log_line("group=g1 rank=1").find("g0"), std::string::npos);
	EXPECT_EQ(log_line("rank=1 group=g1").find("g0"), std::string::npos);
	EXPECT_NE(log_line("subgroup=g1").find("group=g0"), std::string::npos);
}
