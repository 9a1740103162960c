#include "LibDispatch/required_position.h"

#include <algorithm>

namespace kingcupmill {

namespace {

// The required position must cover every commit that was acknowledged before
// the staleness bound. This much of the bound is reserved for sending the read
// to the target.
constexpr Duration kStalenessMargin = std::chrono::milliseconds(40);

}  // namespace

std::optional<LogPoint> RequiredPosition(const DispatchRequest& request,
                                         const PrimaryRecord* record,
                                         const PositionSamples& samples,
                                         TimePoint now) {
  const CallerRoute& route = request.route;
  if (route.kind == RouteKind::kPrimary)
    return std::nullopt;
  const Term newest_term = record ? record->term : Term{};
  const auto& session = request.session_point;
  // A commit of an earlier term is either in the log of the newest term from
  // its start or was discarded, so any position of the newest term covers it.
  const bool is_from_earlier_term = session && session->term < newest_term;
  const TimePoint cutoff = now - route.maximum_staleness + kStalenessMargin;
  auto covering_position = samples.PositionCovering(
      cutoff, is_from_earlier_term ? newest_term : Term{});
  if (!covering_position)
    return std::nullopt;
  if (session && !is_from_earlier_term)
    covering_position = std::max(*covering_position, *session);
  return covering_position;
}

}  // namespace kingcupmill
