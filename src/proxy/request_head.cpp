#include "proxy/request_head.h"
#include "proxy/answers.h"

#include <algorithm>

namespace marjoramrail::internal {

using std::chrono::milliseconds;

/// Time that remains to answer the request, in milliseconds.
static constexpr std::string_view DeadlineHeader = "x-deadline-ms";
/// Number of the caller's attempt, starting at 1.
static constexpr std::string_view TryHeader = "x-try";
static constexpr std::uint64_t LongestDeadlineMs = 86'400'000;

static std::optional<instant> deadlineOf(const h2_head &Head, instant Now) {
  const auto Left = numberOf(Head, DeadlineHeader);
  if (!Left)
    return std::nullopt;
  return Now + milliseconds(std::min(*Left, LongestDeadlineMs));
}

static work_kind kindOf(const h2_head &Head, const proxy_settings &Settings) {
  const auto &Streams = Settings.StreamPaths;
  if (std::find(Streams.begin(), Streams.end(), Head.get(":path")) !=
      Streams.end())
    return work_kind::Stream;
  return valueNamed(WorkKindNames, Head.get("x-work-kind"))
      .value_or(work_kind::Short);
}

work_request readWork(const h2_head &Head, const flow_origin &Origin,
                      const proxy_settings &Settings, request_id Id,
                      instant Now) {
  work_request Work;
  Work.Id = Id;
  Work.Caller = Origin.Caller;
  Work.Kind = kindOf(Head, Settings);
  Work.Key = Head.get("idempotency-key");
  Work.Deadline = deadlineOf(Head, Now);
  Work.Retry = numberOf(Head, TryHeader).value_or(1) > 1;
  if (!Origin.IsPeer)
    return Work;
  Work.Caller = numberOf(Head, CallerHeader).value_or(Origin.Caller);
  Work.Hops = static_cast<std::uint8_t>(
      std::min<std::uint64_t>(numberOf(Head, HopsHeader).value_or(1), 255));
  if (const auto From = numberOf(Head, FromHeader))
    Work.RelayedBy = host_id(static_cast<std::uint32_t>(*From));
  return Work;
}

static h2_head forwarded(const h2_head &Head, const work_request &Work,
                         instant Now) {
  h2_head Out;
  for (const h2_field &Field : Head.Fields)
    if (!Field.Name.starts_with(OwnPrefix) && Field.Name != DeadlineHeader)
      Out.Fields.push_back(Field);
  if (Work.Deadline) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(*Work.Deadline - Now);
    Out.add(std::string(DeadlineHeader),
            std::to_string(std::max<std::int64_t>(Left.count(), 0)));
  }
  return Out;
}

h2_head headForTarget(const h2_head &Head, const work_request &Work,
                      instant Now) {
  return forwarded(Head, Work, Now);
}

h2_head headForPeer(const h2_head &Head, const work_request &Work, host_id Self,
                    instant Now) {
  h2_head Out = forwarded(Head, Work, Now);
  Out.add(std::string(HopsHeader), std::to_string(Work.Hops + 1));
  Out.add(std::string(FromHeader),
          std::to_string(static_cast<std::uint32_t>(Self)));
  Out.add(std::string(CallerHeader), std::to_string(Work.Caller));
  return Out;
}

} // namespace marjoramrail::internal
