/// \file
/// Weighted rendezvous hashing: chooses the coordinator of a flow and the order
/// of the other candidates.

#ifndef MULBERRYHOIST_ROUTING_H
#define MULBERRYHOIST_ROUTING_H

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

#include "mulberryhoist/table.h"
#include "mulberryhoist/types.h"

namespace mulberryhoist {

/// Returns whether an upstream is excluded from a choice.
template <typename T>
concept UpstreamFilter = requires(const T &Filter, UpstreamId Id) {
  { Filter(Id) } -> std::convertible_to<bool>;
};

/// Returns the rendezvous score of an upstream for a flow; the smallest score
/// wins. `Weight` must not be 0.
double rendezvousScore(std::uint64_t FlowHash, UpstreamId Id,
                       std::uint32_t Weight);

/// Chooses the coordinator of a flow among the rows of its service.
/// Rows of weight 0 are never chosen. If `IsExcluded` excludes every other row,
/// the exclusion is ignored, since a suspected upstream is better than none.
template <UpstreamFilter Filter>
std::optional<UpstreamId> chooseCoordinator(std::span<const Assignment> Rows,
                                            const FlowKey &Key,
                                            const Filter &IsExcluded) {
  const std::uint64_t FlowHash = hashFlow(Key);
  std::optional<UpstreamId> Best;
  std::optional<UpstreamId> BestOfAll;
  double BestScore = 0;
  double BestOfAllScore = 0;
  for (const Assignment &Row : Rows) {
    if (Row.Weight == 0) {
      continue;
    }
    const double Score = rendezvousScore(FlowHash, Row.Upstream, Row.Weight);
    if (!BestOfAll || Score < BestOfAllScore) {
      BestOfAll = Row.Upstream;
      BestOfAllScore = Score;
    }
    if ((!Best || Score < BestScore) && !IsExcluded(Row.Upstream)) {
      Best = Row.Upstream;
      BestScore = Score;
    }
  }
  return Best ? Best : BestOfAll;
}

/// Writes the candidates of a flow into `Out` in ascending order of score and
/// returns the part that was written, at most 16; rows of weight 0 are skipped.
std::span<UpstreamId> orderCandidates(std::span<const Assignment> Rows,
                                      const FlowKey &Key,
                                      std::span<UpstreamId> Out);

} // namespace mulberryhoist

#endif // MULBERRYHOIST_ROUTING_H
