#include "standin/request.h"

#include <fmt/format.h>

#include "standin/network.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist::standin {
namespace {

constexpr std::size_t WordBytes = sizeof(std::uint64_t);
constexpr std::string_view Verb = "RUN ";

long long milliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace

Duration fromMilliseconds(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

std::string formatRequest(const RunRequest &Request) {
  std::string Text =
      fmt::format("{}id={} idempotent={} size={} time-ms={} stream={}", Verb,
                  Request.Id, Request.Idempotent ? 1 : 0, Request.Size,
                  milliseconds(Request.Time), Request.Stream ? 1 : 0);
  if (Request.Deadline) {
    Text += fmt::format(" deadline-ms={}", milliseconds(*Request.Deadline));
  }
  return Text + "\n";
}

std::optional<RunRequest> parseRequest(std::string_view Line) {
  if (!Line.starts_with(Verb)) {
    return std::nullopt;
  }
  const Pairs Values = parsePairs(Line.substr(Verb.size()), ' ');
  const double Size = numberOr(Values, "size", -1);
  RunRequest Request;
  Request.Id = textOr(Values, "id");
  // An answer of no bytes would have no PSH that shows its end.
  if (Request.Id.empty() || Size < 1 ||
      Size > static_cast<double>(MaxAnswerBytes)) {
    return std::nullopt;
  }
  Request.Size = static_cast<std::size_t>(Size);
  Request.Idempotent = numberOr(Values, "idempotent", 1) != 0;
  Request.Time = fromMilliseconds(numberOr(Values, "time-ms", 0));
  Request.Stream = numberOr(Values, "stream", 0) != 0;
  if (Values.contains("deadline-ms")) {
    Request.Deadline = fromMilliseconds(numberOr(Values, "deadline-ms", 0));
  }
  return Request;
}

std::string answerPart(Endpoint Service, std::string_view Id,
                       std::size_t Offset, std::size_t Length) {
  const std::string Key = fmt::format("{}/{}", formatEndpoint(Service), Id);
  const std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  std::string Part;
  Part.reserve(Length + WordBytes);
  std::size_t Word = Offset / WordBytes;
  while (Part.size() < Length + Offset % WordBytes) {
    const std::uint64_t Content =
        XXH3_64bits_withSeed(&Word, sizeof(Word), Seed);
    Part.append(reinterpret_cast<const char *>(&Content), WordBytes);
    ++Word;
  }
  return Part.substr(Offset % WordBytes, Length);
}

} // namespace mulberryhoist::standin
