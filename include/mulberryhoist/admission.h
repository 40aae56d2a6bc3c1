/// \file
/// Admission at one upstream: slots, connections, shares of services, the wait
/// queue and the load figure that the agent reports.

#ifndef MULBERRYHOIST_ADMISSION_H
#define MULBERRYHOIST_ADMISSION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// Number of urgency classes; class 0 is the most urgent.
inline constexpr std::uint8_t ClassCount = 8;

/// Waiting openings per slot. With slot times near 100 ms a longer queue would
/// only hold openings that miss their deadline.
inline constexpr std::uint32_t QueuePerSlot = 8;

/// The part of the connections that every service may use. The rest is kept for
/// services within their share, so that a flood of flows that stay open leaves
/// room for others.
inline constexpr double CommonConnections = 0.9;

/// How long an agent reports a scaled load after its start.
inline constexpr Duration ColdStartPeriod = std::chrono::seconds(30);

/// The factor on the load at the start of the cold-start period.
inline constexpr double ColdStartFactor = 10.0;

/// Returns how long an opening of a class may wait: 2 s for class 0, 250 ms
/// less for each following class.
constexpr Duration waitDeadline(std::uint8_t Class) {
  return std::chrono::milliseconds(250) *
         (Class < ClassCount ? ClassCount - Class : 1);
}

/// What a service may use of an upstream.
struct ServiceShare {
  ServiceId Service;
  std::uint8_t Class = 0;
  std::uint32_t Share = 1;
};

/// The limits of an upstream, from its rows of the table.
struct AdmissionLimits {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  std::vector<ServiceShare> Services;
};

/// The answer to an opening.
enum class AdmissionAnswer : std::uint8_t { Started, Queued, Declined };

/// An opening in the wait queue.
struct WaitingOpening {
  FlowKey Key;
  ServiceId Service;
  Instant Deadline;
};

/// Decides which openings get a slot, wait or are declined.
///
/// Used slot time is charged to a service continuously, so that the service
/// with the least used slot time per share is known without an estimate of how
/// long a request will take (start-time fair queueing).
class Admission {
public:
  explicit Admission(Instant Started);

  /// Replaces the limits. A service that is no longer listed keeps a share of 1
  /// until its work has ended.
  void setLimits(const AdmissionLimits &Limits, Instant Now);

  /// Offers an opening. Openings that lose their place to it are appended to
  /// `Shed`; they were never started.
  AdmissionAnswer offer(const FlowKey &Key, ServiceId Service, Instant Now,
                        std::vector<WaitingOpening> &Shed);

  /// Gives a free slot to the next waiting opening, if there are both.
  std::optional<WaitingOpening> startNext(Instant Now);

  /// Moves openings that waited too long to `Out`.
  void expire(Instant Now, std::vector<WaitingOpening> &Out);

  /// Removes a waiting opening; false if it does not wait.
  bool cancel(const FlowKey &Key, ServiceId Service);

  /// Counts a further request of an established flow. It is never held back,
  /// since its packets belong to an accepted flow.
  void beginWork(ServiceId Service, Instant Now);

  /// Ends the work of a started opening or of a further request.
  void endWork(ServiceId Service, Instant Now);

  /// Counts a flow against the connection limit.
  void addConnection(ServiceId Service);
  void removeConnection(ServiceId Service);

  /// True if an opening of this service would not be declined now.
  bool hasRoom(ServiceId Service) const;

  /// Slots in use, including those of openings whose request is still to come.
  std::uint32_t busy() const { return this->Busy; }
  std::uint32_t waiting() const { return this->Waiting; }
  std::uint32_t slots() const { return this->Limits.Slots; }
  std::uint32_t connections() const { return this->Connections; }

  /// Busy slots and waiting openings.
  std::uint32_t active() const { return this->Busy + this->Waiting; }

  /// Active work per weight in thousandths, scaled up after a cold start.
  std::uint32_t load(std::uint32_t Weight, Instant Now) const;

private:
  struct Queue {
    ServiceShare Share;
    bool Listed = true;
    std::uint32_t Busy = 0;
    std::uint32_t Connections = 0;
    /// Used slot time in nanoseconds per share.
    double Used = 0;
    std::deque<WaitingOpening> Entries;

    bool isActive() const { return this->Busy > 0 || !this->Entries.empty(); }
  };

  Queue *find(ServiceId Service);
  const Queue *find(ServiceId Service) const;
  Queue &findOrAdd(ServiceId Service);
  std::uint32_t queueCapacity() const;
  /// The service's part of what all listed services share.
  double partOf(const Queue &Entry, std::uint32_t Whole) const;
  bool mayConnect(const Queue &Entry) const;
  Queue *chooseToShed(const Queue &Newcomer);
  void charge(Instant Now);
  void activate(Queue &Entry);
  void start(Queue &Entry);

  AdmissionLimits Limits;
  std::vector<Queue> Queues;
  Instant Started;
  Instant Charged;
  double VirtualTime = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Connections = 0;
};

/// Bounds retries to a tenth of the openings.
class RetryBudget {
public:
  /// Counts an opening, which earns a tenth of a retry.
  void earn();

  /// Takes `Count` retries, or nothing and returns false.
  bool take(std::uint32_t Count);

private:
  static constexpr std::uint32_t TenthsPerRetry = 10;
  /// At most ten retries are saved up, so that a quiet time does not pay for a
  /// burst of retries during an overload.
  static constexpr std::uint32_t MaxTenths = 10 * TenthsPerRetry;
  std::uint32_t Tenths = MaxTenths;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ADMISSION_H
