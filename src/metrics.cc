#include "mulberryhoist/metrics.h"

namespace mulberryhoist {

prometheus::Counter &makeCounter(prometheus::Registry &Metrics,
                                 const std::string &Name,
                                 const std::string &Help,
                                 const prometheus::Labels &Labels) {
  return prometheus::BuildCounter()
      .Name("mulberry_" + Name)
      .Help(Help)
      .Register(Metrics)
      .Add(Labels);
}

prometheus::Gauge &makeGauge(prometheus::Registry &Metrics,
                             const std::string &Name, const std::string &Help,
                             const prometheus::Labels &Labels) {
  return prometheus::BuildGauge()
      .Name("mulberry_" + Name)
      .Help(Help)
      .Register(Metrics)
      .Add(Labels);
}

void raiseTo(prometheus::Counter &Counter, std::uint64_t Total) {
  const double Increase = static_cast<double>(Total) - Counter.Value();
  if (Increase > 0) {
    Counter.Increment(Increase);
  }
}

DocumentMetrics::DocumentMetrics(prometheus::Registry &Metrics)
    : PlatformCalls(makeCounter(Metrics, "platform_calls_total",
                                "Calls to the configuration service")),
      OlderTables(makeCounter(Metrics, "older_tables_total",
                              "Documents ignored because they were older than "
                              "the one in force")),
      InvalidTables(
          makeCounter(Metrics, "invalid_tables_total",
                      "Documents and messages of the document exchange "
                      "rejected as invalid")),
      ControlBytesSent(makeCounter(Metrics, "control_sent_bytes_total",
                                   "Bytes of the document exchange sent")),
      ControlBytesReceived(
          makeCounter(Metrics, "control_received_bytes_total",
                      "Bytes of the document exchange received")),
      TableEpoch(
          makeGauge(Metrics, "table_epoch", "Epoch of the table in force")),
      TableRevision(makeGauge(Metrics, "table_revision",
                              "Revision of the table in force")),
      TableAge(makeGauge(Metrics, "table_age_seconds",
                         "Time since the table in force was confirmed by a "
                         "read")) {}

void DocumentMetrics::update(const DocumentStatus &Status,
                             const Table *InForce) {
  raiseTo(this->PlatformCalls, Status.PlatformCalls);
  raiseTo(this->OlderTables, Status.OlderIgnored);
  raiseTo(this->InvalidTables, Status.InvalidRejected);
  raiseTo(this->ControlBytesSent, Status.BytesSent);
  raiseTo(this->ControlBytesReceived, Status.BytesReceived);
  this->TableAge.Set(
      std::chrono::duration<double>(Status.SinceConfirmed).count());
  if (InForce != nullptr) {
    const TableVersion Version = InForce->version();
    this->TableEpoch.Set(Version.Epoch);
    this->TableRevision.Set(static_cast<double>(Version.Revision));
  }
}

} // namespace mulberryhoist
