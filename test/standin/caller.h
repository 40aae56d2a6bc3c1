/// \file
/// Stand-in of callers: a minimal TCP client over the fabric that checks every
/// answer, and an open-loop load on top of it.

#ifndef MULBERRYHOIST_TEST_STANDIN_CALLER_H
#define MULBERRYHOIST_TEST_STANDIN_CALLER_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mulberryhoist/types.h"
#include "standin/connection.h"
#include "standin/network.h"
#include "standin/request.h"

namespace mulberryhoist::standin {

/// Settings of one caller address.
struct CallerOptions {
  Endpoint Listen;
  Endpoint Fabric;
  /// Source address of the packets; the fabric knows a caller by it.
  std::uint32_t Address = 0;
  std::uint64_t Seed = 1;
  ConnectionOptions Tcp;
};

/// One request of a caller.
struct CallRequest {
  Endpoint Service;
  RunRequest Run;
  unsigned Class = 0;
  /// Outcome unknown after this time, with RST to the upstream.
  Duration Timeout = std::chrono::seconds(60);
  /// Cancel with RST after this time.
  std::optional<Duration> CancelAfter;
};

/// How a request ended, as the caller sees it.
enum class CallOutcome : std::uint8_t {
  Complete,    ///< The whole answer arrived and is right.
  Refused,     ///< RST to the SYN: not run.
  Unknown,     ///< Reset, closed or timed out before the whole answer.
  WrongAnswer, ///< Some byte is not the expected one.
  Cancelled,   ///< Cancelled by this caller.
};

std::string_view outcomeName(CallOutcome Outcome);

/// The result of one request.
struct CallResult {
  std::string Id;
  Endpoint Service;
  unsigned Class = 0;
  CallOutcome Outcome = CallOutcome::Unknown;
  /// False if the SYN was never answered, so that nothing can have run.
  bool Established = false;
  std::string Detail;
  std::size_t Bytes = 0;
  Duration Latency{};
  Duration FirstByte{};
  /// The longest time without a new byte after the first.
  Duration LongestGap{};
  std::uint64_t Retransmissions = 0;
};

/// Formats a result as one line of JSON.
std::string formatResult(const CallResult &Result);

/// Opens flows from one address; used on the thread of its `io_context`.
class Caller {
public:
  using Done = std::function<void(const CallResult &)>;

  static Result<std::unique_ptr<Caller>> create(io_context &Io,
                                                CallerOptions Options);
  ~Caller();

  /// Sends a request on a new flow; `Finish` is called once.
  void start(const CallRequest &Request, Done Finish);

  /// Requests that have no result yet.
  std::size_t pending() const;

  /// Flows that are not closed on both sides yet.
  std::size_t openFlows() const;

  /// Bytes that arrived after a whole answer; always a fault.
  std::uint64_t extraBytes() const;

private:
  struct State;
  explicit Caller(std::shared_ptr<State> Impl);
  std::shared_ptr<State> Impl;
};

/// One kind of request in a load and its relative frequency.
struct LoadClass {
  CallRequest Request;
  double Weight = 1;
};

/// Parses a mix: items `service=A;weight=W;size=N;time-ms=N;idempotent=0|1;`
/// `stream=0|1;class=C;timeout-ms=N` separated by commas.
Result<std::vector<LoadClass>> parseMix(std::string_view Text);

/// An open-loop load: starts do not wait for earlier answers.
struct LoadOptions {
  /// Requests a second, with exponential gaps; 0 starts all at once.
  double Rate = 0;
  std::size_t Count = 1;
  std::uint64_t Seed = 1;
  std::string IdPrefix = "call";
  std::vector<LoadClass> Mix;
};

/// Runs a load; `Finish` is called for each result, on the thread of `Io`.
void startLoad(io_context &Io, Caller &From, const LoadOptions &Options,
               Caller::Done Finish);

/// Sums of results for the last line of the output.
class Summary {
public:
  void add(const CallResult &Result);
  std::size_t count() const { return this->Latencies.size(); }
  /// Formats as one line of JSON.
  std::string format(std::uint64_t ExtraBytes) const;

private:
  std::map<std::string, std::uint64_t, std::less<>> Outcomes;
  std::vector<double> Latencies;
  std::vector<double> CompleteLatencies;
  std::uint64_t Unanswered = 0;
  std::uint64_t Retransmissions = 0;
};

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_CALLER_H
