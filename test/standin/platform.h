/// \file
/// Stand-in of the platform's configuration service and lagging VM list.

#ifndef MULBERRYHOIST_TEST_STANDIN_PLATFORM_H
#define MULBERRYHOIST_TEST_STANDIN_PLATFORM_H

#include <memory>

#include "mulberryhoist/types.h"
#include "standin/network.h"

namespace mulberryhoist::standin {

/// Settings of the configuration service.
struct PlatformOptions {
  Endpoint Listen;
  Duration AnswerDelay = std::chrono::milliseconds(2);
  /// How long a published VM list stays invisible.
  Duration VmLag{};
  /// Calls a second across all readers; a waiting watch counts one a second.
  double CallsPerSecond = 2000;
};

/// Serves `/v1/table` and `/v1/vms`, and the control paths of the tests:
///
/// - `POST /test/table`, `POST /test/vms`: publish the body as next revision;
/// - `POST /test/mode?mode=up|down|stale|half|silent`;
/// - `POST /test/restore?revision=N`: put an older table back in force;
/// - `POST /test/settings?delay-ms=N&lag-ms=N&rate=N`;
/// - `GET /test/calls`: calls counted, rejected and waiting.
class Platform {
public:
  static Result<std::unique_ptr<Platform>> create(io_context &Io,
                                                  PlatformOptions Options);
  ~Platform();

  Endpoint address() const;

private:
  struct State;
  explicit Platform(std::shared_ptr<State> Impl);
  std::shared_ptr<State> Impl;
};

} // namespace mulberryhoist::standin

#endif // MULBERRYHOIST_TEST_STANDIN_PLATFORM_H
