#include "mulberryhoist/routing.h"

#include <algorithm>
#include <array>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mulberryhoist {
namespace {

struct Candidate {
  UpstreamId Id;
  double Score = 0;
};

} // namespace

double rendezvousScore(std::uint64_t FlowHash, UpstreamId Id,
                       std::uint32_t Weight) {
  constexpr unsigned DroppedBits = 11;
  constexpr double Scale = 0x1p-53;
  const std::array<std::uint64_t, 2> Words = {FlowHash, Id.Value};
  const std::uint64_t Hash = XXH3_64bits(Words.data(), sizeof(Words));
  // Adding 0.5 keeps the logarithm finite for a hash of 0.
  const double Uniform =
      (static_cast<double>(Hash >> DroppedBits) + 0.5) * Scale;
  return -std::log(Uniform) / Weight;
}

std::span<UpstreamId> orderCandidates(std::span<const Assignment> Rows,
                                      const FlowKey &Key,
                                      std::span<UpstreamId> Out) {
  // An opening is offered to four candidates and a retry to six, so a small
  // sorted prefix is enough and nothing is allocated.
  constexpr std::size_t MaxCandidates = 16;
  std::array<Candidate, MaxCandidates> Best;
  const std::size_t Limit = std::min(Out.size(), MaxCandidates);
  const std::uint64_t FlowHash = hashFlow(Key);
  std::size_t Count = 0;
  for (const Assignment &Row : Rows) {
    if (Row.Weight == 0 || Limit == 0) {
      continue;
    }
    const double Score = rendezvousScore(FlowHash, Row.Upstream, Row.Weight);
    std::size_t Position = Count;
    while (Position > 0 && Score < Best[Position - 1].Score) {
      --Position;
    }
    if (Position >= Limit) {
      continue;
    }
    Count = std::min(Count + 1, Limit);
    std::move_backward(Best.begin() + static_cast<std::ptrdiff_t>(Position),
                       Best.begin() + static_cast<std::ptrdiff_t>(Count - 1),
                       Best.begin() + static_cast<std::ptrdiff_t>(Count));
    Best[Position] = {Row.Upstream, Score};
  }
  std::transform(Best.begin(),
                 Best.begin() + static_cast<std::ptrdiff_t>(Count), Out.begin(),
                 [](const Candidate &Each) { return Each.Id; });
  return Out.first(Count);
}

} // namespace mulberryhoist
