//===- site_store.h - Fake store with faults --------------------*- C++ -*-===//
///
/// \file
/// A fake_platform with watches limited to one kind, and faults that affect the
/// calls of one process: watches that hang, change history that is no longer
/// available.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_DIRECTORY_SITE_STORE_H
#define MARJORAMRAIL_TEST_DIRECTORY_SITE_STORE_H

#include "fleet/fake_platform.h"
#include "marjoramrail/directory.h"

namespace marjoramrail::testing {

/// The faults that affect one process's calls.
struct store_faults {
  platform_link Link;
  /// Watches are never answered, as on a connection that no longer responds.
  bool WatchesHang = false;
  /// Writes are answered with Unavailable and change nothing.
  bool WritesRefused = false;
  /// The next watch is answered with HistoryGone.
  bool HistoryGone = false;
  std::uint64_t Watches = 0;
};

/// Watches \p Kind only: changes of other kinds do not end the watch.
inline void watchKind(fake_platform &Store, const platform_api &Api,
                      store_faults &Faults, const std::string &Kind,
                      std::uint64_t Since, instant Deadline,
                      const platform_callback &Callback) {
  const duration Wait = std::max(Deadline - Store.now(), duration::zero());
  Api.Watch(Since, Wait, [=, &Store, &Faults](platform_reply Reply) {
    if (std::exchange(Faults.HistoryGone, false)) {
      Reply = platform_reply();
      Reply.Outcome = platform_outcome::HistoryGone;
    }
    const bool HadObjects = !Reply.Objects.empty();
    std::erase_if(Reply.Objects, [&](const platform_object &Object) {
      return Object.Key.Kind != Kind;
    });
    if (!HadObjects || !Reply.Objects.empty() || Store.now() >= Deadline)
      return Callback(Reply);
    // The repeated watch belongs to the same call.
    --Store.Calls;
    watchKind(Store, Api, Faults, Kind, Reply.StoreVersion, Deadline, Callback);
  });
}

inline platform_api siteStore(fake_platform &Store, store_faults &Faults,
                              const std::string &Kind) {
  platform_api Api = Store.api(&Faults.Link);
  Api.Write = [Write = Api.Write, Read = Api.Read,
               &Faults](platform_write Call, platform_callback Callback) {
    if (Faults.WritesRefused)
      return Read(Call.Object.Key,
                  [Callback = std::move(Callback)](const platform_reply &) {
                    Callback(platform_reply());
                  });
    Call.Object.Writer = "test";
    Write(Call, std::move(Callback));
  };
  Api.Watch = [Plain = Api, &Store, &Faults,
               Kind](std::uint64_t Since, duration Wait,
                     const platform_callback &Callback) {
    ++Faults.Watches;
    if (!Faults.WatchesHang)
      watchKind(Store, Plain, Faults, Kind, Since, Store.now() + Wait,
                Callback);
  };
  return Api;
}

/// A reader that decodes the complete table in one step with \p Decode.
inline route_reader
readerOf(std::function<result<route_table>(const platform_object &)> Decode,
         const platform_object &Object) {
  return [Decode = std::move(Decode),
          Object](std::size_t, route_table &Table) -> result<bool> {
    BOOST_LEAF_ASSIGN(Table, Decode(Object));
    return true;
  };
}

/// Reads a complete table.
inline result<route_table> readComplete(const route_reader &Read) {
  constexpr std::size_t RoutesPerPart = 3;
  route_table Table;
  for (bool IsComplete = false; !IsComplete;) {
    BOOST_LEAF_ASSIGN(IsComplete, Read(RoutesPerPart, Table));
  }
  return Table;
}

inline constexpr endpoint FirstAddress{0x0a000001, 443};

inline service_share share(const std::string &Service,
                           std::uint32_t Weight = 1) {
  return {Service, Weight};
}

/// A table with one route at FirstAddress.
inline route_table tableOf(std::uint64_t Version,
                           const std::vector<std::string> &Services) {
  route_table Table;
  Table.Version = Version;
  route Route{FirstAddress, {}};
  for (const std::string &Service : Services)
    Route.Shares.push_back(share(Service));
  Table.Routes.push_back(Route);
  return Table;
}

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_DIRECTORY_SITE_STORE_H
