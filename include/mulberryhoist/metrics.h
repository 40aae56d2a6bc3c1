/// \file
/// Helpers to register Prometheus metrics, and the metrics common to all
/// processes.

#ifndef MULBERRYHOIST_METRICS_H
#define MULBERRYHOIST_METRICS_H

#include <cstdint>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

#include "mulberryhoist/documents.h"

namespace mulberryhoist {

/// Registers the counter `mulberry_NAME`.
prometheus::Counter &makeCounter(prometheus::Registry &Metrics,
                                 const std::string &Name,
                                 const std::string &Help,
                                 const prometheus::Labels &Labels = {});

/// Registers the gauge `mulberry_NAME`.
prometheus::Gauge &makeGauge(prometheus::Registry &Metrics,
                             const std::string &Name, const std::string &Help,
                             const prometheus::Labels &Labels = {});

/// Raises a counter to a total that another component counts; does nothing if
/// the total is smaller, as it can be after a restart of the counting duty.
void raiseTo(prometheus::Counter &Counter, std::uint64_t Total);

/// The metrics of the document exchange; the registry must outlive them.
class DocumentMetrics {
public:
  explicit DocumentMetrics(prometheus::Registry &Metrics);

  /// Updates the metrics; `InForce` is null until a table is in force.
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
