/// \file
/// Reads the administration API of several processes at once.

#ifndef MULBERRYHOIST_HTTP_CLIENT_H
#define MULBERRYHOIST_HTTP_CLIENT_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryhoist/http-answer.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// Sends `GET Target` to all processes at once and returns their answers in the
/// order of the addresses; a process that does not answer in time is
/// `PeerUnreachable`.
std::vector<Result<HttpAnswer>> httpGetAll(std::span<const Endpoint> Addresses,
                                           std::string_view Target,
                                           Duration Timeout);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_HTTP_CLIENT_H
