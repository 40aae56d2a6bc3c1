#include "mulberryhoist/log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mulberryhoist {
namespace {

template <typename Call> std::string captureLog(Call Write) {
  testing::internal::CaptureStdout();
  Write();
  return testing::internal::GetCapturedStdout();
}

class LogTextTest : public testing::TestWithParam<std::string_view> {};

// Guards against text that splits a line into several or loses the line.
TEST_P(LogTextTest, AnyTextGivesOneParsableLine) {
  setUpLog("test", LogLevel::Info);
  const std::string Output = captureLog([] {
    log(LogLevel::Info, GetParam(), {{"n", 42}});
  });
  ASSERT_EQ(Output.find('\n'), Output.size() - 1);
  const auto Line = nlohmann::json::parse(Output);
  EXPECT_EQ(Line["n"], 42);
  EXPECT_EQ(Line["process"], "test");
}

INSTANTIATE_TEST_SUITE_P(Texts, LogTextTest,
                         testing::Values("plain", "two\nlines", "quote \" \\",
                                         "\xff\xfe not UTF-8",
                                         std::string_view("a\0b", 3)));

// Guards against lines below the minimum level in a production log.
TEST(LogTest, OmitsLowerLevels) {
  setUpLog("test", LogLevel::Warning);
  EXPECT_EQ(captureLog([] { log(LogLevel::Info, "omitted"); }), "");
  EXPECT_NE(captureLog([] { log(LogLevel::Warning, "written"); }), "");
}

// Guards against an error that is logged without its kind, and against a field
// that replaces the level of its line.
TEST(LogTest, ErrorHasKindAndKeepsLevel) {
  setUpLog("test", LogLevel::Info);
  const auto Line = nlohmann::json::parse(captureLog([] {
    logError({ErrorKind::OlderTable, "revision 3"}, {{"level", "debug"}});
  }));
  EXPECT_EQ(Line["kind"], "older_table");
  EXPECT_EQ(Line["level"], "error");
  EXPECT_EQ(Line["text"], "revision 3");
}

// Guards against interleaved lines when several threads log at the same time.
TEST(LogTest, ThreadsWriteWholeLines) {
  setUpLog("test", LogLevel::Info);
  constexpr int Threads = 4;
  constexpr int Lines = 200;
  const std::string Output = captureLog([] {
    std::vector<std::jthread> Writers;
    Writers.reserve(Threads);
    for (int I = 0; I < Threads; ++I) {
      Writers.emplace_back([] {
        for (int J = 0; J < Lines; ++J) {
          log(LogLevel::Info, "a line of some length", {{"number", J}});
        }
      });
    }
  });
  std::istringstream Stream(Output);
  std::string Line;
  int Count = 0;
  for (; std::getline(Stream, Line); ++Count) {
    EXPECT_TRUE(nlohmann::json::accept(Line)) << Line;
  }
  EXPECT_EQ(Count, Threads * Lines);
}

// Guards against a slow reader of the log that blocks the threads that log:
// nothing reads the pipe, whose buffer is smaller than the lines in total.
TEST(LogTest, BlockedReaderDoesNotBlockWriters) {
  setUpLog("test", LogLevel::Info);
  std::fflush(stdout);
  const int Saved = ::dup(STDOUT_FILENO);
  std::array<int, 2> Pipe{};
  ASSERT_EQ(::pipe(Pipe.data()), 0);
  ::dup2(Pipe[1], STDOUT_FILENO);
  ::close(Pipe[1]);
  const std::string Filler(1000, 'x');
  const auto Begin = std::chrono::steady_clock::now();
  constexpr int Lines = 1000;
  {
    const LogWriter Writer;
    for (int I = 0; I < Lines; ++I) {
      log(LogLevel::Info, Filler);
    }
  }
  const auto Spent = std::chrono::steady_clock::now() - Begin;
  // The writer thread is blocked on the full pipe; reading the pipe unblocks
  // it.
  std::string Read;
  std::array<char, 65536> Buffer{};
  while (Read.find("log lines dropped") == std::string::npos) {
    const ssize_t Size = ::read(Pipe[0], Buffer.data(), Buffer.size());
    ASSERT_GT(Size, 0);
    Read.append(Buffer.data(), static_cast<std::size_t>(Size));
  }
  ::dup2(Saved, STDOUT_FILENO);
  ::close(Saved);
  ::close(Pipe[0]);
  EXPECT_LT(Spent, std::chrono::seconds(2));
}

/// How the reader of a process's log behaves.
struct ReaderRow {
  std::string Name;
  /// The time between two reads of 4 kB; nothing is read if it is 0.
  std::chrono::milliseconds Period{0};
  bool HasLastLine = false;
};

class ExitTest : public testing::TestWithParam<ReaderRow> {
protected:
  /// Logs more than a pipe takes, and exits.
  [[noreturn]] static void runChild(int Output) {
    ::dup2(Output, STDOUT_FILENO);
    {
      const LogWriter Writer;
      for (int I = 0; I < 100; ++I) {
        log(LogLevel::Info, std::string(1000, 'x'));
      }
      log(LogLevel::Info, "last line");
    }
    std::exit(EXIT_SUCCESS);
  }
};

// Guards against a process that does not end while the reader of its log stalls
// (review case 10), and against a last line that is lost to a slow reader.
TEST_P(ExitTest, ProcessEndsWhateverTheReaderDoes) {
  setUpLog("test", LogLevel::Info);
  std::fflush(stdout);
  std::array<int, 2> Pipe{};
  ASSERT_EQ(::pipe(Pipe.data()), 0);
  const pid_t Child = ::fork();
  ASSERT_GE(Child, 0);
  if (Child == 0) {
    runChild(Pipe[1]);
  }
  ::close(Pipe[1]);
  const auto Begin = std::chrono::steady_clock::now();
  std::string Read;
  std::array<char, 4096> Buffer{};
  int Status = 0;
  bool HasEnded = false;
  while (!HasEnded &&
         std::chrono::steady_clock::now() - Begin < std::chrono::seconds(5)) {
    std::this_thread::sleep_for(
        std::max(GetParam().Period, std::chrono::milliseconds(5)));
    if (GetParam().Period.count() > 0) {
      const ssize_t Size = ::read(Pipe[0], Buffer.data(), Buffer.size());
      Read.append(Buffer.data(),
                  static_cast<std::size_t>(std::max<ssize_t>(Size, 0)));
    }
    HasEnded = ::waitpid(Child, &Status, WNOHANG) == Child;
  }
  EXPECT_TRUE(HasEnded);
  if (!HasEnded) {
    ::kill(Child, SIGKILL);
    ::waitpid(Child, &Status, 0);
  }
  for (ssize_t Size = 1; Size > 0;) {
    Size = ::read(Pipe[0], Buffer.data(), Buffer.size());
    Read.append(Buffer.data(),
                static_cast<std::size_t>(std::max<ssize_t>(Size, 0)));
  }
  ::close(Pipe[0]);
  EXPECT_EQ(Read.find("last line") != std::string::npos,
            GetParam().HasLastLine);
}

INSTANTIATE_TEST_SUITE_P(
    Readers, ExitTest,
    testing::Values(ReaderRow{"stalled"},
                    ReaderRow{"slow", std::chrono::milliseconds(40), true},
                    ReaderRow{"fast", std::chrono::milliseconds(1), true}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace mulberryhoist
