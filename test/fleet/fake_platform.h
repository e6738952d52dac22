//===- fake_platform.h - In-memory platform with faults ---------*- C++ -*-===//
///
/// \file
/// A platform_api on a simulated clock that can have outages, slow answers,
/// answers lost after the write took effect, and older state.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_FAKE_PLATFORM_H
#define MARJORAMRAIL_FLEET_FAKE_PLATFORM_H

#include "marjoramrail/platform.h"

#include <algorithm>
#include <cctype>
#include <list>

namespace marjoramrail::testing {

/// Faults of the link between one process and the platform.
struct platform_link {
  /// Requests of the process are lost.
  bool Cut = false;
  /// How long the process waits for the answer to a lost request.
  duration Timeout = duration::zero();
  /// How long a request takes to reach the platform and take effect.
  duration RequestDelay = duration::zero();
  /// Delay of answers in addition to that of the platform.
  duration ReplyDelay = duration::zero();
};

class fake_platform {
public:
  explicit fake_platform(timer_service &Timers) : Timers(Timers) {}

  /// Every call answers Unavailable.
  bool Down = false;
  /// How long an answer takes.
  duration Delay = std::chrono::milliseconds(2);
  /// This many writes take effect and answer Unknown.
  int LoseAnswers = 0;
  /// This many writes do not take effect and answer Unknown.
  int LoseWrites = 0;
  /// Reads, lists and watches answer from the state kept by saveOlder().
  bool ServeOlder = false;
  /// Only lists and watches answer from that state, as from another replica
  /// than reads.
  bool ListOlder = false;
  /// Watches are not answered, though changes are accepted.
  bool WatchesAreSilent = false;
  /// Stale reads answer from that state.
  bool ReadStaleOlder = false;
  std::uint64_t Calls = 0;
  /// Stale reads among Calls.
  std::uint64_t StaleReads = 0;
  std::uint64_t Writes = 0;

  /// Returns the platform as a process reaches it over \p Link.
  platform_api api(const platform_link *Link = nullptr) {
    platform_api Api;
    Api.Read = [this, Link](const object_key &Key, platform_callback Callback) {
      answer(
          Link, [this, Key] { return read(Key); }, std::move(Callback));
    };
    Api.ReadStale = [this, Link](const object_key &Key,
                                 platform_callback Callback) {
      ++StaleReads;
      answer(
          Link, [this, Key] { return read(Key, ReadStaleOlder); },
          std::move(Callback));
    };
    Api.List = [this, Link](const std::string &Kind,
                            platform_callback Callback) {
      answer(
          Link, [this, Kind] { return list(Kind); }, std::move(Callback));
    };
    Api.Write = [this, Link](const platform_write &Write,
                             platform_callback Callback) {
      answer(
          Link, [this, Write] { return write(Write); }, std::move(Callback));
    };
    Api.Remove = [this, Link](const object_key &Key, std::uint64_t Expected,
                              platform_callback Callback) {
      answer(
          Link, [this, Key, Expected] { return remove(Key, Expected); },
          std::move(Callback));
    };
    Api.Watch = [this, Link](std::uint64_t Since, duration Wait,
                             platform_callback Callback) {
      ++Calls;
      watch(Link, {Since, Timers.now() + Wait, TimesClosed, TimesSilenced},
            std::move(Callback));
    };
    return Api;
  }

  /// Writes like an operator, regardless of the stored version.
  void put(const std::string &Kind, const std::string &Name, std::string Body) {
    platform_object Object;
    Object.Key = {Kind, Name};
    Object.Body = std::move(Body);
    Object.Writer = "operator";
    store(Object);
  }

  void erase(const std::string &Kind, const std::string &Name) {
    platform_object Removed;
    Removed.Key = {Kind, Name};
    Removed.Deleted = true;
    store(Removed);
  }

