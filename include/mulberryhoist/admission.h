/// \file
/// Admission control of one upstream: slots, connections, shares of services,
/// the wait queue and the load that the agent reports.

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

/// Maximum number of waiting openings per slot. With requests of about 100 ms,
/// openings further back in a longer queue would miss their deadline.
inline constexpr std::uint32_t QueuePerSlot = 8;

/// The fraction of the connections that is open to every service. The rest is
/// reserved for services within their share, so that a flood of long-lived
/// flows leaves room for others.
inline constexpr double CommonConnectionFraction = 0.9;

/// How long after its start an agent reports a scaled-up load.
inline constexpr Duration ColdStartPeriod = std::chrono::seconds(30);

/// The factor on the load at the start of `ColdStartPeriod`.
inline constexpr double ColdStartFactor = 10.0;

/// Returns how long an opening of a class may wait: 2 s for class 0 and 250 ms
/// less for each following class.
constexpr Duration waitDeadline(std::uint8_t Class) {
  return std::chrono::milliseconds(250) *
         (Class < ClassCount ? ClassCount - Class : 1);
}

/// The class and share of a service at an upstream.
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

/// The result of offering an opening.
enum class AdmissionResult : std::uint8_t { Started, Queued, Declined };

/// An opening in the wait queue.
struct WaitingOpening {
  FlowKey Key;
  ServiceId Service;
  Instant Deadline;
};

/// Decides which openings get a slot, wait or are declined.
///
/// Slot time is charged to a service continuously, so that the service with the
/// least used slot time per share is known without estimating the duration of
/// requests (start-time fair queueing).
class Admission {
public:
  explicit Admission(Instant Started);

  /// Replaces the limits. A service that is no longer listed gets a share of 1
  /// until its work has ended.
  void setLimits(const AdmissionLimits &Limits, Instant Now);

  /// Offers an opening. Openings evicted from the queue in its favour are
  /// appended to `Shed`; they were never started.
  AdmissionResult offer(const FlowKey &Key, ServiceId Service, Instant Now,
                        std::vector<WaitingOpening> &Shed);

  /// Starts the next waiting opening; empty if none waits or no slot is free.
  std::optional<WaitingOpening> startNext(Instant Now);

  /// Moves openings whose wait deadline has passed to `Out`.
  void expire(Instant Now, std::vector<WaitingOpening> &Out);

  /// Removes a waiting opening; returns false if it is not in the queue.
  bool cancel(const FlowKey &Key, ServiceId Service);

  /// Counts a further request of an established flow, which is never delayed,
  /// since its packets belong to an accepted flow.
  void beginWork(ServiceId Service, Instant Now);

  /// Ends the work of a started opening or of a further request.
  void endWork(ServiceId Service, Instant Now);

  /// Counts a flow against the connection limit.
  void addConnection(ServiceId Service);
  void removeConnection(ServiceId Service);

  /// Returns true if an opening of this service would not be declined.
  bool hasRoom(ServiceId Service) const;

  /// Returns the slots in use, including those of openings whose request has
  /// not arrived yet.
  std::uint32_t busy() const { return this->Busy; }
  std::uint32_t waiting() const { return this->Waiting; }
  std::uint32_t slots() const { return this->Limits.Slots; }
  std::uint32_t connections() const { return this->Connections; }

  /// Returns the number of busy slots and waiting openings.
  std::uint32_t active() const { return this->Busy + this->Waiting; }

  /// Returns the active work per weight in thousandths, scaled up after a cold
  /// start.
  std::uint32_t load(std::uint32_t Weight, Instant Now) const;

private:
  struct Queue {
    ServiceShare Share;
    bool Listed = true;
    std::uint32_t Busy = 0;
    std::uint32_t Connections = 0;
    /// Used slot time in nanoseconds per share.
    double UsedPerShare = 0;
    std::deque<WaitingOpening> Openings;

    bool isActive() const { return this->Busy > 0 || !this->Openings.empty(); }
  };

  Queue *find(ServiceId Service);
  const Queue *find(ServiceId Service) const;
  Queue &findOrAdd(ServiceId Service);
  std::uint32_t queueCapacity() const;
  /// Returns the part of `Total` that corresponds to the share of the service
  /// among all listed services.
  double fairShare(const Queue &Entry, std::uint32_t Total) const;
  bool mayConnect(const Queue &Entry) const;
  Queue *chooseQueueToShed(const Queue &Newcomer);
  void charge(Instant Now);
  void activate(Queue &Entry);
  void start(Queue &Entry);

  AdmissionLimits Limits;
  std::vector<Queue> Queues;
  Instant Started;
  Instant ChargedUntil;
  double VirtualTime = 0;
  std::uint32_t Busy = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Connections = 0;
};

/// Limits retries to a tenth of the openings.
class RetryBudget {
public:
  /// Adds the tenth of a retry that an opening earns.
  void earn();

  /// Takes `Count` retries from the budget; returns false and takes none if it
  /// has fewer.
  bool take(std::uint32_t Count);

private:
  static constexpr std::uint32_t TenthsPerRetry = 10;
  /// The budget holds at most ten retries, so that an idle period does not
  /// allow a burst of retries during an overload.
  static constexpr std::uint32_t MaxTenths = 10 * TenthsPerRetry;
  std::uint32_t Tenths = MaxTenths;
};

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ADMISSION_H
