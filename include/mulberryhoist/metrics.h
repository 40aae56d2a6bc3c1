/// \file
/// Prometheus metrics: helpers to make them, and those that every process has.

#ifndef MULBERRYHOIST_METRICS_H
#define MULBERRYHOIST_METRICS_H

#include <cstdint>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

#include "mulberryhoist/documents.h"

namespace mulberryhoist {

/// Adds the counter `mulberry_NAME`.
prometheus::Counter &makeCounter(prometheus::Registry &Metrics,
                                 const std::string &Name,
                                 const std::string &Help,
                                 const prometheus::Labels &Labels = {});

/// Adds the gauge `mulberry_NAME`.
prometheus::Gauge &makeGauge(prometheus::Registry &Metrics,
                             const std::string &Name, const std::string &Help,
                             const prometheus::Labels &Labels = {});

/// Raises a counter to a total that is counted elsewhere; after a restart of
/// the duty that counts, the total may be smaller.
void raiseTo(prometheus::Counter &Counter, std::uint64_t Total);

/// The metrics of the document exchange; the registry must outlive them.
class DocumentMetrics {
public:
  explicit DocumentMetrics(prometheus::Registry &Metrics);

  /// Takes over the newest numbers; `InForce` is null before there is a table.
  void update(const DocumentStatus &Status, const Table *InForce);

private:
  prometheus::Counter &PlatformCalls;
  prometheus::Counter &OlderTables;
  prometheus::Counter &InvalidTables;
  prometheus::Counter &ControlBytesSent;
  prometheus::Counter &ControlBytesReceived;
  prometheus::Gauge &TableEpoch;
  prometheus::Gauge &TableRevision;
  prometheus::Gauge &TableAge;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_METRICS_H