  platform_object get(const std::string &Kind, const std::string &Name) const {
    const auto Found = Objects.find({Kind, Name});
    return Found == Objects.end() ? platform_object() : Found->second;
  }

  instant now() const { return Timers.now(); }

  /// Drops the history up to now and closes all watches without an answer.
  void dropHistory() {
    HistorySince = StoreVersion;
    ++TimesClosed;
  }

  /// The connections of all pending watches go silent: these are told of
  /// nothing, and fail by the time-out of a call.
  void silenceWatches() { ++TimesSilenced; }

  void saveOlder() {
    Older = Objects;
    OlderVersion = StoreVersion;
  }

private:
  platform_reply read(const object_key &Key, bool FromOlder = false) const {
    const auto &From = ServeOlder || FromOlder ? Older : Objects;
    const auto Found = From.find(Key);
    platform_reply Reply;
    Reply.Outcome = platform_outcome::NotFound;
    if (Found == From.end() || Found->second.Deleted)
      return Reply;
    Reply.Outcome = platform_outcome::Ok;
    Reply.Object = Found->second;
    return Reply;
  }

  platform_reply list(const std::string &Kind) const {
    const bool Behind = ServeOlder || ListOlder;
    platform_reply Reply;
    Reply.Outcome = platform_outcome::Ok;
    Reply.StoreVersion = Behind ? OlderVersion : StoreVersion;
    for (const auto &[Key, Object] : Behind ? Older : Objects)
      if (Key.Kind == Kind && !Object.Deleted)
        Reply.Objects.push_back(Object);
    return Reply;
  }

  /// Applies the rule of platform.h for kinds, names and writers; the client
  /// refuses others before it sends a byte.
  static bool isKeyPart(const std::string &Text) {
    const auto Allowed = [](unsigned char Character) {
      return std::isalnum(Character) != 0 ||
             std::string_view("._:-").find(static_cast<char>(Character)) !=
                 std::string_view::npos;
    };
    return !Text.empty() && std::all_of(Text.begin(), Text.end(), Allowed);
  }

  platform_reply write(const platform_write &Write) {
    ++Writes;
    if (!isKeyPart(Write.Object.Writer) || !isKeyPart(Write.Object.Key.Name)) {
      platform_reply Refused;
      Refused.Outcome = platform_outcome::Invalid;
      Refused.Reason = "writer or name";
      return Refused;
    }
    platform_reply Reply;
    const auto Found = Objects.find(Write.Object.Key);
    const std::uint64_t Current =
        Found == Objects.end() || Found->second.Deleted ? 0
                                                        : Found->second.Version;
    if (LoseWrites > 0) {
      --LoseWrites;
      Reply.Outcome = platform_outcome::Unknown;
      return Reply;
    }
    if (Current != Write.Expected) {
      Reply.Outcome = Current == 0 ? platform_outcome::NotFound
                                   : platform_outcome::Conflict;
      if (Current != 0)
        Reply.Object = Found->second;
      return Reply;
    }
    platform_object Object = Write.Object;
    Object.Deleted = false;
    store(Object);
    Reply.Outcome = platform_outcome::Ok;
    Reply.Object = Objects[Write.Object.Key];
    if (LoseAnswers > 0) {
      --LoseAnswers;
      Reply = platform_reply();
      Reply.Outcome = platform_outcome::Unknown;
    }
    return Reply;
  }

  platform_reply remove(const object_key &Key, std::uint64_t Expected) {
    platform_reply Reply = read(Key);
    if (Reply.Outcome == platform_outcome::Ok &&
        Reply.Object.Version != Expected)
      Reply.Outcome = platform_outcome::Conflict;
    if (Reply.Outcome == platform_outcome::Ok)
      erase(Key.Kind, Key.Name);
    return Reply;
  }

  void store(platform_object Object) {
    Object.Version = ++StoreVersion;
    Objects[Object.Key] = std::move(Object);
  }

