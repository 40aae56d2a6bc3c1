/// \file
/// The read-only administration API over HTTP, and the metrics that it serves.

#ifndef MULBERRYHOIST_ADMIN_H
#define MULBERRYHOIST_ADMIN_H

#include <functional>
#include <map>
#include <memory>
#include <prometheus/registry.h>
#include <stop_token>
#include <string>
#include <string_view>

#include "mulberryhoist/error.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// An answer of the administration API.
struct AdminAnswer {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// The parameters of a request's query string.
using AdminQuery = std::map<std::string, std::string, std::less<>>;

/// Answers one path, for example `/dump`; called on the admin thread.
using AdminHandler = std::function<AdminAnswer(const AdminQuery &)>;

/// Serves GET requests for a fixed set of paths; other methods get 405.
class AdminServer {
public:
  /// Opens the listening socket, so that a wrong address is reported at start.
  static Result<AdminServer> create(Endpoint Listen);

  AdminServer(AdminServer &&) noexcept;
  AdminServer &operator=(AdminServer &&) noexcept;
  ~AdminServer();

  /// Adds a path; must be called before `run`.
  void handle(std::string Path, AdminHandler Handler);

  /// Adds `/metrics` in the Prometheus text format.
  void serveMetrics(std::shared_ptr<prometheus::Registry> Metrics);

  /// Serves until it is asked to stop.
  Result<void> run(std::stop_token Stop);

  /// The address that it listens on, with the port that was assigned for 0.
  Endpoint address() const;

private:
  struct State;
  explicit AdminServer(std::unique_ptr<State> Impl);
  std::unique_ptr<State> Impl;
};

/// Counts errors by kind in the metric `mulberry_errors_total`.
class ErrorCounters {
public:
  explicit ErrorCounters(prometheus::Registry &Metrics);

  /// Adds one error of this kind; allocates nothing.
  void add(ErrorKind Kind);

private:
  prometheus::Counter *Counters[ErrorKindCount] = {};
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ADMIN_H
