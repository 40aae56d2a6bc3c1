/// \file
/// Sample tables and packets for tests.

#ifndef MULBERRYHOIST_TEST_SAMPLES_H
#define MULBERRYHOIST_TEST_SAMPLES_H

#include <cstdint>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tins/tins.h>
#include <vector>

#include "mulberryhoist/table.h"

namespace mulberryhoist {

/// Returns one row of a table as CSV.
inline std::string sampleRow(std::string_view Service, Endpoint Address,
                             std::string_view Upstream, Endpoint Agent,
                             unsigned Weight, std::string_view Share = "1") {
  return fmt::format("{},{},0,{},{},{},kl-sentral,{},4,2000", Service,
                     formatEndpoint(Address), Share, Upstream,
                     formatEndpoint(Agent), Weight);
}

/// Creates a table from rows; throws `std::invalid_argument` if it is invalid.
inline std::shared_ptr<const Table>
sampleTable(const std::vector<std::string> &Rows, std::uint64_t Revision = 1) {
  std::string Csv = "service,address,class,share,upstream,endpoint,zone,weight,"
                    "slots,connections\n";
  for (const std::string &Row : Rows) {
    Csv += Row + '\n';
  }
  Csv += fmt::format("end,{},,,,,,,,\n", Rows.size());
  auto Created = Table::fromCsv(Csv, Revision);
  if (!Created) {
    throw std::invalid_argument(Created.error().Detail);
  }
  return std::make_shared<const Table>(std::move(*Created));
}

/// Returns a packet without payload from a caller to a service.
inline std::vector<std::uint8_t>
samplePacket(Endpoint Caller, Endpoint Service,
             Tins::TCP::Flags Flags = Tins::TCP::ACK) {
  const auto Address = [](Endpoint Value) {
    const std::string Text = formatEndpoint(Value);
    return Text.substr(0, Text.find(':'));
  };
  Tins::TCP Tcp(Service.Port, Caller.Port);
  Tcp.flags(Flags);
  Tins::IP Ip(Address(Service), Address(Caller));
  return (Ip / Tcp).serialize();
}

} // namespace mulberryhoist

#endif // MULBERRYHOIST_TEST_SAMPLES_H