  void answer(const platform_link *Link, std::function<platform_reply()> Act,
              platform_callback Callback) {
    ++Calls;
    const bool Lost = Link != nullptr && Link->Cut;
    const duration ReplyDelay =
        Link != nullptr ? Link->ReplyDelay : duration::zero();
    const duration RequestDelay =
        Link != nullptr ? Link->RequestDelay : duration::zero();
    const duration Timeout = Link != nullptr ? Link->Timeout : duration::zero();
    Timers.after(RequestDelay,
                 [this, Lost, ReplyDelay, Timeout, Act = std::move(Act),
                  Callback = std::move(Callback)] {
                   platform_reply Reply;
                   Reply.Outcome = platform_outcome::Unavailable;
                   Reply.RetryAfter = std::chrono::seconds(1);
                   if (!Down && !Lost)
                     Reply = Act();
                   const duration Answer = Delay + ReplyDelay;
                   Timers.after(Lost ? std::max(Timeout, Answer) : Answer,
                                [Reply, Callback] { Callback(Reply); });
                 });
  }

  struct pending_watch {
    std::uint64_t Since = 0;
    instant Until;
    /// The value of fake_platform::TimesClosed when it began.
    std::uint64_t TimesClosed = 0;
    std::uint64_t TimesSilenced = 0;
  };

  platform_reply replyToWatch(std::uint64_t Since) const {
    platform_reply Reply;
    if (Since < HistorySince) {
      Reply.Outcome = platform_outcome::HistoryGone;
      return Reply;
    }
    Reply.Outcome = platform_outcome::Ok;
    const bool Behind = ServeOlder || ListOlder;
    Reply.StoreVersion = Behind ? OlderVersion : StoreVersion;
    std::map<std::uint64_t, platform_object> Ordered;
    if (Reply.StoreVersion > Since)
      for (const auto &[Key, Object] : Behind ? Older : Objects)
        if (Object.Version > Since)
          Ordered[Object.Version] = Object;
    for (const auto &[Version, Object] : Ordered)
      Reply.Objects.push_back(Object);
    return Reply;
  }

  void watch(const platform_link *Link, const pending_watch &Watch,
             platform_callback Callback) {
    const bool IsLost = Link != nullptr && Link->Cut;
    constexpr duration CallTimeout = std::chrono::milliseconds(1500);
    const bool IsSilent = Watch.TimesSilenced != TimesSilenced;
    if (IsSilent && Timers.now() < Watch.Until + CallTimeout) {
      Timers.after(std::chrono::milliseconds(50),
                   [=, this] { watch(Link, Watch, Callback); });
      return;
    }
    platform_reply Reply;
    Reply.Outcome = platform_outcome::Unavailable;
    Reply.IsConnectionClosed = Watch.TimesClosed != TimesClosed;
    if (!Down && !IsLost && !IsSilent && !Reply.IsConnectionClosed) {
      Reply = replyToWatch(Watch.Since);
      const bool IsAnswered = Reply.Outcome != platform_outcome::Ok ||
                              !Reply.Objects.empty() ||
                              Timers.now() >= Watch.Until;
      if (WatchesAreSilent || !IsAnswered) {
        Timers.after(std::chrono::milliseconds(50),
                     [=, this] { watch(Link, Watch, Callback); });
        return;
      }
    }
    Timers.after(IsLost ? std::max(Link->Timeout, Delay) : Delay,
                 [Reply, Callback] { Callback(Reply); });
  }

  timer_service &Timers;
  std::map<object_key, platform_object> Objects;
  std::map<object_key, platform_object> Older;
  std::uint64_t StoreVersion = 0;
  std::uint64_t OlderVersion = 0;
  /// Watches from earlier versions are told that the history is gone.
  std::uint64_t HistorySince = 0;
  /// How often all watches were closed.
  std::uint64_t TimesClosed = 0;
  /// How often all watches went silent.
  std::uint64_t TimesSilenced = 0;
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_FLEET_FAKE_PLATFORM_H
